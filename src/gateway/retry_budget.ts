import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// Bounds what a service gets beyond the first try of each request, over all
/// VMs together. Each VM has its own requests' share and an even part of the
/// fixed allowance. Failures meet few VMs at a time, whose parts are soon spent
/// where there are many, so a VM may also take from what the others, by their
/// own word, leave unused.

/// Buckets that a window is counted in. Repeats count for one bucket longer, so
/// that none counts for less than a window.
const BUCKETS = 20;
const COUNTED_BUCKETS = BUCKETS + 1;
/// Part of the allowance that is used, so that VMs that come and go stay within
/// it.
const USED_SHARE = 0.8;
/// Part of the allowance up to which VMs take from each other's parts. The rest
/// is for what they take at the same moment.
const POOLED_SHARE = 0.5;
/// Time in which what a VM has used is gathered before the others hear of it.
const WORD_MILLISECONDS: Milliseconds = 200;
/// Least time between two repeats that a VM takes from the others' parts: by
/// then it has heard of those that the others took with the first.
const POOL_INTERVAL_MILLISECONDS: Milliseconds = 400;

const usedMessage = defineMessage(
  "gateway.repeats",
  Type.Object({
    service: Type.String(),
    /// In the sender's window.
    requests: Type.Number(),
    repeats: Type.Number(),
  }),
  { replaceKey: ({ service }) => service },
);

export interface RetryLimits {
  /// Repeats per request.
  readonly ratio: number;
  /// Repeats of all VMs in a window beside that.
  readonly allowance: number;
  readonly window: Milliseconds;
}

export interface RetryBudget {
  recordRequest(service: string): void;
  /// Takes one repeat; false when the budget is spent.
  take(service: string): boolean;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: Links;
  readonly limits: RetryLimits;
  /// VMs that share the allowance, at least.
  readonly vmCount: () => number;
}

interface Window {
  readonly requests: Float64Array;
  readonly repeats: Float64Array;
  bucket: number;
}

/// What another VM has used, by its last word.
interface Used {
  readonly requests: number;
  readonly repeats: number;
  readonly at: Milliseconds;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, links, limits } = options;
  const usedByPeers = new Map<string, Map<string, Used>>();
  const untold = new Set<string>();
  let telling: Timer | undefined;
  let pooledAt: Milliseconds = -Infinity;
  const width = limits.window / BUCKETS;
  const windows = new Map<string, Window>();

  const windowOf = (service: string): Window => {
    const bucket = Math.floor(clock.now() / width);
    const window = windows.get(service) ?? {
      requests: new Float64Array(COUNTED_BUCKETS),
      repeats: new Float64Array(COUNTED_BUCKETS),
      bucket,
    };
    windows.set(service, window);
    const passed = Math.min(COUNTED_BUCKETS, bucket - window.bucket);
    for (let index = 1; index <= passed; index++) {
      window.requests[(window.bucket + index) % COUNTED_BUCKETS] = 0;
      window.repeats[(window.bucket + index) % COUNTED_BUCKETS] = 0;
    }
    window.bucket = bucket;
    return window;
  };

  const sum = (counts: Float64Array) =>
    counts.reduce((total, count) => total + count, 0);

  /// The oldest bucket counts for repeats only.
  const requestsIn = ({ requests, bucket }: Window) =>
    sum(requests) - requests[(bucket + 1) % COUNTED_BUCKETS]!;

  const tell = () => {
    telling = undefined;
    for (const service of untold) {
      const window = windowOf(service);
      links.broadcast(usedMessage, {
        service,
        requests: requestsIn(window),
        repeats: sum(window.repeats),
      });
    }
    untold.clear();
  };

  const note = (service: string) => {
    const window = windowOf(service);
    window.repeats[window.bucket % COUNTED_BUCKETS]! += 1;
    untold.add(service);
    telling ??= clock.schedule(WORD_MILLISECONDS, tell);
  };

  links.onMessage(usedMessage, ({ service, requests, repeats }, { vm }) => {
    const used = usedByPeers.get(service) ?? new Map<string, Used>();
    usedByPeers.set(service, used);
    used.set(vm, { requests, repeats, at: clock.now() });
  });

  /// What the VMs that are linked have used, and how much of the whole they
  /// may: VMs behind a cut use their part of it unheard.
  const pooled = (service: string) => {
    const window = windowOf(service);
    const since = clock.now() - limits.window - width;
    const words = [...usedByPeers.get(service)?.values() ?? []]
      .filter(({ at }) => at >= since);
    const requests = words.reduce(
      (total, word) => total + word.requests,
      requestsIn(window),
    );
    const repeats = words.reduce(
      (total, word) => total + word.repeats,
      sum(window.repeats),
    );
    const linked = (links.peers().length + 1) / Math.max(1, options.vmCount());
    const allowed = limits.ratio * requests +
      limits.allowance * Math.min(1, linked);
    return { repeats, allowed };
  };

  const mayTakeFromOthers = (service: string) => {
    if (clock.now() - pooledAt < POOL_INTERVAL_MILLISECONDS) return false;
    const { repeats, allowed } = pooled(service);
    const left = allowed * POOLED_SHARE - repeats;
    // Every VM may draw at the same moment.
    if (options.random.next() >= left / options.vmCount()) return false;
    pooledAt = clock.now();
    return true;
  };

  return {
    recordRequest(service) {
      const window = windowOf(service);
      window.requests[window.bucket % COUNTED_BUCKETS]! += 1;
    },
    take(service) {
      const window = windowOf(service);
      const allowed = limits.ratio * requestsIn(window) +
        limits.allowance / Math.max(1, options.vmCount());
      const hasOwn = sum(window.repeats) + 1 <= allowed * USED_SHARE;
      if (!hasOwn && !mayTakeFromOthers(service)) return false;
      note(service);
      return true;
    },
  };
}
