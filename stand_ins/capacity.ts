import { readFile, writeFile } from "node:fs/promises";
import { encodeFrame } from "../src/links/frame.ts";
import type { Cell, MeasurementResult, ResultTable } from "./measurement.ts";
import { toMarkdownTable } from "./measurement.ts";

/// Works out the figures of docs/CAPACITY.md from docs/measurements and puts
/// them between the page's markers.

/// The size to design for.
const SIZE = {
  entries: 360,
  engines: 660,
  customers: 13_000,
  models: 37,
  regions: 3,
  dataCentres: 8,
  requestsPerSecond: 5_600,
  longShare: 1 / 50,
  changesPerDay: 790,
  failuresPerDay: 12,
  restartsPerDay: 150,
} as const;

const BUDGET = {
  cpuPercent: 1.9,
  megabytes: 256,
  kilobytesPerSecond: 27,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2_000,
} as const;

/// Direct links of an entry at that size: the rest of its data centre and,
/// for some, a bridge.
const LINKS_PER_ENTRY = SIZE.entries / SIZE.dataCentres - 1;
/// Nodes and customers of the measured rows that vary something else.
const BASE = { nodes: 9, engines: 20, customers: 10 } as const;
const WATCHERS_PER_DATA_CENTRE = 2;
/// Reads a second of the head by a watcher and by any other entry.
const WATCHER_READS_PER_SECOND = 1 / 2;
const OTHER_READS_PER_SECOND = 1 / 30;
/// Renewals and campaigns a second of the steward's lease, by region.
const STEWARD_WRITES_PER_SECOND = 1 / 4;
const PAGE = "docs/CAPACITY.md";
const MARKERS = { begin: "<!-- figures -->", end: "<!-- end of figures -->" };

interface Line {
  readonly base: number;
  readonly slope: number;
}

interface Point {
  readonly x: number;
  readonly y: number;
}

async function readResult(name: string): Promise<MeasurementResult> {
  const text = await readFile(`docs/measurements/${name}.json`, "utf8");
  return JSON.parse(text) as MeasurementResult;
}

function rowsOf(result: MeasurementResult, title: string) {
  const table = result.tables.find((item) => item.title.startsWith(title));
  if (!table) throw new Error(`${result.name} has no table ${title}`);
  return table.rows;
}

const numberAt = (row: readonly Cell[], column: number) => Number(row[column]);

/// Least squares.
function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let products = 0;
  let squares = 0;
  for (const { x, y } of points) {
    products += (x - meanX) * (y - meanY);
    squares += (x - meanX) ** 2;
  }
  const slope = products / squares;
  return { base: meanY - slope * meanX, slope };
}

/// Columns of the control measurement's tables.
const CONTROL = {
  nodes: 0,
  engines: 1,
  customers: 2,
  cpu: 3,
  memory: 5,
  bytes: 6,
};

interface ControlFit {
  readonly figure: string;
  readonly budget: number;
  readonly byLinks: Line;
  readonly byEngines: Line;
  readonly byCustomers: Line;
  readonly predicted: number;
}

/// Largest deployment whose VMs all connect to each other.
const FULL_MESH_NODES = 32;

function fitControl(
  control: MeasurementResult,
  figure: { name: string; column: number; budget: number },
): ControlFit {
  const { column, budget } = figure;
  const nodes = rowsOf(control, "By nodes")
    .filter((row) => numberAt(row, CONTROL.nodes) <= FULL_MESH_NODES);
  const base = nodes.filter((row) =>
    numberAt(row, CONTROL.nodes) === BASE.nodes
  );
  const point = (key: number, shift = 0) => (row: readonly Cell[]) => ({
    x: numberAt(row, key) + shift,
    y: numberAt(row, column),
  });
  const engines = [...base, ...rowsOf(control, "By engines")];
  const customers = [...base, ...rowsOf(control, "By customers")];
  const byLinks = fitLine(nodes.map(point(CONTROL.nodes, -1)));
  const byEngines = fitLine(engines.map(point(CONTROL.engines)));
  const byCustomers = fitLine(customers.map(point(CONTROL.customers)));
  const predicted = byLinks.base + byLinks.slope * LINKS_PER_ENTRY +
    byEngines.slope * (SIZE.engines - BASE.engines) +
    byCustomers.slope * (SIZE.customers - BASE.customers);
  return {
    figure: figure.name,
    budget,
    byLinks,
    byEngines,
    byCustomers,
    predicted,
  };
}

