import type { Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// When a refused caller is told to return.

/// Time without an estimate: about one pass of the platform's upstream list.
const DEFAULT_DELAY_MILLISECONDS: Milliseconds = 400;
/// Share by which the time is longer at random. Callers that are refused in the
/// same second would otherwise return in the same second.
const SPREAD_RATIO = 0.5;

/// Returns the seconds after which a caller should return that is expected to be
/// served after `estimate`.
export function retryAfterSeconds(
  estimate: Milliseconds | undefined,
  random: RandomSource,
): number {
  const delay = Math.max(DEFAULT_DELAY_MILLISECONDS, estimate ?? 0);
  return delay * (1 + SPREAD_RATIO * random.next()) / 1_000;
}
