import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/// Counts what the links carry, for the metrics and, summed up, for the log.

const LOG_INTERVAL_MILLISECONDS: Milliseconds = 10_000;

export interface LinkTraffic {
  /// Counts one received message.
  record(name: string): void;
  close(): void;
}

export interface LinkTrafficOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
}

export function startLinkTraffic(
  { clock, log, metrics }: LinkTrafficOptions,
): LinkTraffic {
  const stop = new AbortController();
  const counts = new Map<string, number>();

  const write = () => {
    if (counts.size === 0) return;
    for (const [name, count] of counts) {
      metrics.linkMessages.inc({ name }, count);
    }
    log.info("link messages", Object.fromEntries(counts));
    counts.clear();
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await clock.sleep(LOG_INTERVAL_MILLISECONDS, stop.signal).catch(() => {
        // Aborted by close(); the loop ends.
      });
      write();
    }
  };

  void run();
  return {
    record: (name) => void counts.set(name, (counts.get(name) ?? 0) + 1),
    close: () => stop.abort(new Error("closed")),
  };
}
