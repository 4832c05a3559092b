import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// Limits the retries to a service beyond the first attempt of each request,
/// over all VMs together. Each VM has a share in proportion to its own requests
/// and an even part of the fixed allowance. Failures affect few VMs at a time,
/// and where there are many VMs these parts are soon exhausted. A VM may
/// therefore also use what the others leave unused, according to their reports.

/// Number of buckets in a window. Retries count for one bucket longer, so that
/// none counts for less than a window.
const WINDOW_BUCKETS = 20;
const COUNTED_BUCKETS = WINDOW_BUCKETS + 1;
/// Part of a VM's own budget that it uses, so that all VMs together stay within
/// the whole budget while VMs start and stop.
const USABLE_RATIO = 0.8;
/// Part of the whole budget up to which VMs use each other's parts. The rest is
/// for retries that several VMs take at the same moment.
const POOLED_RATIO = 0.5;
/// Time for which a VM batches its retries before it reports them to the
/// others.
const REPORT_DELAY_MILLISECONDS: Milliseconds = 200;
/// Minimum time between two retries that a VM takes from the others' parts. By
/// then it has received reports of those that the others took at the same time
/// as the first.
const POOLED_INTERVAL_MILLISECONDS: Milliseconds = 400;

const usageMessage = defineMessage(
  "gateway.repeats",
  Type.Object({
    service: Type.String(),
    /// Requests in the sender's window.
    requests: Type.Number(),
    repeats: Type.Number(),
  }),
  { replaceKey: ({ service }) => service },
);

export interface RetryLimits {
  /// Retries per request.
  readonly ratio: number;
  /// Additional retries of all VMs together in a window.
  readonly allowance: number;
  readonly window: Milliseconds;
}

export interface RetryBudget {
  recordRequest(service: string): void;
  /// Takes one retry from the budget; returns false if it is exhausted.
  take(service: string): boolean;
}

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: Links;
  readonly limits: RetryLimits;
  /// Minimum number of VMs that share the allowance.
  readonly vmCount: () => number;
}

interface Window {
  readonly requests: Float64Array;
  readonly retries: Float64Array;
  bucket: number;
}

/// What another VM has used, according to its last report.
interface PeerUsage {
  readonly requests: number;
  readonly retries: number;
  readonly at: Milliseconds;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, links, limits } = options;
  const usageByPeers = new Map<string, Map<string, PeerUsage>>();
  const unreported = new Set<string>();
  let reportTimer: Timer | undefined;
  let pooledAt: Milliseconds = -Infinity;
  const bucketWidth = limits.window / WINDOW_BUCKETS;
  const windows = new Map<string, Window>();

  const windowOf = (service: string): Window => {
    const bucket = Math.floor(clock.now() / bucketWidth);
    const window = windows.get(service) ?? {
      requests: new Float64Array(COUNTED_BUCKETS),
      retries: new Float64Array(COUNTED_BUCKETS),
      bucket,
    };
    windows.set(service, window);
    const passed = Math.min(COUNTED_BUCKETS, bucket - window.bucket);
    for (let index = 1; index <= passed; index++) {
      window.requests[(window.bucket + index) % COUNTED_BUCKETS] = 0;
      window.retries[(window.bucket + index) % COUNTED_BUCKETS] = 0;
    }
    window.bucket = bucket;
    return window;
  };

  const sum = (counts: Float64Array) =>
    counts.reduce((total, count) => total + count, 0);

  /// The oldest bucket counts for retries only.
  const requestsIn = ({ requests, bucket }: Window) =>
    sum(requests) - requests[(bucket + 1) % COUNTED_BUCKETS]!;

  const report = () => {
    reportTimer = undefined;
    for (const service of unreported) {
      const window = windowOf(service);
      links.broadcast(usageMessage, {
        service,
        requests: requestsIn(window),
        repeats: sum(window.retries),
      });
    }
    unreported.clear();
  };

  const recordRetry = (service: string) => {
    const window = windowOf(service);
    window.retries[window.bucket % COUNTED_BUCKETS]! += 1;
    unreported.add(service);
    reportTimer ??= clock.schedule(REPORT_DELAY_MILLISECONDS, report);
  };

  links.onMessage(
    usageMessage,
    ({ service, requests, repeats: retries }, { vm }) => {
      const usage = usageByPeers.get(service) ?? new Map<string, PeerUsage>();
      usageByPeers.set(service, usage);
      usage.set(vm, { requests, retries, at: clock.now() });
    },
  );

  /// What the linked VMs have used, and how much of the whole budget they may
  /// use. VMs beyond a network partition use their part of it, and their reports
  /// don't arrive.
  const pooledUsage = (service: string) => {
    const window = windowOf(service);
    const since = clock.now() - limits.window - bucketWidth;
    const reports = [...usageByPeers.get(service)?.values() ?? []]
      .filter(({ at }) => at >= since);
    const requests = reports.reduce(
      (total, peer) => total + peer.requests,
      requestsIn(window),
    );
    const retries = reports.reduce(
      (total, peer) => total + peer.retries,
      sum(window.retries),
    );
    const linkedRatio = (links.peers().length + 1) /
      Math.max(1, options.vmCount());
    const allowed = limits.ratio * requests +
      limits.allowance * Math.min(1, linkedRatio);
    return { retries, allowed };
  };

  const takeFromOthers = (service: string) => {
    if (clock.now() - pooledAt < POOLED_INTERVAL_MILLISECONDS) return false;
    const { retries, allowed } = pooledUsage(service);
    const unused = allowed * POOLED_RATIO - retries;
    // All VMs may take a retry at the same moment.
    if (options.random.next() >= unused / options.vmCount()) return false;
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
      const hasOwnRetry = sum(window.retries) + 1 <= allowed * USABLE_RATIO;
      if (!hasOwnRetry && !takeFromOthers(service)) return false;
      recordRetry(service);
      return true;
    },
  };
}
