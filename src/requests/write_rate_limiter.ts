import type { Clock, Milliseconds } from "../support/clock.ts";

/// Limits the rate of one VM's writes to the key-value store.
export interface WriteRateLimiter {
  /// Reserves one write and resolves when it may be made.
  acquire(): Promise<void>;
}

export interface WriteRateLimiterOptions {
  readonly clock: Clock;
  /// The VM's current share of the write rate.
  readonly writesPerSecond: () => number;
  /// Burst size, as the time in which its writes accrue.
  readonly burst: Milliseconds;
}

export function createWriteRateLimiter(
  options: WriteRateLimiterOptions,
): WriteRateLimiter {
  const { clock } = options;
  let nextWriteAt = -Infinity;
  return {
    async acquire() {
      const gap = 1_000 / options.writesPerSecond();
      const earliest = clock.now() - Math.max(options.burst, gap);
      nextWriteAt = Math.max(nextWriteAt, earliest) + gap;
      const wait = nextWriteAt - clock.now();
      if (wait > 0) await clock.sleep(wait);
    },
  };
}
