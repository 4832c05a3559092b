import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { PRIORITIES, type Priority } from "../contracts/sheet.ts";
import type { Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";

/// The request headers that this program evaluates.

export interface CallerHeaders {
  readonly keyHash: string;
  /// Time within which the caller needs the answer.
  readonly deadline: Milliseconds | undefined;
  readonly priority: Priority | undefined;
  readonly idempotencyKey: string | undefined;
  /// Tokens of the answer that a resuming caller has already received.
  readonly resumeOffset?: number;
}

/// Headers that may occur only once. A load balancer and this program could
/// interpret a second one differently.
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
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;
const OFFSET_PATTERN = /^(0|[1-9][0-9]{0,8})$/;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]+)$/;

function headerError(detail: string): RequestError {
  return new RequestError("malformed_request", { detail });
}

function rejectDuplicateHeaders(rawHeaders: readonly string[]): void {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!SINGLE_HEADERS.has(name)) continue;
    if (seen.has(name)) throw headerError(`the header ${name} stands twice`);
    seen.add(name);
  }
}

function readDeadline(text: string | undefined): Milliseconds | undefined {
  if (text === undefined) return undefined;
  if (DEADLINE_PATTERN.test(text)) return Number(text);
  throw headerError(
    "x-deadline-milliseconds: expected a whole number above 0",
  );
}

function readOffset(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (OFFSET_PATTERN.test(text)) return Number(text);
  throw headerError("x-resume-offset: expected a whole number");
}

function readPriority(text: string | undefined): Priority | undefined {
  if (text === undefined) return undefined;
  const known = PRIORITIES.find((priority) => priority === text);
  if (known) return known;
  throw headerError(`x-priority: expected one of ${PRIORITIES.join(", ")}`);
}

/// Reads the headers. Throws `RequestError`.
export function readCallerHeaders(message: IncomingMessage): CallerHeaders {
  rejectDuplicateHeaders(message.rawHeaders);
  const { headers } = message;
  const single = (name: string) => headers[name] as string | undefined;
  const key = BEARER_PATTERN.exec(headers.authorization ?? "")?.[1];
  if (!key) throw new RequestError("unauthenticated");
  return {
    keyHash: createHash("sha256").update(key).digest("hex"),
    deadline: readDeadline(single("x-deadline-milliseconds")),
    priority: readPriority(single("x-priority")),
    idempotencyKey: single("idempotency-key"),
    resumeOffset: readOffset(single("x-resume-offset")),
  };
}
