import type { MeasurementResult } from "../measurement.ts";
import {
  engineRendezvousSubsets,
  randomSubsets,
  rendezvousSubsets,
  strideSubsets,
  type SubsetScheme,
} from "./subset_schemes.ts";

/// Subsets of runners for each entry, at the size to design for.

const ENTRIES = 360;
const RUNNERS = 660;
const SIZES = [12, 30, 66];
const SCHEMES = [
  strideSubsets,
  randomSubsets,
  rendezvousSubsets,
  engineRendezvousSubsets,
];

const numbered = (prefix: string, count: number) =>
  Array.from(
    { length: count },
    (_, index) => `${prefix}-${String(index + 1).padStart(3, "0")}`,
  );

type Subsets = ReadonlyMap<string, readonly string[]>;

/// Load of each runner when every entry spreads one unit evenly over its
/// subset, without the runners in `lost`.
function loadsOf(
  subsets: Subsets,
  runners: readonly string[],
  lost?: string,
): ReadonlyMap<string, number> {
  const loads = new Map(
    runners.filter((runner) => runner !== lost).map((runner) => [runner, 0]),
  );
  for (const subset of subsets.values()) {
    const alive = subset.filter((runner) => runner !== lost);
    for (const runner of alive) {
      loads.set(runner, loads.get(runner)! + 1 / alive.length);
    }
  }
  return loads;
}

function imbalance(loads: ReadonlyMap<string, number>): number {
  const values = [...loads.values()];
  const mean = values.reduce((sum, load) => sum + load, 0) / values.length;
  return Math.max(...values) / mean;
}

/// How a lost runner's load spreads: runners that take some of it, and the
/// largest part that one takes. The worst over all runners.
function spreadOfLost(subsets: Subsets, runners: readonly string[]) {
  const before = loadsOf(subsets, runners);
  let fewest = Infinity;
  let largestPart = 0;
  for (const lost of runners) {
    const load = before.get(lost)!;
    if (load === 0) continue;
    const after = loadsOf(subsets, runners, lost);
    const parts = [...after]
      .map(([runner, value]) => (value - before.get(runner)!) / load)
      .filter((part) => part > 1e-9);
    fewest = Math.min(fewest, parts.length);
    largestPart = Math.max(largestPart, ...parts);
  }
  return { fewest, largestPart };
}

/// Share of the links that differ.
function change(before: Subsets, after: Subsets): number {
  let links = 0;
  let changed = 0;
  for (const [entry, subset] of before) {
    const kept = new Set(after.get(entry) ?? []);
    links += subset.length;
    changed += subset.filter((runner) => !kept.has(runner)).length;
  }
  return changed / links;
}

function measureScheme(scheme: SubsetScheme, size: number) {
  const entries = numbered("entry", ENTRIES);
  const runners = numbered("runner", RUNNERS);
  const subsets = scheme.choose(entries, runners, size);
  const counts = [...subsets.values()].map((subset) => subset.length);
  const { fewest, largestPart } = spreadOfLost(subsets, runners);
  const withEntry = scheme.choose(
    [...entries, "entry-100-replacement"],
    runners,
    size,
  );
  const withRunner = scheme.choose(
    entries,
    [...runners, "runner-661"],
    size,
  );
  const percent = (share: number) => `${(100 * share).toFixed(1)}%`;
  return [
    size,
    scheme.name,
    imbalance(loadsOf(subsets, runners)).toFixed(2),
    `${Math.min(...counts)}–${Math.max(...counts)}`,
    fewest,
    percent(largestPart),
    percent(change(subsets, withEntry)),
    percent(change(subsets, withRunner)),
  ];
}

/// Compares the schemes at a few subset sizes.
export function measureSubsets(): Promise<MeasurementResult> {
  const rows = SIZES.flatMap((size) =>
    SCHEMES.map((scheme) => measureScheme(scheme, size))
  );
  return Promise.resolve({
    name: "subsets",
    summary: `${ENTRIES} entries before ${RUNNERS} runners. Every entry ` +
      "sends one unit of load, spread evenly over its subset; choice by load " +
      "would even out more. A joining entry's name falls among the others'.",
    tables: [{
      title: "Subsets by scheme",
      columns: [
        "size",
        "scheme",
        "largest load over mean",
        "links per entry",
        "runners that share a lost one's load, fewest",
        "largest part of it",
        "links changed when an entry joins",
        "links changed when a runner joins",
      ],
      rows,
    }],
    targets: [],
  });
}
