import type { Clock, Milliseconds } from "../support/clock.ts";

/// Counts of good and bad requests over a sliding window, in a fixed number
/// of buckets, so that the memory doesn't grow with the traffic.

/// Whole buckets of a window, besides the one that fills now.
export const BUCKETS_PER_WINDOW = 30;

export interface BucketCount {
  readonly total: number;
  readonly bad: number;
}

export interface WindowCounter {
  add(good: boolean): void;
  /// Counts by age, the bucket that fills now first.
  buckets(): readonly BucketCount[];
}

const EMPTY: BucketCount = { total: 0, bad: 0 };

export function createWindowCounter(
  clock: Clock,
  window: Milliseconds,
): WindowCounter {
  const width = window / BUCKETS_PER_WINDOW;
  const numberNow = () => Math.floor(clock.now() / width);
  let counts: BucketCount[] = Array(BUCKETS_PER_WINDOW + 1).fill(EMPTY);
  let newest = numberNow();

  /// Moves the window on to the present.
  const advance = () => {
    const passed = Math.min(numberNow() - newest, counts.length);
    newest = numberNow();
    if (passed <= 0) return;
    const kept = counts.slice(0, counts.length - passed);
    counts = [...Array(passed).fill(EMPTY), ...kept];
  };

  return {
    add(good) {
      advance();
      const { total, bad } = counts[0]!;
      counts[0] = { total: total + 1, bad: bad + (good ? 0 : 1) };
    },
    buckets() {
      advance();
      return [...counts];
    },
  };
}
