import { readFile, writeFile } from "node:fs/promises";
import { encodeFrame } from "../src/links/frame.ts";
import type { Cell, MeasurementResult, ResultTable } from "./measurement.ts";
import { toMarkdownTable } from "./measurement.ts";

/// Computes the figures of docs/CAPACITY.md from the results in
/// docs/measurements and writes them between the markers of the page.
///
/// The page uses other names for some roles of a VM: a home is the owner of a
/// customer or a ledger shard, a keeper is the reaper of an engine, a steward
/// is the coordinator of a region, and a watcher is a follower of the store.

/// Size and load of the deployment that the figures are computed for.
const DESIGN_SIZE = {
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

/// Direct links of an entry at the design size: those to the other entries of
/// its data centre. Links of some entries to other data centres are not
/// counted.
const LINKS_PER_ENTRY = DESIGN_SIZE.entries / DESIGN_SIZE.dataCentres - 1;
/// Values that the control measurement uses for the parameters it doesn't vary.
const BASE_SIZE = { nodes: 9, engines: 20, customers: 10 } as const;
const FOLLOWERS_PER_DATA_CENTRE = 2;
/// Reads of the sheet's head by a follower of the store and by any other entry.
const FOLLOWER_HEAD_READS_PER_SECOND = 1 / 2;
const OTHER_HEAD_READS_PER_SECOND = 1 / 30;
/// Renewals and acquisition attempts of the coordinator's lease in one region.
const COORDINATOR_WRITES_PER_SECOND = 1 / 4;
const PAGE_PATH = "docs/CAPACITY.md";
const MARKERS = { begin: "<!-- figures -->", end: "<!-- end of figures -->" };

interface LinearFit {
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

/// Fits a line to the points by least squares.
function fitLine(points: readonly Point[]): LinearFit {
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

/// Column indexes in the tables of the control measurement.
const CONTROL_COLUMNS = {
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
  readonly byLinks: LinearFit;
  readonly byEngines: LinearFit;
  readonly byCustomers: LinearFit;
  readonly predicted: number;
}

/// Size of the largest deployment in which all VMs connect to each other.
const MAXIMUM_FULL_MESH_NODES = 32;

function fitControl(
  control: MeasurementResult,
  figure: { name: string; column: number; budget: number },
): ControlFit {
  const { column, budget } = figure;
  const nodes = rowsOf(control, "By nodes")
    .filter((row) =>
      numberAt(row, CONTROL_COLUMNS.nodes) <= MAXIMUM_FULL_MESH_NODES
    );
  const base = nodes.filter((row) =>
    numberAt(row, CONTROL_COLUMNS.nodes) === BASE_SIZE.nodes
  );
  const point = (key: number, offset = 0) => (row: readonly Cell[]) => ({
    x: numberAt(row, key) + offset,
    y: numberAt(row, column),
  });
  const engines = [...base, ...rowsOf(control, "By engines")];
  const customers = [...base, ...rowsOf(control, "By customers")];
  const byLinks = fitLine(nodes.map(point(CONTROL_COLUMNS.nodes, -1)));
  const byEngines = fitLine(engines.map(point(CONTROL_COLUMNS.engines)));
  const byCustomers = fitLine(customers.map(point(CONTROL_COLUMNS.customers)));
  const predicted = byLinks.base + byLinks.slope * LINKS_PER_ENTRY +
    byEngines.slope * (DESIGN_SIZE.engines - BASE_SIZE.engines) +
    byCustomers.slope * (DESIGN_SIZE.customers - BASE_SIZE.customers);
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
  const formatValue = (value: number) => value.toPrecision(3);
  return {
    title: "Control-plane cost of one entry, from `npm run measure -- control`",
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
      formatValue(fit.byLinks.base),
      formatValue(fit.byLinks.slope),
      formatValue(fit.byEngines.slope),
      formatValue(1_000 * fit.byCustomers.slope),
      formatValue(fit.predicted),
      fit.budget,
      fit.predicted <= fit.budget ? "within" : "BROKEN",
    ]),
  };
}

function storeTable(ledger: MeasurementResult): ResultTable {
  const writes = Math.max(
    ...rowsOf(ledger, "9 entries").map((row) => numberAt(row, 4)),
  );
  const followers = FOLLOWERS_PER_DATA_CENTRE * DESIGN_SIZE.dataCentres;
  const headReadsPerSecond = followers * FOLLOWER_HEAD_READS_PER_SECOND +
    (DESIGN_SIZE.entries - followers) * OTHER_HEAD_READS_PER_SECOND;
  const coordinatorWritesPerSecond = DESIGN_SIZE.regions *
    COORDINATOR_WRITES_PER_SECOND;
  const longRequestsPerSecond = DESIGN_SIZE.requestsPerSecond *
    DESIGN_SIZE.longShare;
  const total = writes + coordinatorWritesPerSecond;
  return {
    title: "Key-value service",
    columns: ["use", "writes a second", "reads a second"],
    rows: [
      ["ledger, busiest measured second", writes, "at most one a write"],
      ["heads of the sheet", "0.01", headReadsPerSecond.toFixed(1)],
      ["pending watches", 0, followers],
      ["stewards' leases", coordinatorWritesPerSecond.toFixed(2), "under 1"],
      [
        "sum",
        total.toFixed(0),
        (writes + headReadsPerSecond + followers + 1).toFixed(0),
      ],
      [
        "budget",
        BUDGET.storeWritesPerSecond,
        BUDGET.storeReadsPerSecond,
      ],
      [
        `keyed long requests at the peak: ${longRequestsPerSecond}/s`,
        "in the ledger's",
        "",
      ],
    ],
  };
}

/// Returns the encoded size of the link frame that announces one prefill.
function prefillAnnouncementBytes(): number {
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

function rolesTable(
  sheet: MeasurementResult,
  overhead: MeasurementResult,
): ResultTable {
  const largest = rowsOf(sheet, "Cost of a sheet").at(-1)!;
  const requestsPerEntry = DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.entries;
  const daemonRow = rowsOf(overhead, "Calls of 1,000").at(-1)!;
  const cpu = 100 * requestsPerEntry / numberAt(daemonRow, 3);
  const announcementKilobytes = 2 * requestsPerEntry *
    prefillAnnouncementBytes() * (DESIGN_SIZE.entries - 1) / 1_000;
  const customers = DESIGN_SIZE.customers / DESIGN_SIZE.entries;
  const reapedEngines = 2 * DESIGN_SIZE.engines / DESIGN_SIZE.entries;
  return {
    title: "Roles of one entry at the peak",
    columns: ["role", "state", "messages a second", "carried by"],
    rows: [
      [
        "entry",
        `${requestsPerEntry.toFixed(1)} requests/s, ${
          cpu.toFixed(2)
        }% of a core`,
        `${
          announcementKilobytes.toFixed(0)
        } KB/s of prefill announcements received`,
        "request handler; announcements EXCEED the budget",
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
        `at most ${requestsPerEntry.toFixed(1)} calls in and out`,
        "rendezvous hashing, allocations granted for 200 ms",
      ],
      [
        "keeper of engines",
        `${reapedEngines.toFixed(1)} engines, ` +
        `${
          (DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.engines * reapedEngines)
            .toFixed(0)
        } ` +
        "claims/s",
        `${(4 * requestsPerEntry).toFixed(0)} announcements out`,
        "two ranks of rendezvous hashing, batches",
      ],
      [
        "ledger home",
        `${(64 / DESIGN_SIZE.entries).toFixed(2)} of 64 shards`,
        `${
          (DESIGN_SIZE.requestsPerSecond * DESIGN_SIZE.longShare /
            DESIGN_SIZE.entries).toFixed(2)
        } ` +
        "keyed long requests",
        "group commit at a bounded rate",
      ],
      [
        "steward",
        `${DESIGN_SIZE.regions} in all, ${
          DESIGN_SIZE.engines / DESIGN_SIZE.regions
        } engines each`,
        "one reconciliation in 2 s",
        "store lease and fencing number",
      ],
      [
        "watcher",
        `${FOLLOWERS_PER_DATA_CENTRE} in each data centre`,
        "one watch and one read in 2 s",
        "rendezvous hashing over live VMs",
      ],
    ],
  };
}

function failuresTable(): ResultTable {
  const failedEntries = DESIGN_SIZE.entries / DESIGN_SIZE.dataCentres;
  const load = DESIGN_SIZE.requestsPerSecond /
    (DESIGN_SIZE.entries - failedEntries);
  const ownedCustomers = DESIGN_SIZE.customers / DESIGN_SIZE.entries;
  return {
    title: "Failures",
    columns: ["event", "what moves", "what it costs"],
    rows: [
      [
        `a typical day: ${DESIGN_SIZE.failuresPerDay} failures, ` +
        `${DESIGN_SIZE.restartsPerDay} restarts`,
        `each: ${ownedCustomers.toFixed(0)} customers' homes, ` +
        `${(2 * DESIGN_SIZE.engines / DESIGN_SIZE.entries).toFixed(1)} keepers`,
        "long requests of those customers wait 2.5 s for the new home",
      ],
      [
        "a failed data centre",
        `${failedEntries} entries, ${
          DESIGN_SIZE.customers / DESIGN_SIZE.dataCentres
        } homes, ` +
        `${(64 / DESIGN_SIZE.dataCentres).toFixed(0)} ledger shards`,
        `${load.toFixed(1)} requests/s for each remaining entry instead of ` +
        `${(DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.entries).toFixed(1)}`,
      ],
      [
        "a partition between regions",
        "each side is home to all its customers",
        "up to twice the limit for 5 s, then equal shares by listed VMs",
      ],
    ],
  };
}

const control = await readResult("control");
const fits = [
  {
    name: "CPU, % of a core",
    column: CONTROL_COLUMNS.cpu,
    budget: BUDGET.cpuPercent,
  },
  {
    name: "memory, MB",
    column: CONTROL_COLUMNS.memory,
    budget: BUDGET.megabytes,
  },
  {
    name: "bytes, KB/s",
    column: CONTROL_COLUMNS.bytes,
    budget: BUDGET.kilobytesPerSecond,
  },
].map((figure) => fitControl(control, figure));
const tables = [
  controlTable(fits),
  storeTable(await readResult("ledger")),
  rolesTable(await readResult("sheet"), await readResult("overhead")),
  failuresTable(),
];
const figures = tables.map(toMarkdownTable).join("\n\n");
const page = await readFile(PAGE_PATH, "utf8");
const [before] = page.split(MARKERS.begin);
const after = page.split(MARKERS.end)[1] ?? "";
const updatedPage =
  `${before}${MARKERS.begin}\n\n${figures}\n\n${MARKERS.end}${after}`;
await writeFile(PAGE_PATH, updatedPage);
process.stdout.write(figures + "\n");
