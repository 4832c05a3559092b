import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

/// The metrics of one daemon. Labels take few values; none is a customer.
export interface Metrics {
  readonly registry: Registry;
  /// Ended requests by kind and reason.
  readonly requestsEnded: Counter<"kind" | "reason">;
  /// Seconds to the first token by length class.
  readonly firstTokenSeconds: Histogram<"length">;
  /// Requests that count for a service-level objective, by result.
  readonly objectiveRequests: Counter<"objective" | "result">;
  readonly runningRequests: Gauge;
  readonly sheetRevision: Gauge;
  readonly connectedVms: Gauge;
  /// Ledger operations that wait on this VM or are being written.
  readonly ledgerPending: Gauge;
  /// Ledger writes that lost against another VM's, since the start.
  readonly ledgerConflicts: Gauge;
  /// Ledger operations written here because the home did not answer.
  readonly ledgerFallbacks: Gauge;
}

const FIRST_TOKEN_BUCKETS_SECONDS = [
  0.05,
  0.1,
  0.2,
  0.4,
  0.81,
  1.6,
  3.2,
  10,
  30,
  100,
  300,
];

export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  return {
    registry,
    requestsEnded: new Counter({
      name: "sequoiaturn_requests_ended_total",
      help: "Requests that ended, by kind and reason",
      labelNames: ["kind", "reason"],
      registers,
    }),
    firstTokenSeconds: new Histogram({
      name: "sequoiaturn_first_token_seconds",
      help: "Time from arrival to first token, by prompt length class",
      labelNames: ["length"],
      buckets: FIRST_TOKEN_BUCKETS_SECONDS,
      registers,
    }),
    objectiveRequests: new Counter({
      name: "sequoiaturn_objective_requests_total",
      help: "Requests that count for a service-level objective, by result",
      labelNames: ["objective", "result"],
      registers,
    }),
    runningRequests: new Gauge({
      name: "sequoiaturn_running_requests",
      help: "Requests that have not ended",
      registers,
    }),
    sheetRevision: new Gauge({
      name: "sequoiaturn_sheet_revision",
      help: "Revision of the sheet in force",
      registers,
    }),
    connectedVms: new Gauge({
      name: "sequoiaturn_connected_vms",
      help: "Other VMs with a working link",
      registers,
    }),
    ledgerPending: new Gauge({
      name: "sequoiaturn_ledger_pending",
      help: "Ledger operations that wait or are being written",
      registers,
    }),
    ledgerConflicts: new Gauge({
      name: "sequoiaturn_ledger_conflicts",
      help: "Ledger writes that lost against another VM's since the start",
      registers,
    }),
    ledgerFallbacks: new Gauge({
      name: "sequoiaturn_ledger_fallbacks",
      help: "Ledger operations written here for want of their home",
      registers,
    }),
  };
}
