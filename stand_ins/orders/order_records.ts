import { readFileSync } from "node:fs";

/// What callers and upstreams of orders record, one JSON line each. An order may
/// be asked for again in a further attempt with an id of its own.

/// A request that an upstream began to execute.
export interface OrderExecution {
  readonly attempt: string;
  readonly order: string;
  readonly target: string;
  readonly upstream: string;
  readonly service: string;
  readonly at: number;
}

/// How an attempt of a caller ended. `refused`: the connection could not be
/// opened; `reset` and `closed`: by the gateway, before its answer was complete.
export type AttemptEnd =
  | "answered"
  | "refused"
  | "reset"
  | "closed"
  | "timed_out"
  | "left";

/// An attempt of a caller.
export interface OrderAttempt {
  readonly attempt: string;
  readonly order: string;
  readonly target: string;
  readonly gateway: string;
  readonly isProxied: boolean;
  readonly isKept: boolean;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly end: AttemptEnd;
  readonly status: number | undefined;
  /// Bytes of the answer that arrived.
  readonly received: number;
  readonly answeredAttempt: string | undefined;
}

/// Statuses that promise that the request hasn't run and never will.
const PROMISES = new Set([408, 421, 429, 503]);

/// Whether a caller may send the order again: after a promise, or if the gateway
/// closed the connection without having read the request. A reset before any
/// answer stands for that; only the gateway itself shows it.
export function mayAskAgain(
  { end, status, received, isProxied }: OrderAttempt,
): boolean {
  if (end === "answered") return PROMISES.has(status!);
  return end === "refused" || (end === "reset" && received === 0 && !isProxied);
}

/// Reads a file of records. A process that was killed may have written a part of
/// its last line.
export function readRecords<Record>(file: string): Record[] {
  return readFileSync(file, "utf8").split("\n").slice(0, -1)
    .map((line) => JSON.parse(line) as Record);
}

/// What was found in a run.
export interface OrderFindings {
  readonly twice: readonly string[];
  readonly refused: readonly string[];
  readonly misdirected: readonly string[];
  /// Orders that ran again after a reset that a caller may take for unread. No
  /// rule is broken.
  readonly ranAfterReset: readonly string[];
}

/// Checks the records of a run. `services` has the service of each path.
export function checkOrders(
  attempts: readonly OrderAttempt[],
  executions: readonly OrderExecution[],
  services: ReadonlyMap<string, string>,
): OrderFindings {
  const byAttempt = new Map<string, OrderExecution[]>();
  for (const execution of executions) {
    const earlier = byAttempt.get(execution.attempt) ?? [];
    byAttempt.set(execution.attempt, [...earlier, execution]);
  }
  const describe = (attempt: string) =>
    `${attempt}: ran at ${
      (byAttempt.get(attempt) ?? [])
        .map(({ upstream, at }) => `${upstream} ${at}`).join(", ")
    }`;
  const hasRun = ({ attempt }: OrderAttempt) => byAttempt.has(attempt);
  const twice = [...byAttempt.values()].filter(({ length }) => length > 1)
    .map(([execution]) => describe(execution!.attempt));
  const refused = attempts.filter((attempt) =>
    hasRun(attempt) && attempt.end === "answered" && mayAskAgain(attempt)
  ).map(({ attempt, status }) => `${status} for ${describe(attempt)}`);
  const misdirected = [
    ...executions.filter(({ target, service }) =>
      services.get(target) !== service
    ).map(({ attempt }) => describe(attempt)),
    ...attempts.filter(({ attempt, answeredAttempt }) =>
      answeredAttempt !== undefined && answeredAttempt !== attempt
    ).map(({ attempt, answeredAttempt }) =>
      `${attempt} got the answer to ${answeredAttempt}`
    ),
  ];
  const ranAfterReset = attempts.filter((attempt) =>
    hasRun(attempt) && attempt.end !== "answered" && mayAskAgain(attempt)
  ).map(({ attempt, end }) => `${end} for ${describe(attempt)}`);
  return { twice, refused, misdirected, ranAfterReset };
}
