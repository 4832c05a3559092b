import type { ReceivedRequest } from "../platform/scripted_upstream.ts";

/// Invariants for callers and upstreams that must hold under every fault.

/// One request of a caller and its result.
export interface RequestRecord {
  readonly id: string;
  readonly kind: "stream" | "once" | "safe";
  /// Whether its path has a route; some requests use a path without one.
  readonly hasRoute: boolean;
  readonly status: number | undefined;
  readonly body: string;
  readonly isWhole: boolean;
  /// Duration of the request in milliseconds.
  readonly took: number;
  readonly allowedMilliseconds: number;
}

/// Number of events of each stream in the soak.
export const SOAK_EVENTS = 12;
/// Time after its deadline within which a request must end.
const END_TOLERANCE_MILLISECONDS = 1_500;
/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN = new Set([408, 421, 429, 503]);

/// Returns a description of each invariant that the request violated.
/// `executions` has an item for each time that an upstream executed the request.
export function findViolations(
  record: RequestRecord,
  executions: readonly ReceivedRequest[],
): string[] {
  const { id, kind, status, body, isWhole } = record;
  const violations: string[] = [];
  if (kind === "once" && executions.length > 1) {
    violations.push(`${id} ran ${executions.length} times`);
  }
  if (status !== undefined && NOT_RUN.has(status) && executions.length > 0) {
    if (kind === "once") violations.push(`${id} got ${status} and has run`);
  }
  if (record.hasRoute && (status === 401 || status === 404)) {
    violations.push(
      `${id} got ${status} on a route that the configuration allows`,
    );
  }
  if (!record.hasRoute && (executions.length > 0 || status === 200)) {
    violations.push(`${id} ran on a route that doesn't exist`);
  }
  if (status === 200 && isWhole) {
    const expected = kind === "stream" ? wholeStream(id) : `done ${id}`;
    if (body !== expected) violations.push(`${id} got a wrong complete body`);
  } else if (status === 200 && kind === "stream") {
    if (!wholeStream(id).startsWith(body)) {
      violations.push(`${id} got events that are not a prefix of its stream`);
    }
  }
  if (record.took > record.allowedMilliseconds + END_TOLERANCE_MILLISECONDS) {
    violations.push(`${id} had not ended after ${Math.round(record.took)} ms`);
  }
  return violations;
}

/// Text of the event with number `event` in the stream of request `id`.
export function streamEvent(id: string, event: number): string {
  return `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
}

function wholeStream(id: string): string {
  return Array.from(
    { length: SOAK_EVENTS },
    (_, index) => streamEvent(id, index + 1),
  ).join("");
}
