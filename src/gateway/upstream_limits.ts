import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Limits that upstreams state in their responses: how many requests a second
/// they accept from all VMs together.

/// What a response states about the limit of its upstream.
export interface StatedLimit {
  /// Requests per second; undefined if the response names no limit.
  readonly limit: number | undefined;
  /// When the request was sent.
  readonly sentAt: Milliseconds;
}

export interface UpstreamLimits {
  /// Records what a response of an upstream states.
  record(upstream: string, stated: StatedLimit): void;
  /// Number of upstreams that have a limit.
  count(): number;
  /// Forgets an upstream.
  remove(upstream: string): void;
}

export interface UpstreamLimitsOptions {
  readonly clock: Clock;
  readonly log: Logger;
}

export function createUpstreamLimits(
  { clock, log }: UpstreamLimitsOptions,
): UpstreamLimits {
  /// Limits, and when they were learned, by upstream.
  const limits = new Map<string, { limit: number; learnedAt: Milliseconds }>();

  return {
    record(upstream, { limit, sentAt }) {
      const known = limits.get(upstream);
      if (limit !== undefined) {
        limits.set(upstream, { limit, learnedAt: clock.now() });
        if (!known) log.info("upstream limited", { upstream, limit });
        return;
      }
      // A request that was sent before may have been answered before.
      if (!known || sentAt < known.learnedAt) return;
      limits.delete(upstream);
      log.info("upstream no longer limited", { upstream });
    },
    count: () => limits.size,
    remove: (upstream) => void limits.delete(upstream),
  };
}
