import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

/// Metrics of one daemon. Each label has few values, so no label contains a
/// customer.
export interface Metrics {
  readonly registry: Registry;
  /// Ended requests, by kind and by reason for the end.
  readonly requestsEnded: Counter<"kind" | "reason">;
  /// Seconds from arrival to the first token, by length class of the prompt.
  readonly firstTokenSeconds: Histogram<"length">;
  /// Requests that count for a service-level objective, by result.
  readonly objectiveRequests: Counter<"objective" | "result">;
  readonly runningRequests: Gauge;
  readonly sheetRevision: Gauge;
  readonly connectedVms: Gauge;
  /// Connections to upstreams through another VM, by the VM that opened them.
  readonly tunnels: Counter<"opened_by">;
  /// Ledger operations that are queued on this VM or being written.
  readonly ledgerPending: Gauge;
  /// Ledger writes since the start that failed because of another VM's write.
  readonly ledgerConflicts: Gauge;
  /// Ledger operations that this VM wrote because the owner of their shard
  /// did not respond.
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
    tunnels: new Counter({
      name: "sequoiaturn_tunnels_total",
      help: "Connections to upstreams through another VM, by who opened them",
      labelNames: ["opened_by"],
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
