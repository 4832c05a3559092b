import { build, type Histogram } from "hdr-histogram-js";
import { createKey } from "../../src/requests/idempotency_key.ts";
import {
  LEDGER_SHARD_COUNT,
  MAXIMUM_LEDGER_WRITES_PER_SECOND,
} from "../../src/requests/ledger_router.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { type Fleet, startFleet } from "../fleet.ts";
import type {
  MeasurementResult,
  ResultTable,
  TargetCheck,
} from "../measurement.ts";
import { sampleSheet } from "../sample_sheet.ts";

/// Writes of the ledger to the key-value service as orders grow, and what a
/// claim waits, in a fleet under the fake clock.

const SEED = 4;
const ENTRIES = 9;
const SECONDS = 20;
const STORE_MILLISECONDS = 3;
/// Far above the load, so that the ledger alone bounds it.
const CUSTOMER_REQUESTS_PER_SECOND = 100_000;
const ORDER = { service: "desk", method: "POST", path: "/orders" } as const;
const LARGEST_VALUE_BYTES = 1_048_576;
/// Time for what is under way to end, with the outcomes recorded.
const SETTLE_MILLISECONDS = 30_000;

interface Case {
  readonly name: string;
  readonly ordersPerSecond: number;
  readonly cutLinks: boolean;
}

interface CaseResult {
  readonly orders: number;
  readonly answered: number;
  readonly ranTwice: number;
  readonly writesPerSecond: number;
  readonly busiestSecond: number;
  readonly conflicts: number;
  readonly latencies: Histogram;
  readonly largestValueBytes: number;
}

const CASES: readonly Case[] = [
  { name: "10 orders/s", ordersPerSecond: 10, cutLinks: false },
  { name: "100 orders/s", ordersPerSecond: 100, cutLinks: false },
  { name: "1,000 orders/s", ordersPerSecond: 1_000, cutLinks: false },
  { name: "100 orders/s, all links cut", ordersPerSecond: 100, cutLinks: true },
];

function cutAllLinks({ network, entries }: Fleet): void {
  for (const from of entries.keys()) {
    for (const to of entries.keys()) network.setCut(from, to, true);
  }
}

function conflictsOf({ entries }: Fleet): number {
  return [...entries.values()].reduce(
    (sum, entry) => sum + entry.ledgerRouter.counters().conflicts,
    0,
  );
}

async function runCase(given: Case): Promise<CaseResult> {
  const sheet = sampleSheet({ engines: 1 });
  const customers = sheet.customers.map((customer) => ({
    ...customer,
    requestsPerSecond: CUSTOMER_REQUESTS_PER_SECOND,
  }));
  const fleet = await startFleet({
    sheet: { ...sheet, customers },
    entries: ENTRIES,
    seed: SEED,
  });
  const { clock, store } = fleet;
  const random = createSeededRandom(SEED);
  const latencies = build({ highestTrackableValue: 1e6 });
  store.setLatency(STORE_MILLISECONDS);
  if (given.cutLinks) cutAllLinks(fleet);
  let answered = 0;
  let orders = 0;
  let busiestSecond = 0;
  const firstWrites = store.counters.writes;

  const placeOrder = async (vm: string) => {
    orders++;
    const startedAt = clock.now();
    const idempotencyKey = createKey(clock.wallTime(), random.hex(10));
    const call = { vm, key: "caller-key", headers: { idempotencyKey } };
    const { answer } = await fleet.callService(call, ORDER);
    if (!answer) return;
    answered++;
    latencies.recordValue(Math.max(1, Math.round(clock.now() - startedAt)));
  };

  for (let second = 0; second < SECONDS; second++) {
    const writes = store.counters.writes;
    for (let index = 0; index < given.ordersPerSecond; index++) {
      void placeOrder(`vm-${1 + orders % ENTRIES}`);
      await clock.advance(1_000 / given.ordersPerSecond);
    }
    busiestSecond = Math.max(busiestSecond, store.counters.writes - writes);
  }
  const writes = store.counters.writes - firstWrites;
  await clock.advance(SETTLE_MILLISECONDS);
  const runs = [...fleet.services.get("desk")!.executionCounts().values()];
  for (const entry of fleet.entries.values()) entry.close();
  return {
    orders,
    answered,
    ranTwice: runs.filter((count) => count > 1).length,
    writesPerSecond: writes / SECONDS,
    busiestSecond,
    conflicts: conflictsOf(fleet),
    latencies,
    largestValueBytes: store.counters.largestValueBytes,
  };
}

function toTarget(
  name: string,
  { limit, measured, unit }: { limit: number; measured: number; unit: string },
): TargetCheck {
  return {
    name,
    target: `≤ ${limit} ${unit}`,
    measured: `${measured.toFixed(0)} ${unit}`,
    met: measured <= limit,
  };
}

/// Measures each case in a fleet of its own.
export async function measureLedger(): Promise<MeasurementResult> {
  const results: [Case, CaseResult][] = [];
  for (const given of CASES) results.push([given, await runCase(given)]);
  const table: ResultTable = {
    title: `${ENTRIES} entries, ${SECONDS} s, store answers in ` +
      `${STORE_MILLISECONDS} ms, ${LEDGER_SHARD_COUNT} shards`,
    columns: [
      "load",
      "orders",
      "answered",
      "writes/s",
      "busiest second",
      "writes per order",
      "conflicts",
      "claim p50 ms",
      "claim p99 ms",
    ],
    rows: results.map(([given, result]) => [
      given.name,
      result.orders,
      result.answered,
      result.writesPerSecond.toFixed(1),
      result.busiestSecond,
      (result.writesPerSecond * SECONDS / result.orders).toFixed(2),
      result.conflicts,
      result.latencies.getValueAtPercentile(50),
      result.latencies.getValueAtPercentile(99),
    ]),
  };
  const largest = Math.max(...results.map(([, item]) => item.busiestSecond));
  const twice = results.reduce((sum, [, item]) => sum + item.ranTwice, 0);
  const values = results.map(([, item]) => item.largestValueBytes);
  return {
    name: "ledger",
    summary: "Writes to the key-value service while orders grow tenfold " +
      "twice. All writes are counted, also those of other duties. Claim " +
      "latency runs from the caller's order to its answer; the service " +
      "answers at once, and refused orders are left out.",
    tables: [table],
    targets: [
      toTarget("writes in the busiest second", {
        limit: MAXIMUM_LEDGER_WRITES_PER_SECOND,
        measured: largest,
        unit: "writes",
      }),
      toTarget("orders that ran twice", {
        limit: 0,
        measured: twice,
        unit: "orders",
      }),
      toTarget("largest value", {
        limit: LARGEST_VALUE_BYTES,
        measured: Math.max(...values),
        unit: "bytes",
      }),
    ],
  };
}
