import type { Clock, Milliseconds } from "../support/clock.ts";

/// Grants permits at a rate, with short bursts.

/// Time in which the permits of a burst accrue, beyond the first one.
const BURST_MILLISECONDS: Milliseconds = 500;

export interface PermitSchedule {
  /// Takes a permit; returns false if the rate is reached. `rate` is in permits
  /// per second and may change. An urgent request may take the next permit before
  /// it is due.
  take(rate: number, isUrgent?: boolean): boolean;
  /// Time until the next permit; 0 if there is one.
  delay(): Milliseconds;
}

/// Creates a schedule whose first permit is due after one interval, since another
/// VM may have granted permits of the same limit before.
export function createPermitSchedule(
  clock: Clock,
  initialRate: number,
): PermitSchedule {
  let nextAt = clock.now() + 1_000 / initialRate;
  return {
    take(rate, isUrgent = false) {
      const now = clock.now();
      const interval = 1_000 / rate;
      const latest = isUrgent ? now + interval : now;
      // Two intervals, if an urgent request has taken the next permit.
      nextAt = Math.min(nextAt, now + 2 * interval);
      if (nextAt > latest) return false;
      nextAt = Math.max(nextAt, now - BURST_MILLISECONDS) + interval;
      return true;
    },
    delay: () => Math.max(0, nextAt - clock.now()),
  };
}
