import type { Clock, Milliseconds } from "../support/clock.ts";

/// Bounds retries to a share of recent requests, so that failing upstreams
/// don't get more work than healthy ones.

/// Retries that each request pays for.
const RETRY_SHARE = 0.2;
/// Retries that may be saved up.
const CAPACITY = 50;
/// Retries a second that are allowed however few requests there are.
const MINIMUM_PER_SECOND = 1;

export interface RetryBudget {
  recordRequest(): void;
  /// Takes one retry; false when the budget is spent.
  take(): boolean;
}

export function createRetryBudget(clock: Clock): RetryBudget {
  let level = CAPACITY;
  let filledAt: Milliseconds = clock.now();

  const add = (amount: number) => {
    level = Math.min(CAPACITY, level + amount);
  };

  return {
    recordRequest: () => add(RETRY_SHARE),
    take() {
      const now = clock.now();
      add((now - filledAt) * MINIMUM_PER_SECOND / 1_000);
      filledAt = now;
      if (level < 1) return false;
      level--;
      return true;
    },
  };
}
