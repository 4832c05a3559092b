import { createContracts } from "../../src/contracts/contract_book.ts";
import type { Sheet } from "../../src/contracts/sheet.ts";
import {
  joinRows,
  readIndex,
  readRoot,
  readRows,
  splitSheet,
} from "../../src/contracts/sheet_chunks.ts";
import { checkSheet } from "../../src/contracts/sheet_check.ts";
import { parseSheetCsv } from "../../src/contracts/sheet_csv.ts";
import { formatSheetCsv } from "../../src/contracts/sheet_csv_writer.ts";
import {
  createNextHead,
  MAXIMUM_HISTORY_ENTRIES,
} from "../../src/contracts/sheet_head.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { type Fleet, startFleet } from "../fleet.ts";
import { largeSheet } from "../large_sheet.ts";
import type {
  Cell,
  MeasurementResult,
  ResultTable,
  TargetCheck,
} from "../measurement.ts";
import { sampleSheet } from "../sample_sheet.ts";

/// Time from the acceptance of a sheet until it is in force on every VM, and
/// the processing time and stored size of sheets of several sizes.

const SEED = 11;
const VM_COUNT = 9;
const DATA_CENTRES = ["muttrah", "seeb", "qurum"];
const APPLY_COUNT = 200;
const PROPAGATION_LIMIT_MILLISECONDS = 7_000;
const STORE_LATENCY_MILLISECONDS = 5;
const STEP_MILLISECONDS = 1;
const MINIMUM_APPLY_INTERVAL_MILLISECONDS = 3_000;
const CUSTOMER_COUNTS = [10, 100, 1_000, 13_000];
const MAXIMUM_VALUE_BYTES = 1_048_576;

/// A fault that starts once the sheet has been accepted.
interface Condition {
  readonly name: string;
  readonly begin: (fleet: Fleet, vm: string) => void;
  readonly end: (fleet: Fleet, vm: string) => void;
}

function setIsolated(fleet: Fleet, vm: string, isolated: boolean) {
  for (const other of fleet.entries.keys()) {
    fleet.network.setCut(vm, other, isolated);
    fleet.network.setCut(other, vm, isolated);
  }
}

const CONDITIONS: readonly Condition[] = [
  { name: "no fault", begin: () => {}, end: () => {} },
  {
    name: "store down after acceptance",
    begin: ({ store }) => store.setDown(true),
    end: ({ store }) => store.setDown(false),
  },
  {
    name: "one VM without links",
    begin: (fleet, vm) => setIsolated(fleet, vm, true),
    end: (fleet, vm) => setIsolated(fleet, vm, false),
  },
];

const percentile = (sorted: readonly number[], share: number) =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!;

async function measurePropagation(fleet: Fleet, revision: number) {
  const { clock, entries } = fleet;
  const start = clock.now();
  const isInForceEverywhere = () =>
    [...entries.values()].every(({ book }) =>
      book.current().revision >= revision
    );
  while (!isInForceEverywhere()) await clock.advance(STEP_MILLISECONDS);
  return clock.now() - start;
}

async function measureCondition(condition: Condition): Promise<number[]> {
  const random = createSeededRandom(SEED);
  const fleet = await startFleet({
    sheet: sampleSheet(),
    entries: VM_COUNT,
    seed: SEED,
    dataCentres: DATA_CENTRES,
  });
  const { clock } = fleet;
  fleet.store.setLatency(STORE_LATENCY_MILLISECONDS);
  const times: number[] = [];
  for (let base = 1; base <= APPLY_COUNT; base++) {
    const entry = fleet.entries.get(`vm-${1 + base % VM_COUNT}`)!;
    const sheet: Sheet = {
      ...sampleSheet(),
      options: { objective: "slowdown", longPromptTokens: base },
    };
    const proposal = { sheet, base, applyId: `apply-${base}`, author: "a" };
    const applied = await clock.advanceUntil(entry.sheets.apply(proposal));
    const affectedVm = `vm-${1 + (base + 4) % VM_COUNT}`;
    condition.begin(fleet, affectedVm);
    void entry.follower.accept(applied);
    times.push(await measurePropagation(fleet, applied.revision));
    condition.end(fleet, affectedVm);
    await clock.advance(
      MINIMUM_APPLY_INTERVAL_MILLISECONDS * (1 + random.next()),
    );
  }
  for (const vm of [...fleet.entries.keys()]) fleet.kill(vm);
  return times.sort((left, right) => left - right);
}

function timeAction<Result>(action: () => Result): [Result, number] {
  const start = performance.now();
  const result = action();
  return [result, performance.now() - start];
}