function controlTable(fits: readonly ControlFit[]): ResultTable {
  const small = (value: number) => value.toPrecision(3);
  return {
    title: "Control of one entry, from `npm run measure -- control`",
    columns: [
      "figure",
      "without links",
      "per link",
      "per engine",
      "per 1,000 customers",
      `at ${LINKS_PER_ENTRY} links, 660 engines, 13,000 customers`,
      "budget",
      "verdict",
    ],
    rows: fits.map((fit) => [
      fit.figure,
      small(fit.byLinks.base),
      small(fit.byLinks.slope),
      small(fit.byEngines.slope),
      small(1_000 * fit.byCustomers.slope),
      small(fit.predicted),
      fit.budget,
      fit.predicted <= fit.budget ? "within" : "BROKEN",
    ]),
  };
}

function storeTable(ledger: MeasurementResult): ResultTable {
  const writes = Math.max(
    ...rowsOf(ledger, "9 entries").map((row) => numberAt(row, 4)),
  );
  const watchers = WATCHERS_PER_DATA_CENTRE * SIZE.dataCentres;
  const headReads = watchers * WATCHER_READS_PER_SECOND +
    (SIZE.entries - watchers) * OTHER_READS_PER_SECOND;
  const stewardWrites = SIZE.regions * STEWARD_WRITES_PER_SECOND;
  const longs = SIZE.requestsPerSecond * SIZE.longShare;
  const total = writes + stewardWrites;
  return {
    title: "Key-value service",
    columns: ["use", "writes a second", "reads a second"],
    rows: [
      ["ledger, busiest measured second", writes, "at most one a write"],
      ["heads of the sheet", "0.01", headReads.toFixed(1)],
      ["waiting watches", 0, watchers],
      ["stewards' leases", stewardWrites.toFixed(2), "under 1"],
      [
        "sum",
        total.toFixed(0),
        (writes + headReads + watchers + 1).toFixed(0),
      ],
      [
        "budget",
        BUDGET.storeWritesPerSecond,
        BUDGET.storeReadsPerSecond,
      ],
      [`keyed long requests at the peak: ${longs}/s`, "in the ledger's", ""],
    ],
  };
}

/// Bytes of one announcement of a prefill, as it goes over a link.
function digestBytes(): number {
  const prefills = [{ priority: 0, tokens: 1_000, requests: 1, long: 0 }];
  const engines = [{ name: "album-text-001", prefills }];
  const value = { engines };
  const frame = {
    kind: "message",
    name: "upstreams.loadDigest",
    value,
  } as const;
  return encodeFrame(frame).length;
}

