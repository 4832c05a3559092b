import type { Clock, Milliseconds } from "../support/clock.ts";

/// Spreads one VM's writes to the key-value service over time.
export interface WriteBudget {
  /// Reserves one write and resolves when it may be made.
  take(): Promise<void>;
}

export interface WriteBudgetOptions {
  readonly clock: Clock;
  /// Writes a second, as the VM's share is now.
  readonly rate: () => number;
  /// Time whose writes may be saved up.
  readonly burst: Milliseconds;
}

export function createWriteBudget(options: WriteBudgetOptions): WriteBudget {
  const { clock } = options;
  let slotAt = -Infinity;
  return {
    async take() {
      const gap = 1_000 / options.rate();
      const earliest = clock.now() - Math.max(options.burst, gap);
      slotAt = Math.max(slotAt, earliest) + gap;
      const wait = slotAt - clock.now();
      if (wait > 0) await clock.sleep(wait);
    },
  };
}
