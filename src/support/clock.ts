/// Time as the rest of the program sees it, in milliseconds.

export type Milliseconds = number;

/// A pending callback. Cancelling one that has already run does nothing.
export interface Timer {
  cancel(): void;
}

/// The only source of time. Production code uses the system clock; tests and
/// measurements use one that they advance by hand.
export interface Clock {
  /// Monotonic time, meaningful only as a difference.
  now(): Milliseconds;
  /// Milliseconds since the Unix epoch. May jump.
  wallTime(): Milliseconds;
  /// Calls `callback` once, `delay` milliseconds from now.
  schedule(delay: Milliseconds, callback: () => void): Timer;
  /// Resolves after `delay`, or rejects with the signal's reason.
  sleep(delay: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/// Builds a `sleep` on top of a `schedule` function.
export function createSleep(schedule: Clock["schedule"]): Clock["sleep"] {
  return (delay, signal) =>
    new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason);
      const timer = schedule(delay, () => {
        signal?.removeEventListener("abort", abort);
        resolve();
      });
      const abort = () => {
        timer.cancel();
        reject(signal?.reason);
      };
      signal?.addEventListener("abort", abort, { once: true });
    });
}

/// Longest delay a Node.js timer accepts.
const MAXIMUM_TIMER_DELAY_MILLISECONDS = 2 ** 31 - 1;

/// The clock of the machine.
export function createSystemClock(): Clock {
  const schedule = (delay: Milliseconds, callback: () => void): Timer => {
    const bounded = Math.min(
      Math.max(0, delay),
      MAXIMUM_TIMER_DELAY_MILLISECONDS,
    );
    const handle = setTimeout(callback, bounded);
    return { cancel: () => clearTimeout(handle) };
  };
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule,
    sleep: createSleep(schedule),
  };
}
