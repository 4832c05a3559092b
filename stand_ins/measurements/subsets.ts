import type { MeasurementResult } from "../measurement.ts";
import {
  engineRendezvousSubsets,
  randomSubsets,
  rendezvousSubsets,
  strideSubsets,
  type SubsetScheme,
} from "./subset_schemes.ts";

/// Load balance and stability of schemes that assign a subset of the engines to
/// each entry, for a deployment of the design size.

const ENTRIES = 360;
const ENGINES = 660;
const SUBSET_SIZES = [12, 30, 66];
const SCHEMES = [
  strideSubsets,
  randomSubsets,
  rendezvousSubsets,
  engineRendezvousSubsets,
];

const numberedNames = (prefix: string, count: number) =>
  Array.from(
    { length: count },
    (_, index) => `${prefix}-${String(index + 1).padStart(3, "0")}`,
  );

type Subsets = ReadonlyMap<string, readonly string[]>;

/// Returns the load of each engine if every entry distributes one unit evenly
/// over its subset, without the engine `failed`.
function loadByEngine(
  subsets: Subsets,
  engines: readonly string[],
  failed?: string,
): ReadonlyMap<string, number> {
  const loads = new Map(
    engines.filter((engine) => engine !== failed).map((engine) => [engine, 0]),
  );
  for (const subset of subsets.values()) {
    const remaining = subset.filter((engine) => engine !== failed);
    for (const engine of remaining) {
      loads.set(engine, loads.get(engine)! + 1 / remaining.length);
    }
  }
  return loads;
}

function imbalance(loads: ReadonlyMap<string, number>): number {
  const values = [...loads.values()];
  const mean = values.reduce((sum, load) => sum + load, 0) / values.length;
  return Math.max(...values) / mean;
}

/// Returns the worst distribution of a failed engine's load, over all engines:
/// the minimum number of engines that take a share of it, and the maximum
/// share.
function failedLoadDistribution(subsets: Subsets, engines: readonly string[]) {
  const before = loadByEngine(subsets, engines);
  let minimumSharers = Infinity;
  let maximumShare = 0;
  for (const failed of engines) {
    const load = before.get(failed)!;
    if (load === 0) continue;
    const after = loadByEngine(subsets, engines, failed);
    const shares = [...after]
      .map(([engine, value]) => (value - before.get(engine)!) / load)
      .filter((share) => share > 1e-9);
    minimumSharers = Math.min(minimumSharers, shares.length);
    maximumShare = Math.max(maximumShare, ...shares);
  }
  return { minimumSharers, maximumShare };
}

/// Returns the ratio of the links in `before` that `after` doesn't have.
function changedLinkRatio(before: Subsets, after: Subsets): number {
  let links = 0;
  let changed = 0;
  for (const [entry, subset] of before) {
    const kept = new Set(after.get(entry) ?? []);
    links += subset.length;
    changed += subset.filter((engine) => !kept.has(engine)).length;
  }
  return changed / links;
}

function measureScheme(scheme: SubsetScheme, size: number) {
  const entries = numberedNames("entry", ENTRIES);
  const engines = numberedNames("runner", ENGINES);
  const subsets = scheme.choose(entries, engines, size);
  const counts = [...subsets.values()].map((subset) => subset.length);
  const { minimumSharers, maximumShare } = failedLoadDistribution(
    subsets,
    engines,
  );
  const withEntry = scheme.choose(
    [...entries, "entry-100-replacement"],
    engines,
    size,
  );
  const withEngine = scheme.choose(
    entries,
    [...engines, "runner-661"],
    size,
  );
  const percent = (share: number) => `${(100 * share).toFixed(1)}%`;
  return [
    size,
    scheme.name,
    imbalance(loadByEngine(subsets, engines)).toFixed(2),
    `${Math.min(...counts)}–${Math.max(...counts)}`,
    minimumSharers,
    percent(maximumShare),
    percent(changedLinkRatio(subsets, withEntry)),
    percent(changedLinkRatio(subsets, withEngine)),
  ];
}

/// Compares the schemes at several subset sizes.
export function measureSubsets(): Promise<MeasurementResult> {
  const rows = SUBSET_SIZES.flatMap((size) =>
    SCHEMES.map((scheme) => measureScheme(scheme, size))
  );
  return Promise.resolve({
    name: "subsets",
    summary: `${ENTRIES} entries and ${ENGINES} engines. Every entry ` +
      "sends one unit of load, spread evenly over its subset; selection by load " +
      "would balance it further. A joining entry's name sorts between the others'.",
    tables: [{
      title: "Subsets by scheme",
      columns: [
        "size",
        "scheme",
        "largest load over mean",
        "links per entry",
        "engines that share a failed one's load, minimum",
        "largest share of it",
        "links changed when an entry joins",
        "links changed when an engine joins",
      ],
      rows,
    }],
    targets: [],
  });
}
