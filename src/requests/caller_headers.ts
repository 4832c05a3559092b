import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { PRIORITIES, type Priority } from "../contracts/sheet.ts";
import type { Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";

/// The request headers that mean something to this program.

export interface CallerHeaders {
  readonly keyHash: string;
  readonly deadline: Milliseconds | undefined;
  readonly priority: Priority | undefined;
  readonly idempotencyKey: string | undefined;
  /// Tokens of the answer that a caller who comes back has.
  readonly resumeOffset?: number;
}

/// Headers that may stand once only; a second one could mean one thing to a
/// balancer and another here.
const SINGLE_HEADERS = new Set([
  "authorization",
  "content-length",
  "content-type",
  "host",
  "idempotency-key",
  "transfer-encoding",
  "x-deadline-milliseconds",
  "x-priority",
  "x-resume-offset",
]);
const DEADLINE = /^[1-9][0-9]{0,8}$/;
const OFFSET = /^(0|[1-9][0-9]{0,8})$/;
const BEARER = /^Bearer ([\x21-\x7e]+)$/;

function malformed(detail: string): RequestError {
  return new RequestError("malformed_request", { detail });
}

function rejectRepeatedHeaders(rawHeaders: readonly string[]): void {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!SINGLE_HEADERS.has(name)) continue;
    if (seen.has(name)) throw malformed(`the header ${name} stands twice`);
    seen.add(name);
  }
}

function readDeadline(text: string | undefined): Milliseconds | undefined {
  if (text === undefined) return undefined;
  if (DEADLINE.test(text)) return Number(text);
  throw malformed("x-deadline-milliseconds: expected a whole number above 0");
}

function readOffset(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (OFFSET.test(text)) return Number(text);
  throw malformed("x-resume-offset: expected a whole number");
}

function readPriority(text: string | undefined): Priority | undefined {
  if (text === undefined) return undefined;
  const known = PRIORITIES.find((priority) => priority === text);
  if (known) return known;
  throw malformed(`x-priority: expected one of ${PRIORITIES.join(", ")}`);
}

/// Reads the headers. Throws `RequestError`.
export function readCallerHeaders(message: IncomingMessage): CallerHeaders {
  rejectRepeatedHeaders(message.rawHeaders);
  const { headers } = message;
  const single = (name: string) => headers[name] as string | undefined;
  const key = BEARER.exec(headers.authorization ?? "")?.[1];
  if (!key) throw new RequestError("unauthenticated");
  return {
    keyHash: createHash("sha256").update(key).digest("hex"),
    deadline: readDeadline(single("x-deadline-milliseconds")),
    priority: readPriority(single("x-priority")),
    idempotencyKey: single("idempotency-key"),
    resumeOffset: readOffset(single("x-resume-offset")),
  };
}
