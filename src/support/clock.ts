/// Time in milliseconds, timers and delays.

export type Milliseconds = number;

/// A pending callback. Cancelling has no effect once the callback has run.
export interface Timer {
  cancel(): void;
}

/// The only source of time, except for log timestamps and timeouts of HTTP
/// calls. Production code uses the system clock. Tests and measurements use a
/// fake clock that they advance themselves.
export interface Clock {
  /// Monotonic time. Only differences are meaningful.
  now(): Milliseconds;
  /// Milliseconds since the Unix epoch. May jump forwards or backwards.
  wallTime(): Milliseconds;
  /// Calls `callback` once, after `delay`.
  schedule(delay: Milliseconds, callback: () => void): Timer;
  /// Resolves after `delay`, or rejects with the signal's reason.
  sleep(delay: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/// Implements `sleep` with a `schedule` function.
export function createSleep(schedule: Clock["schedule"]): Clock["sleep"] {
  return (delay, signal) =>
    new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason);
      const timer = schedule(delay, () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
      const onAbort = () => {
        timer.cancel();
        reject(signal?.reason);
      };
      signal?.addEventListener("abort", onAbort, { once: true });
    });
}

/// Node.js timers fire at once if their delay is longer.
const MAXIMUM_TIMER_DELAY_MILLISECONDS = 2 ** 31 - 1;

/// Creates a clock that uses the time and the timers of the process.
export function createSystemClock(): Clock {
  const schedule = (delay: Milliseconds, callback: () => void): Timer => {
    const boundedDelay = Math.min(
      Math.max(0, delay),
      MAXIMUM_TIMER_DELAY_MILLISECONDS,
    );
    const timeout = setTimeout(callback, boundedDelay);
    return { cancel: () => clearTimeout(timeout) };
  };
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule,
    sleep: createSleep(schedule),
  };
}
