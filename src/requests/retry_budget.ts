import type { Clock, Milliseconds } from "../support/clock.ts";

/// Limits retries to a share of recent requests, so that failing upstreams
/// don't receive more work than healthy ones.

/// Number of requests that allow one retry.
const REQUESTS_PER_RETRY = 5;
/// Maximum number of retries that may accumulate.
const MAXIMUM_SAVED_RETRIES = 50;
/// Interval in which one retry is allowed regardless of the number of requests.
const FREE_RETRY_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

export interface RetryBudget {
  recordRequest(): void;
  /// Consumes one retry. Returns false when the budget is exhausted.
  take(): boolean;
}

export function createRetryBudget(clock: Clock): RetryBudget {
  const capacity = MAXIMUM_SAVED_RETRIES * REQUESTS_PER_RETRY;
  /// Remaining budget, in requests.
  let level = capacity;
  let refilledAt: Milliseconds = clock.now();

  const add = (requests: number) => {
    level = Math.min(capacity, level + requests);
  };

  return {
    recordRequest: () => add(1),
    take() {
      const now = clock.now();
      add(
        (now - refilledAt) * REQUESTS_PER_RETRY /
          FREE_RETRY_INTERVAL_MILLISECONDS,
      );
      refilledAt = now;
      if (level < REQUESTS_PER_RETRY) return false;
      level -= REQUESTS_PER_RETRY;
      return true;
    },
  };
}
