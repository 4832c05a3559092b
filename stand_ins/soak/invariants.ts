import type { ReceivedRequest } from "../platform/scripted_upstream.ts";

/// What callers and back ends must never see, whatever fails.

/// One attempt of a caller and what came of it.
export interface SeenAttempt {
  readonly id: string;
  readonly kind: "stream" | "once" | "safe";
  /// Unknown routes are asked for too.
  readonly isKnown: boolean;
  readonly status: number | undefined;
  readonly body: string;
  readonly isWhole: boolean;
  readonly took: number;
  readonly allowed: number;
}

/// Events of every stream of the soak.
export const SOAK_EVENTS = 12;
/// Time beyond its deadline in which a caller must have an end.
const END_SLACK_MILLISECONDS = 1_500;
/// Statuses that promise that the request has not run and never will.
const NOT_RUN = new Set([408, 421, 429, 503]);

/// The broken promises of one attempt, as sentences.
export function brokenPromises(
  attempt: SeenAttempt,
  runs: readonly ReceivedRequest[],
): string[] {
  const { id, kind, status, body, isWhole } = attempt;
  const broken: string[] = [];
  if (kind === "once" && runs.length > 1) {
    broken.push(`${id} ran ${runs.length} times`);
  }
  if (status !== undefined && NOT_RUN.has(status) && runs.length > 0) {
    if (kind === "once") broken.push(`${id} got ${status} and has run`);
  }
  if (attempt.isKnown && (status === 401 || status === 404)) {
    broken.push(`${id} got ${status} for what the configuration allows`);
  }
  if (!attempt.isKnown && (runs.length > 0 || status === 200)) {
    broken.push(`${id} ran on a route that doesn't exist`);
  }
  if (status === 200 && isWhole) {
    const expected = kind === "stream" ? wholeStream(id) : `done ${id}`;
    if (body !== expected) broken.push(`${id} got a wrong whole answer`);
  } else if (status === 200 && kind === "stream") {
    if (!wholeStream(id).startsWith(body)) {
      broken.push(`${id} got events that are no beginning of its stream`);
    }
  }
  if (attempt.took > attempt.allowed + END_SLACK_MILLISECONDS) {
    broken.push(`${id} had no end after ${Math.round(attempt.took)} ms`);
  }
  return broken;
}

/// The bytes of event `event` of an attempt's stream.
export function streamEvent(id: string, event: number): string {
  return `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
}

function wholeStream(id: string): string {
  return Array.from(
    { length: SOAK_EVENTS },
    (_, index) => streamEvent(id, index + 1),
  ).join("");
}
