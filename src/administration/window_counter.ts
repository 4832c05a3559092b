import type { Clock, Milliseconds } from "../support/clock.ts";

/// Counts good and bad requests over a sliding window, in a fixed number of
/// buckets, so that memory use doesn't grow with the traffic.

/// Complete buckets of a window, besides the current one.
export const BUCKETS_PER_WINDOW = 30;

export interface BucketCount {
  readonly total: number;
  readonly bad: number;
}

export interface WindowCounter {
  add(good: boolean): void;
  /// Counts by age, the current bucket first.
  buckets(): readonly BucketCount[];
}

const EMPTY_BUCKET: BucketCount = { total: 0, bad: 0 };

export function createWindowCounter(
  clock: Clock,
  windowMilliseconds: Milliseconds,
): WindowCounter {
  const bucketMilliseconds = windowMilliseconds / BUCKETS_PER_WINDOW;
  const currentBucketNumber = () =>
    Math.floor(clock.now() / bucketMilliseconds);
  let counts: BucketCount[] = Array(BUCKETS_PER_WINDOW + 1).fill(EMPTY_BUCKET);
  let newestBucketNumber = currentBucketNumber();

  /// Drops the buckets that have left the window and adds empty ones up to now.
  const advance = () => {
    const elapsedBuckets = Math.min(
      currentBucketNumber() - newestBucketNumber,
      counts.length,
    );
    newestBucketNumber = currentBucketNumber();
    if (elapsedBuckets <= 0) return;
    const remaining = counts.slice(0, counts.length - elapsedBuckets);
    counts = [...Array(elapsedBuckets).fill(EMPTY_BUCKET), ...remaining];
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
