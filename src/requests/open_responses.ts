import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";

/// The responses that callers have not received completely.

/// Time for which a stop waits for the rest of requests that are being received.
const INCOMPLETE_REQUEST_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;
/// Time for which the responses of requests that were ended are still sent.
const LAST_RESPONSE_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

export interface OpenResponses {
  /// Adds the response of a request whose header has been received.
  add(response: ServerResponse): void;
  /// Returns a signal that aborts with the `RequestError` with which the request
  /// has to end: its caller has closed the connection, or this VM stops.
  endSignalOf(response: ServerResponse): AbortSignal;
  /// Returns the open response to a complete request on a connection, if any.
  find(connection: Socket): ServerResponse | undefined;
  /// Resolves when the responses to all requests have been sent, except those
  /// that aren't received completely within a second. Ends the requests that have
  /// no response after `timeout`.
  finish(timeout: Milliseconds): Promise<void>;
}

/// Creates the record of the responses of one VM.
export function createOpenResponses(clock: Clock): OpenResponses {
  const callerGone = () =>
    new RequestError("caller_gone", { executed: "unknown" });
  const open = new Map<ServerResponse, AbortController>();
  let waiters: (() => void)[] = [];

  const remove = (response: ServerResponse) => {
    if (!response.writableFinished) open.get(response)?.abort(callerGone());
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
    add(response) {
      open.set(response, new AbortController());
      response.once("close", () => remove(response));
    },
    endSignalOf: (response) =>
      open.get(response)?.signal ??
        AbortSignal.abort(callerGone()),
    find: (connection) =>
      [...open.keys()].find(({ socket, req }) =>
        socket === connection && req.complete
      ),
    async finish(timeout) {
      const forRequests = Math.min(
        timeout,
        INCOMPLETE_REQUEST_TIMEOUT_MILLISECONDS,
      );
      await whenSent(forRequests);
      for (const response of [...open.keys()]) {
        if (!response.req.complete) remove(response);
      }
      await whenSent(timeout - forRequests);
      for (const end of [...open.values()]) {
        const options = { executed: "unknown", retryAfterSeconds: 1 } as const;
        end.abort(new RequestError("draining", options));
      }
      await whenSent(LAST_RESPONSE_TIMEOUT_MILLISECONDS);
    },
  };
}