function dutiesTable(
  sheet: MeasurementResult,
  overhead: MeasurementResult,
): ResultTable {
  const largest = rowsOf(sheet, "Cost of a sheet").at(-1)!;
  const perEntry = SIZE.requestsPerSecond / SIZE.entries;
  const through = rowsOf(overhead, "Calls of 1,000").at(-1)!;
  const cpu = 100 * perEntry / numberAt(through, 3);
  const digests = 2 * perEntry * digestBytes() * (SIZE.entries - 1) / 1_000;
  const customers = SIZE.customers / SIZE.entries;
  const keepers = 2 * SIZE.engines / SIZE.entries;
  return {
    title: "Duties of one entry at the peak",
    columns: ["role", "state", "messages a second", "carried by"],
    rows: [
      [
        "entry",
        `${perEntry.toFixed(1)} requests/s, ${cpu.toFixed(2)}% of a core`,
        `${digests.toFixed(0)} KB/s of prefill announcements received`,
        "request handler; announcements BREAK the budget",
      ],
      [
        "holder of the sheet",
        `${(numberAt(largest, 2) / 1e6).toFixed(1)} MB in ` +
        `${largest[1]} chunks`,
        `${largest[6]} bytes for a changed row`,
        "content-addressed chunks",
      ],
      [
        "home of customers",
        `${customers.toFixed(0)} customers`,
        `at most ${perEntry.toFixed(1)} questions in and out`,
        "rendezvous hashing, slices granted for 200 ms",
      ],
      [
        "keeper of engines",
        `${keepers.toFixed(1)} engines, ` +
        `${(SIZE.requestsPerSecond / SIZE.engines * keepers).toFixed(0)} ` +
        "claims/s",
        `${(4 * perEntry).toFixed(0)} announcements out`,
        "two ranks of rendezvous hashing, batches",
      ],
      [
        "ledger home",
        `${(64 / SIZE.entries).toFixed(2)} of 64 shards`,
        `${
          (SIZE.requestsPerSecond * SIZE.longShare / SIZE.entries).toFixed(2)
        } ` +
        "keyed long requests",
        "group commit at a bounded rate",
      ],
      [
        "steward",
        `${SIZE.regions} in all, ${SIZE.engines / SIZE.regions} engines each`,
        "one reconciliation in 2 s",
        "store lease and fencing number",
      ],
      [
        "watcher",
        `${WATCHERS_PER_DATA_CENTRE} in each data centre`,
        "one watch and one read in 2 s",
        "rendezvous hashing over live VMs",
      ],
    ],
  };
}

function failuresTable(): ResultTable {
  const lost = SIZE.entries / SIZE.dataCentres;
  const load = SIZE.requestsPerSecond / (SIZE.entries - lost);
  const homes = SIZE.customers / SIZE.entries;
  return {
    title: "Failures",
    columns: ["event", "what moves", "what it costs"],
    rows: [
      [
        `an ordinary day: ${SIZE.failuresPerDay} failures, ` +
        `${SIZE.restartsPerDay} restarts`,
        `each: ${homes.toFixed(0)} customers' homes, ` +
        `${(2 * SIZE.engines / SIZE.entries).toFixed(1)} keepers`,
        "long requests of those customers wait 2.5 s for the new home",
      ],
      [
        "a lost data centre",
        `${lost} entries, ${SIZE.customers / SIZE.dataCentres} homes, ` +
        `${(64 / SIZE.dataCentres).toFixed(0)} ledger shards`,
        `${load.toFixed(1)} requests/s for each entry left instead of ` +
        `${(SIZE.requestsPerSecond / SIZE.entries).toFixed(1)}`,
      ],
      [
        "regions part",
        "each side is home to all its customers",
        "up to twice the limit for 5 s, then equal shares by listed VMs",
      ],
    ],
  };
}

const control = await readResult("control");
const fits = [
  { name: "CPU, % of a core", column: CONTROL.cpu, budget: BUDGET.cpuPercent },
  { name: "memory, MB", column: CONTROL.memory, budget: BUDGET.megabytes },
  {
    name: "bytes, KB/s",
    column: CONTROL.bytes,
    budget: BUDGET.kilobytesPerSecond,
  },
].map((figure) => fitControl(control, figure));
const tables = [
  controlTable(fits),
  storeTable(await readResult("ledger")),
  dutiesTable(await readResult("sheet"), await readResult("overhead")),
  failuresTable(),
];
const figures = tables.map(toMarkdownTable).join("\n\n");
const page = await readFile(PAGE, "utf8");
const [before] = page.split(MARKERS.begin);
const after = page.split(MARKERS.end)[1] ?? "";
const whole =
  `${before}${MARKERS.begin}\n\n${figures}\n\n${MARKERS.end}${after}`;
await writeFile(PAGE, whole);
process.stdout.write(figures + "\n");
