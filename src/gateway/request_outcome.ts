import type { Milliseconds } from "../support/clock.ts";

/// How a request ended, for logs and metrics.
export interface RequestOutcome {
  readonly outcome:
    | "served"
    | "upstream_failure"
    | "refused"
    | "failed"
    | "timed_out"
    | "caller_gone"
    /// The gateway closed the connection for a reason that isn't the request's.
    | "connection_closed"
    | "broken_off";
  readonly status: number | undefined;
  readonly reason: string;
  readonly attempts: number;
  /// Time from arrival to the first byte of the response.
  readonly firstByte: Milliseconds | undefined;
  /// Longest time between two writes of a stream.
  readonly longestEventGap: Milliseconds;
  /// Time since the last write of a response that has begun, or since arrival.
  readonly sinceLastWrite: Milliseconds;
  /// Whether the response met the route's objective and maximum event gap.
  readonly isInTime: boolean;
  /// The last placement: its estimate and the inputs of the estimate.
  readonly placement: {
    readonly upstream: string;
    readonly parts: number;
    readonly expectedFirst: Milliseconds;
    /// Known work at the upstream before the placement.
    readonly requestsBefore: number;
    readonly readingBefore: Milliseconds;
  } | undefined;
}
