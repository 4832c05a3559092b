import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";

/// The responses that callers have not received completely.

/// Time for which the responses of requests that were ended are still sent.
const LAST_RESPONSE_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

export interface OpenResponses {
  /// Adds the response of a request, which `end` ends with an error.
  add(response: ServerResponse, end: (reason: RequestError) => void): void;
  /// Whether a request on the connection has no complete response yet.
  hasAny(connection: Socket): boolean;
  /// Resolves when all responses have been sent. Ends the requests that have
  /// none after `timeout`.
  finish(timeout: Milliseconds): Promise<void>;
}

/// Creates the record of the responses of one VM.
export function createOpenResponses(clock: Clock): OpenResponses {
  const open = new Map<ServerResponse, (reason: RequestError) => void>();
  let waiters: (() => void)[] = [];

  const remove = (response: ServerResponse) => {
    open.delete(response);
    if (open.size > 0) return;
    waiters.forEach((resolve) => resolve());
    waiters = [];
  };

  const whenSent = async (timeout: Milliseconds) => {
    if (open.size === 0) return;
    const ended = new AbortController();
    const sent = new Promise<void>((resolve) => waiters.push(resolve));
    const expired = clock.sleep(timeout, ended.signal).catch(() => {
      // Everything has been sent before.
    });
    await Promise.race([sent, expired]);
    ended.abort();
  };

  return {
    add(response, end) {
      open.set(response, end);
      response.once("close", () => remove(response));
    },
    hasAny: (connection) =>
      [...open.keys()].some(({ socket }) => socket === connection),
    async finish(timeout) {
      await whenSent(timeout);
      for (const end of [...open.values()]) {
        const options = { executed: "unknown", retryAfterSeconds: 1 } as const;
        end(new RequestError("draining", options));
      }
      await whenSent(LAST_RESPONSE_TIMEOUT_MILLISECONDS);
    },
  };
}
