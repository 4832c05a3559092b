import type { Milliseconds } from "../support/clock.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { RequestOutcome } from "./request_outcome.ts";
import type { Placement } from "./request_placer.ts";

/// What is known of one request over all its attempts.
export interface RequestProgress {
  /// Attempts that were started.
  attempts: number;
  /// Attempts that have reached an upstream and count as its load.
  deliveredAttempts: number;
  /// Refusals by upstreams.
  refusals: number;
  mayHaveExecuted: boolean;
  hasCrashedUpstream: boolean;
  /// Why the request has no complete response yet.
  lastReason: string;
  /// When the request is expected to be served, from now.
  retryEstimate: Milliseconds | undefined;
  /// The last response of an upstream that isn't a success.
  lastResponse: (AttemptResult & { kind: "answered" }) | undefined;
  /// ID of the last event that was sent to the caller.
  lastId: string | undefined;
  lastWriteAt: Milliseconds | undefined;
  lastPlacement: RequestOutcome["placement"];
  /// Placements of the attempts that may have been executed.
  readonly mayHaveExecutedAt: Set<Placement>;
  /// Addresses that attempts were made at. Several upstreams may be listed at one,
  /// after a process has started again there.
  readonly attemptedAddresses: Set<string>;
  /// IDs of upstreams that are used again only if there are no others.
  readonly avoided: Set<string>;
}

/// Returns the progress of a request that has had no attempt.
export function createRequestProgress(): RequestProgress {
  return {
    attempts: 0,
    deliveredAttempts: 0,
    refusals: 0,
    mayHaveExecuted: false,
    hasCrashedUpstream: false,
    lastReason: "no upstream is listed",
    retryEstimate: undefined,
    lastResponse: undefined,
    lastId: undefined,
    lastWriteAt: undefined,
    lastPlacement: undefined,
    mayHaveExecutedAt: new Set(),
    attemptedAddresses: new Set(),
    avoided: new Set(),
  };
}
