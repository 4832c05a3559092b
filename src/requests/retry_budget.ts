import type { Clock, Milliseconds } from "../support/clock.ts";

/// Bounds retries to a share of recent requests, so that failing upstreams
/// don't get more work than healthy ones.

/// Requests that together pay for one retry.
const REQUESTS_PER_RETRY = 5;
/// Retries that may be saved up.
const CAPACITY_RETRIES = 50;
/// Time that pays for one retry however few requests there are.
const FREE_RETRY_MILLISECONDS: Milliseconds = 1_000;

export interface RetryBudget {
  recordRequest(): void;
  /// Takes one retry; false when the budget is spent.
  take(): boolean;
}

export function createRetryBudget(clock: Clock): RetryBudget {
  const capacity = CAPACITY_RETRIES * REQUESTS_PER_RETRY;
  /// In requests that paid.
  let level = capacity;
  let filledAt: Milliseconds = clock.now();

  const add = (requests: number) => {
    level = Math.min(capacity, level + requests);
  };

  return {
    recordRequest: () => add(1),
    take() {
      const now = clock.now();
      add((now - filledAt) * REQUESTS_PER_RETRY / FREE_RETRY_MILLISECONDS);
      filledAt = now;
      if (level < REQUESTS_PER_RETRY) return false;
      level -= REQUESTS_PER_RETRY;
      return true;
    },
  };
}
