import type { ReceivedRequest } from "../platform/scripted_upstream.ts";

/// Invariants for callers and upstreams that must hold under every fault.

/// One attempt of a caller and its result.
export interface AttemptRecord {
  readonly id: string;
  readonly kind: "stream" | "once" | "safe";
  /// Whether its path has a route; some attempts use a path without one.
  readonly hasRoute: boolean;
  readonly status: number | undefined;
  readonly body: string;
  readonly isWhole: boolean;
  /// Duration of the attempt in milliseconds.
  readonly took: number;
  readonly allowedMilliseconds: number;
}

/// Number of events of each stream in the soak.
export const SOAK_EVENTS = 12;
/// Time after its deadline within which an attempt must end.
const END_TOLERANCE_MILLISECONDS = 1_500;
/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN = new Set([408, 421, 429, 503]);

/// Returns a description of each invariant that the attempt violated.
/// `runs` are the requests with its id that an upstream executed.
export function findViolations(
  attempt: AttemptRecord,
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
  if (attempt.hasRoute && (status === 401 || status === 404)) {
    broken.push(`${id} got ${status} on a route that the configuration allows`);
  }
  if (!attempt.hasRoute && (runs.length > 0 || status === 200)) {
    broken.push(`${id} ran on a route that doesn't exist`);
  }
  if (status === 200 && isWhole) {
    const expected = kind === "stream" ? wholeStream(id) : `done ${id}`;
    if (body !== expected) broken.push(`${id} got a wrong complete body`);
  } else if (status === 200 && kind === "stream") {
    if (!wholeStream(id).startsWith(body)) {
      broken.push(`${id} got events that are not a prefix of its stream`);
    }
  }
  if (attempt.took > attempt.allowedMilliseconds + END_TOLERANCE_MILLISECONDS) {
    broken.push(`${id} had not ended after ${Math.round(attempt.took)} ms`);
  }
  return broken;
}

/// Text of the event with number `event` in an attempt's stream.
export function streamEvent(id: string, event: number): string {
  return `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
}

function wholeStream(id: string): string {
  return Array.from(
    { length: SOAK_EVENTS },
    (_, index) => streamEvent(id, index + 1),
  ).join("");
}
