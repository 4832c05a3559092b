import type { Clock, Milliseconds } from "../support/clock.ts";

/// Bounds what a service gets beyond the first try of each request, over all
/// VMs together, without a call between them: each VM keeps to its own
/// requests' share and an even part of the fixed allowance.

/// Buckets that a window is counted in.
const BUCKETS = 20;
/// Part of the allowance that is used, so that windows which lie across two
/// buckets and VMs that come and go stay within it.
const USED_SHARE = 0.8;

export interface RepeatLimits {
  /// Repeats per request.
  readonly ratio: number;
  /// Repeats of all VMs in a window beside that.
  readonly allowance: number;
  readonly window: Milliseconds;
}

export interface RepeatBudget {
  noteRequest(service: string): void;
  /// Takes one repeat; false when the budget is spent.
  take(service: string): boolean;
}

export interface RepeatBudgetOptions {
  readonly clock: Clock;
  readonly limits: RepeatLimits;
  /// VMs that share the allowance, at least.
  readonly vmCount: () => number;
}

interface Window {
  readonly requests: Float64Array;
  readonly repeats: Float64Array;
  bucket: number;
}

export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const { clock, limits } = options;
  const width = limits.window / BUCKETS;
  const windows = new Map<string, Window>();

  const windowOf = (service: string): Window => {
    const bucket = Math.floor(clock.now() / width);
    const window = windows.get(service) ?? {
      requests: new Float64Array(BUCKETS),
      repeats: new Float64Array(BUCKETS),
      bucket,
    };
    windows.set(service, window);
    const passed = Math.min(BUCKETS, bucket - window.bucket);
    for (let index = 1; index <= passed; index++) {
      window.requests[(window.bucket + index) % BUCKETS] = 0;
      window.repeats[(window.bucket + index) % BUCKETS] = 0;
    }
    window.bucket = bucket;
    return window;
  };

  const sum = (counts: Float64Array) =>
    counts.reduce((total, count) => total + count, 0);

  return {
    noteRequest(service) {
      const window = windowOf(service);
      window.requests[window.bucket % BUCKETS]! += 1;
    },
    take(service) {
      const window = windowOf(service);
      const allowed = limits.ratio * sum(window.requests) +
        limits.allowance / Math.max(1, options.vmCount());
      if (sum(window.repeats) + 1 > allowed * USED_SHARE) return false;
      window.repeats[window.bucket % BUCKETS]! += 1;
      return true;
    },
  };
}
