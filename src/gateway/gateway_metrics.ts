import { Counter, Gauge, Histogram, Registry } from "prom-client";

/// Counters, gauges and latency histograms of one gateway process. Labels have
/// few values.
export interface GatewayMetrics {
  readonly registry: Registry;
  readonly ended: Counter<"route_kind" | "outcome">;
  readonly retries: Counter<"reason">;
  /// Attempts whose upstream stopped sending for longer than expected.
  readonly silences: Counter<"route_kind">;
  readonly firstByteSeconds: Histogram<"route_kind">;
  readonly durationSeconds: Histogram<"route_kind" | "outcome">;
  /// Connections of callers by the end that closed them.
  readonly callerConnectionsClosed: Counter<"closed_by">;
  readonly running: Gauge;
  readonly configurationVersion: Gauge;
  readonly upstreams: Gauge;
  readonly limitedUpstreams: Gauge;
  readonly suspendedUpstreams: Gauge;
  readonly unreachableUpstreams: Gauge;
  readonly detouredUpstreams: Gauge;
  /// Tunnels to upstreams, opened by other VMs for this one or the reverse.
  readonly tunnels: Counter<"opened_by">;
  readonly limitedAttempts: Counter<"result">;
  readonly peers: Gauge;
  readonly storeConnected: Gauge;
  readonly storeFollower: Gauge;
  readonly connectionsOpened: Gauge;
  readonly logLinesDropped: Gauge;
  readonly unexpectedErrors: Counter;
  /// Crashes of upstreams by the VM that reported them.
  readonly crashesRecorded: Counter<"source">;
  readonly linkMessages: Counter<"name">;
}

/// From a fast response of a service to the longest deadline.
const BUCKETS_SECONDS = [
  0.02,
  0.05,
  0.1,
  0.2,
  0.3,
  0.5,
  0.8,
  1.5,
  3,
  6,
  10,
  15,
  30,
];

export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const gauge = (name: string, help: string) =>
    new Gauge({ name: `sequoiaturn_gateway_${name}`, help, registers });
  return {
    registry,
    ended: new Counter({
      name: "sequoiaturn_gateway_requests_ended_total",
      help: "Requests that ended, by kind of route and outcome",
      labelNames: ["route_kind", "outcome"],
      registers,
    }),
    retries: new Counter({
      name: "sequoiaturn_gateway_repeats_total",
      help: "Requests sent to a further upstream, by reason",
      labelNames: ["reason"],
      registers,
    }),
    silences: new Counter({
      name: "sequoiaturn_gateway_silences_total",
      help: "Times that an upstream sent nothing for longer than expected",
      labelNames: ["route_kind"],
      registers,
    }),
    callerConnectionsClosed: new Counter({
      name: "sequoiaturn_gateway_caller_connections_closed_total",
      help: "Connections of callers by the end that closed them",
      labelNames: ["closed_by"],
      registers,
    }),
    firstByteSeconds: new Histogram({
      name: "sequoiaturn_gateway_first_byte_seconds",
      help: "Time from arrival to the first byte of a good answer",
      labelNames: ["route_kind"],
      buckets: BUCKETS_SECONDS,
      registers,
    }),
    durationSeconds: new Histogram({
      name: "sequoiaturn_gateway_duration_seconds",
      help: "Time from arrival to the end, by outcome",
      labelNames: ["route_kind", "outcome"],
      buckets: BUCKETS_SECONDS,
      registers,
    }),
    running: gauge("running_requests", "Requests that have not ended"),
    configurationVersion: gauge(
      "configuration_version",
      "Version of the configuration in force",
    ),
    upstreams: gauge("upstreams", "Upstreams that are listed"),
    limitedUpstreams: gauge(
      "limited_upstreams",
      "Upstreams that state a limit on requests",
    ),
    suspendedUpstreams: gauge(
      "suspended_upstreams",
      "Upstreams that get no requests of this VM for a time",
    ),
    unreachableUpstreams: gauge(
      "unreachable_upstreams",
      "Upstreams that accepted no connection from this VM when last tried",
    ),
    detouredUpstreams: gauge(
      "detoured_upstreams",
      "Upstreams that this VM reaches only through other VMs",
    ),
    tunnels: new Counter({
      name: "sequoiaturn_gateway_tunnels_total",
      help: "Connections to upstreams through another VM, by the VM that " +
        "opened them",
      labelNames: ["opened_by"],
      registers,
    }),
    limitedAttempts: new Counter({
      name: "sequoiaturn_gateway_limited_attempts_total",
      help: "Attempts at upstreams that state a limit on requests, by result",
      labelNames: ["result"],
      registers,
    }),
    peers: gauge("peers", "Other VMs with a working link"),
    storeConnected: gauge("store_connected", "1 while the store answers"),
    storeFollower: gauge(
      "store_reader",
      "1 while this VM follows the store, 0 while others tell it of changes",
    ),
    connectionsOpened: gauge(
      "upstream_connections_opened",
      "Connections made to upstreams since the start",
    ),
    logLinesDropped: gauge(
      "log_lines_dropped",
      "Log lines that were dropped because the reader was slow",
    ),
    linkMessages: new Counter({
      name: "sequoiaturn_gateway_link_messages_total",
      help: "Messages received over links, by name",
      labelNames: ["name"],
      registers,
    }),
    crashesRecorded: new Counter({
      name: "sequoiaturn_gateway_crashes_recorded_total",
      help: "Crashes of upstreams that were recorded for a request, by the " +
        "VM that reported them",
      labelNames: ["source"],
      registers,
    }),
    unexpectedErrors: new Counter({
      name: "sequoiaturn_gateway_unexpected_errors_total",
      help: "Errors that nothing caught",
      registers,
    }),
  };
}