function changeOneRow(sheet: Sheet): Sheet {
  const customers = [...sheet.customers];
  const middle = customers.length >> 1;
  customers[middle] = { ...customers[middle]!, weight: 2 };
  return { ...sheet, customers };
}

/// Measures the size and the processing time of a sheet with `customers`
/// customers.
function measureSize(customers: number) {
  const sheet = largeSheet({ customers, models: 37, engines: 660 });
  const csv = formatSheetCsv(sheet);
  const [, parseMilliseconds] = timeAction(() => parseSheetCsv(csv));
  const [, checkMilliseconds] = timeAction(() => checkSheet(sheet));
  const [tree, splitMilliseconds] = timeAction(() => splitSheet(sheet));
  const sizes = [...tree.chunks.values()].map(({ length }) => length);
  const changed = [...splitSheet(changeOneRow(sheet)).chunks]
    .filter(([hash]) => !tree.chunks.has(hash));
  const [, adoptMilliseconds] = timeAction(() => {
    const parts = readRoot(tree.chunks.get(tree.root)!)
      .flatMap(({ section, index }) =>
        readIndex(tree.chunks.get(index)!).map((hash) => ({
          section,
          rows: readRows(section, tree.chunks.get(hash)!),
        }))
      );
    createContracts({ revision: 1, sheet: joinRows(parts) });
  });
  let head = createNextHead(undefined, {
    root: tree.root,
    applyId: "x".repeat(32),
    author: "operator",
    time: 1_750_000_000_000,
  });
  for (let count = 0; count < MAXIMUM_HISTORY_ENTRIES; count++) {
    head = createNextHead(head, head);
  }
  return {
    customers,
    chunks: sizes.length,
    totalBytes: sizes.reduce((total, size) => total + size, 0),
    largestBytes: Math.max(...sizes),
    headBytes: JSON.stringify(head).length,
    changedChunks: changed.length,
    changedBytes: changed.reduce(
      (total, [, bytes]) => total + bytes.length,
      0,
    ),
    parseMilliseconds,
    checkMilliseconds,
    splitMilliseconds,
    adoptMilliseconds,
  };
}

export async function measureSheet(): Promise<MeasurementResult> {
  const rows: Cell[][] = [];
  const targets: TargetCheck[] = [];
  for (const condition of CONDITIONS) {
    const times = await measureCondition(condition);
    const worst = times.at(-1)!;
    rows.push([
      condition.name,
      percentile(times, 0.5),
      percentile(times, 0.99),
      worst,
    ]);
    targets.push({
      name: `everywhere, ${condition.name}`,
      target: `at most ${PROPAGATION_LIMIT_MILLISECONDS} ms`,
      measured: `${worst} ms`,
      met: worst <= PROPAGATION_LIMIT_MILLISECONDS,
    });
  }
  // The first run lets the JIT compiler warm up; its result is discarded.
  measureSize(CUSTOMER_COUNTS[0]!);
  const sizes = CUSTOMER_COUNTS.map(measureSize);
  const largest = sizes.at(-1)!;
  const largestValue = Math.max(largest.largestBytes, largest.headBytes);
  targets.push({
    name: "largest value at 13,000 customers",
    target: `at most ${MAXIMUM_VALUE_BYTES} bytes`,
    measured: `${largestValue} bytes`,
    met: largestValue <= MAXIMUM_VALUE_BYTES,
  });
  const propagation: ResultTable = {
    title: `Time from acceptance to every VM, ms (${APPLY_COUNT} applies each)`,
    columns: ["condition", "p50", "p99", "worst"],
    rows,
  };
  const cost: ResultTable = {
    title: "Cost of a sheet by customers (37 models, 660 engines)",
    columns: [
      "customers",
      "chunks",
      "bytes",
      "largest chunk",
      "head",
      "chunks changed by one row",
      "bytes changed",
      "read CSV, ms",
      "check JSON, ms",
      "split, ms",
      "load all, ms",
    ],
    rows: sizes.map((size) => [
      size.customers,
      size.chunks,
      size.totalBytes,
      size.largestBytes,
      size.headBytes,
      size.changedChunks,
      size.changedBytes,
      Math.round(size.parseMilliseconds),
      Math.round(size.checkMilliseconds),
      Math.round(size.splitMilliseconds),
      Math.round(size.adoptMilliseconds),
    ]),
  };
  return {
    name: "sheet",
    summary:
      `Spreading: ${VM_COUNT} VMs in ${DATA_CENTRES.length} data centres under the ` +
      "fake clock, links of 1 ms, a store that answers in 5 ms. The cost is " +
      "processor time of this machine, one run each; the tool reads CSV, the " +
      "VM that accepts the sheet checks and splits it, and a VM that starts loads all of it.",
    seed: SEED,
    tables: [propagation, cost],
    targets,
  };
}
