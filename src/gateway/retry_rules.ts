import type { Milliseconds } from "../support/clock.ts";
import { MAXIMUM_REFUSALS } from "./attempt_preparation.ts";
import type { AttemptRecord } from "./attempt_records.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { Placement } from "./request_placer.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { Upstream } from "./upstream.ts";

/// Decides whether a further attempt at a request may follow.

/// Work that depends on a failed engine stalls for 1.5 s on the platform before
/// it is refused; a full engine refuses within a round trip.
const STALL_MILLISECONDS: Milliseconds = 700;

/// Statuses after which callers send any request again, since they promise that it
/// hasn't run and never will.
const PROMISES = new Set([408, 421, 429, 503]);

export interface RetryRules {
  /// Whether the status of an upstream that may have executed the request may be
  /// passed on: not if it promises the opposite and the request may run only once.
  mayForward(status: number): boolean;
  /// Whether an upstream is listed that has had no attempt.
  hasUntriedUpstream(): boolean;
  /// Whether the request may have a further attempt, beside those that may have
  /// run and `current`. Each one counts, also at the same upstream.
  mayRunElsewhere(current?: Placement): boolean;
  /// Whether silent attempts may have a further replacement.
  mayReplace(): boolean;
  /// Records that an attempt may have been executed, and why it isn't relied on.
  recordPossibleExecution(placement: Placement, reason: string): void;
  /// Takes a result into account that doesn't end the request by itself. Returns
  /// whether a further attempt may follow.
  recordFailure(record: AttemptRecord): boolean;
}

export interface RetryRulesOptions {
  readonly response: CallerResponse;
  readonly progress: RequestProgress;
}

export function createRetryRules(
  { view, health }: RequestContext,
  { route, service }: GatewayRequest,
  { response, progress }: RetryRulesOptions,
): RetryRules {
  const mayResume = route.kind === "stream" && route.isResumable;
  const isRetryable = route.kind === "safe" || mayResume;

  const isStillListed = (upstream: Upstream) => {
    const listed = view.upstream(upstream.id);
    return listed !== undefined && listed.startedAt === upstream.startedAt;
  };

  const hasUntriedUpstream = () =>
    view.available(service.name).some(({ id }) =>
      !progress.avoided.has(id) && !health.isSuspended(id)
    );

  const mayRunElsewhere = (current?: Placement) => {
    const used = new Set(
      [...progress.mayHaveExecutedAt]
        .filter(({ upstream }) => isStillListed(upstream)),
    );
    if (current) used.add(current);
    return isRetryable && used.size < route.maxUpstreams;
  };

  /// Without the id of an event, a stream that has begun can't be resumed.
  const canContinue = () =>
    !response.isStarted() || progress.lastId !== undefined;

  const recordPossibleExecution = (placement: Placement, reason: string) => {
    progress.lastReason = reason;
    progress.mayHaveExecutedAt.add(placement);
    progress.deliveredAttempts += 1;
    progress.avoided.add(placement.upstream.id);
  };

  const recordFailure = (
    { placement, result, took }: AttemptRecord,
  ): boolean => {
    if (result.kind === "answered" || result.kind === "failed") {
      const reason = result.kind === "failed"
        ? result.reason
        : `the upstream answered ${result.status}`;
      if (result.kind === "answered") progress.lastResponse = result;
      progress.mayHaveExecuted = true;
      recordPossibleExecution(placement, reason);
      return mayRunElsewhere() &&
        (result.kind === "answered" || canContinue());
    }
    if (result.kind !== "not_run") return false;
    progress.lastReason = result.reason;
    progress.avoided.add(placement.upstream.id);
    // It may have been silent before.
    progress.mayHaveExecutedAt.delete(placement);
    if (!result.isUnreachable) progress.deliveredAttempts += 1;
    const faulty = result.faultAddress === undefined
      ? undefined
      : view.available(service.name).find(({ address }) =>
        address === result.faultAddress
      );
    if (faulty) {
      progress.avoided.add(faulty.id);
      // A full engine refuses at once; a failed one stalls the others.
      if (took > STALL_MILLISECONDS) health.recordUnreachable(faulty.id);
    }
    const isLast = !hasUntriedUpstream();
    // An upstream that is gone says nothing about the capacity of the others.
    if (isLast || !result.isUnreachable) progress.refusals += 1;
    const isGone = isLast && result.isUnreachable &&
      progress.attempts >= MAXIMUM_REFUSALS;
    return !isGone && progress.refusals < MAXIMUM_REFUSALS;
  };

  return {
    mayForward: (status) => isRetryable || !PROMISES.has(status),
    hasUntriedUpstream,
    mayRunElsewhere,
    mayReplace: () =>
      mayRunElsewhere() && canContinue() &&
      progress.refusals < MAXIMUM_REFUSALS,
    recordPossibleExecution,
    recordFailure,
  };
}
