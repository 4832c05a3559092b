import type { Clock, Milliseconds } from "../support/clock.ts";
import type { EngineClient, LoadReport } from "./engine_client.ts";

/// Sources of the engines' load reports.

export const REPORT_INTERVAL_MILLISECONDS = 250;

export interface ReportListener {
  readonly onReport: (report: LoadReport) => void;
  /// Called when no report could be read from the engine.
  readonly onFailure: () => void;
}

export interface LoadReports {
  /// Passes the reports of an engine to `listener` until the returned function
  /// is called.
  subscribe(
    name: string,
    client: EngineClient,
    listener: ReportListener,
  ): () => void;
}

/// Polls each engine directly.
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
