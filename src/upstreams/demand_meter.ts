import type { Clock, Milliseconds } from "../support/clock.ts";

/// Rate at which this VM receives prompt tokens, by engine priority, as an
/// exponentially decaying average.
export interface DemandMeter {
  add(priority: number, tokens: number): void;
  /// Tokens per second of prompts more urgent than `priority`.
  moreUrgentThan(priority: number): number;
}

/// Time constant of the decay.
const AVERAGING_TIME_MILLISECONDS = 10_000;

interface Average {
  tokens: number;
  updatedAt: Milliseconds;
}

export function createDemandMeter(clock: Clock): DemandMeter {
  const averages = new Map<number, Average>();

  const decayed = ({ tokens, updatedAt }: Average) =>
    tokens * Math.exp((updatedAt - clock.now()) / AVERAGING_TIME_MILLISECONDS);

  return {
    add(priority, tokens) {
      const average = averages.get(priority);
      const remaining = average ? decayed(average) : 0;
      averages.set(priority, {
        tokens: remaining + tokens,
        updatedAt: clock.now(),
      });
    },
    moreUrgentThan(priority) {
      let total = 0;
      for (const [other, average] of averages) {
        if (other < priority) total += decayed(average);
      }
      return 1_000 * total / AVERAGING_TIME_MILLISECONDS;
    },
  };
}
