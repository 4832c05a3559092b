import type { Clock, Milliseconds } from "../support/clock.ts";
import type { EngineClient, LoadReport } from "./engine_client.ts";

/// Where the load reports of engines come from.

export const REPORT_INTERVAL_MILLISECONDS = 250;

export interface ReportListener {
  readonly onReport: (report: LoadReport) => void;
  /// The engine could not be asked.
  readonly onFailure: () => void;
}

export interface LoadReports {
  /// Hands on the reports of an engine until the function returned is called.
  subscribe(
    name: string,
    client: EngineClient,
    listener: ReportListener,
  ): () => void;
}

/// Asks each engine itself.
export function createDirectLoadReports(
  clock: Clock,
  interval: Milliseconds = REPORT_INTERVAL_MILLISECONDS,
): LoadReports {
  const poll = async (
    client: EngineClient,
    listener: ReportListener,
    signal: AbortSignal,
  ) => {
    while (!signal.aborted) {
      try {
        listener.onReport(await client.load());
      } catch {
        listener.onFailure();
      }
      await clock.sleep(interval, signal).catch(() => {});
    }
  };
  return {
    subscribe(_name, client, listener) {
      const stop = new AbortController();
      void poll(client, listener, stop.signal);
      return () => stop.abort(new Error("removed"));
    },
  };
}
