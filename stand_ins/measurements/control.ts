import { createSystemClock } from "../../src/support/clock.ts";
import {
  type ControlPlane,
  type ControlPlaneOptions,
  startControlPlane,
} from "../control_plane.ts";
import type { MeasurementResult, ResultTable } from "../measurement.ts";

/// Control-plane cost of a node without callers, by the number of nodes,
/// engines and customers, and the time until an accepted sheet is in force on
/// all nodes. Arguments select parts: `nodes`, `engines`, `customers`, `apply`.

const clock = createSystemClock();

const NODE_COUNTS = [3, 9, 27, 48];
const ENGINE_COUNTS = [80, 320, 660];
const CUSTOMER_COUNTS = [1_000, 13_000];
const BASE_OPTIONS: ControlPlaneOptions = {
  nodes: 9,
  engines: 20,
  customers: 10,
};
const STABILIZATION_MILLISECONDS = 15_000;
const MEASUREMENT_WINDOW_MILLISECONDS = 10_000;
const APPLY_COUNT = 30;
const OUTAGE_APPLY_COUNT = 10;
const OUTAGE_RECOVERY_MILLISECONDS = 3_000;

const CPU_LIMIT_PERCENT = 1.9;
const MEMORY_LIMIT_MEGABYTES = 256;
const TRAFFIC_LIMIT_KILOBYTES_PER_SECOND = 27;
const APPLY_LIMIT_MILLISECONDS = 7_000;

interface NodeCost {
  readonly options: ControlPlaneOptions;
  /// Average over the nodes, as a percentage of one core.
  readonly cpuPercent: number;
  readonly worstCpuPercent: number;
  readonly megabytes: number;
  /// Average over the nodes of the bytes read and written.
  readonly kilobytesPerSecond: number;
  readonly worstKilobytesPerSecond: number;
  /// Load reports read from each engine in a second.
  readonly loadReadsPerEnginePerSecond: number;
}

const average = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

async function measureWindow(
  plane: ControlPlane,
  options: ControlPlaneOptions,
): Promise<NodeCost> {
  const readUsage = () =>
    Promise.all(plane.daemons.map((daemon) => daemon.readUsage()));
  const readsBefore = plane.engines.loadReportCount();
  const before = await readUsage();
  const startedAt = clock.now();
  await clock.sleep(MEASUREMENT_WINDOW_MILLISECONDS);
  const after = await readUsage();
  const elapsed = clock.now() - startedAt;
  const loadReads = plane.engines.loadReportCount() - readsBefore;
  const cpu = after.map((usage, index) =>
    (usage.cpuMilliseconds - before[index]!.cpuMilliseconds) * 100 / elapsed
  );
  const bytes = after.map((usage, index) =>
    (usage.bytes - before[index]!.bytes) / elapsed
  );
  return {
    options,
    cpuPercent: average(cpu),
    worstCpuPercent: Math.max(...cpu),
    megabytes: Math.max(...after.map((usage) => usage.residentBytes)) / 1e6,
    kilobytesPerSecond: average(bytes),
    worstKilobytesPerSecond: Math.max(...bytes),
    loadReadsPerEnginePerSecond: loadReads * 1_000 / elapsed / options.engines,
  };
}

async function measureNode(options: ControlPlaneOptions): Promise<NodeCost> {
  const plane = await startControlPlane(options);
  try {
    await plane.waitForRevision(await plane.apply());
    await clock.sleep(STABILIZATION_MILLISECONDS);
    return await measureWindow(plane, options);
  } finally {
    await plane.close();
  }
}

async function timeApply(plane: ControlPlane, outage: boolean) {
  const startedAt = clock.now();
  const revision = await plane.apply();
  if (outage) plane.store.setDown(true);
  await plane.waitForRevision(revision);
  const elapsed = clock.now() - startedAt;
  if (!outage) return elapsed;
  plane.store.setDown(false);
  await clock.sleep(OUTAGE_RECOVERY_MILLISECONDS);
  return elapsed;
}

interface ApplyTimes {
  readonly options: ControlPlaneOptions;
  readonly outage: boolean;
  readonly milliseconds: readonly number[];
}

async function measureApplies(
  options: ControlPlaneOptions,
): Promise<ApplyTimes[]> {
  const plane = await startControlPlane(options);
  try {
    await plane.waitForRevision(await plane.apply());
    await clock.sleep(STABILIZATION_MILLISECONDS);
    const results: ApplyTimes[] = [];
    for (const outage of [false, true]) {
      const milliseconds: number[] = [];
      const count = outage ? OUTAGE_APPLY_COUNT : APPLY_COUNT;
      for (let index = 0; index < count; index++) {
        milliseconds.push(await timeApply(plane, outage));
      }
      results.push({ options, outage, milliseconds });
    }
    return results;
  } finally {
    await plane.close();
  }
}

function quantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}

function costTable(title: string, costs: readonly NodeCost[]): ResultTable {
  return {
    title,
    columns: [
      "nodes",
      "engines",
      "customers",
      "CPU % of a core",
      "worst node",
      "MB, worst node",
      "KB/s",
      "worst node",
      "load reads per engine per s",
    ],
    rows: costs.map((cost) => [
      cost.options.nodes,
      cost.options.engines,
      cost.options.customers,
      cost.cpuPercent.toFixed(2),
      cost.worstCpuPercent.toFixed(2),
      cost.megabytes.toFixed(0),
      cost.kilobytesPerSecond.toFixed(1),
      cost.worstKilobytesPerSecond.toFixed(1),
      cost.loadReadsPerEnginePerSecond.toFixed(2),
    ]),
  };
}

function applyTable(times: readonly ApplyTimes[]): ResultTable {
  return {
    title:
      "Time from the operator's apply until the sheet is in force everywhere",
    columns: [
      "nodes",
      "customers",
      "store after acceptance",
      "p50 ms",
      "p99 ms",
    ],
    rows: times.map(({ options, outage, milliseconds }) => [
      options.nodes,
      options.customers,
      outage ? "down" : "up",
      quantile(milliseconds, 0.5).toFixed(0),
      quantile(milliseconds, 0.99).toFixed(0),
    ]),
  };
}

function checkTargets(
  costs: readonly NodeCost[],
  times: readonly ApplyTimes[],
) {
  const check = (name: string, measured: number, bound: number) => ({
    name,
    target: `≤ ${bound}`,
    measured: measured.toFixed(1),
    met: measured <= bound,
  });
  const worst = (read: (cost: NodeCost) => number) =>
    Math.max(...costs.map(read));
  const nodes = costs.length === 0 ? [] : [
    check(
      "CPU of a node, % of a core",
      worst((cost) => cost.cpuPercent),
      CPU_LIMIT_PERCENT,
    ),
    check(
      "memory of the worst node, MB",
      worst((cost) => cost.megabytes),
      MEMORY_LIMIT_MEGABYTES,
    ),
    check(
      "bytes of a node, KB/s",
      worst((cost) => cost.kilobytesPerSecond),
      TRAFFIC_LIMIT_KILOBYTES_PER_SECOND,
    ),
  ];
  const applies = times.map(({ options, outage, milliseconds }) =>
    check(
      `in force on ${options.nodes} nodes, p99 ms, store ${
        outage ? "down" : "up"
      }`,
      quantile(milliseconds, 0.99),
      APPLY_LIMIT_MILLISECONDS,
    )
  );
  return [...nodes, ...applies];
}

/// Measures the selected parts, or all if none is selected.
export async function measureControl(
  parts: readonly string[],
): Promise<MeasurementResult> {
  const isSelected = (part: string) =>
    parts.length === 0 || parts.includes(part);
  const costs: NodeCost[] = [];
  const tables: ResultTable[] = [];
  const measurePart = async (
    part: string,
    values: readonly number[],
    optionsOf: (value: number) => ControlPlaneOptions,
  ) => {
    if (!isSelected(part)) return;
    const found: NodeCost[] = [];
    for (const value of values) found.push(await measureNode(optionsOf(value)));
    costs.push(...found);
    tables.push(costTable(`By ${part}`, found));
  };
  await measurePart(
    "nodes",
    NODE_COUNTS,
    (nodes) => ({ ...BASE_OPTIONS, nodes }),
  );
  await measurePart(
    "engines",
    ENGINE_COUNTS,
    (engines) => ({ ...BASE_OPTIONS, engines }),
  );
  await measurePart(
    "customers",
    CUSTOMER_COUNTS,
    (customers) => ({ ...BASE_OPTIONS, customers }),
  );
  const times: ApplyTimes[] = [];
  if (isSelected("apply")) {
    for (const customers of [10, 13_000]) {
      times.push(...await measureApplies({ ...BASE_OPTIONS, customers }));
    }
    tables.push(applyTable(times));
  }
  return {
    name: "control",
    summary: "Daemons in separate processes on one machine, over " +
      "loopback, without callers: averages over 10 s, starting 15 s after the sheet " +
      "was in force. Bytes are those of read and write calls in both " +
      "directions, without the headers of TCP and IP. Up to 32 nodes all " +
      "connect to each other in 3 data centres; more are in 8. The store, the " +
      "VM list and the engines' load reports are stand-ins in another process.",
    tables,
    targets: checkTargets(costs, times),
  };
}
