import type { Clock, Milliseconds } from "../support/clock.ts";

/// Prompt tokens a second that this VM takes in, by engine priority, as a
/// running average.
export interface DemandMeter {
  add(priority: number, tokens: number): void;
  /// Tokens a second of prompts more urgent than `priority`.
  moreUrgentThan(priority: number): number;
}

const AVERAGING_MILLISECONDS = 10_000;

interface Average {
  tokens: number;
  at: Milliseconds;
}

export function createDemandMeter(clock: Clock): DemandMeter {
  const averages = new Map<number, Average>();

  const decayed = ({ tokens, at }: Average) =>
    tokens * Math.exp((at - clock.now()) / AVERAGING_MILLISECONDS);

  return {
    add(priority, tokens) {
      const average = averages.get(priority);
      const left = average ? decayed(average) : 0;
      averages.set(priority, { tokens: left + tokens, at: clock.now() });
    },
    moreUrgentThan(priority) {
      let total = 0;
      for (const [other, average] of averages) {
        if (other < priority) total += decayed(average);
      }
      return 1_000 * total / AVERAGING_MILLISECONDS;
    },
  };
}
