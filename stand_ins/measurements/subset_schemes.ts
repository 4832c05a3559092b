import { createHash } from "node:crypto";
import { createSeededRandom, randomInteger } from "../../src/support/random.ts";

/// Schemes that assign a subset of the engines to every entry.

export interface SubsetScheme {
  readonly name: string;
  /// Returns the names of each entry's engines. A scheme may use both lists,
  /// since every entry has them.
  choose(
    entries: readonly string[],
    engines: readonly string[],
    size: number,
  ): ReadonlyMap<string, readonly string[]>;
}

function greatestCommonDivisor(first: number, second: number): number {
  return second === 0 ? first : greatestCommonDivisor(second, first % second);
}

/// Strides that are relatively prime to `count`, as the RELPR layouts of
/// Alvarez, Burkhard, Stockmeyer and Cristian ("Declustered Disk Array
/// Architectures with Optimal and Near-optimal Parallelism") use them.
export function relativelyPrimeStrides(count: number): number[] {
  return Array.from({ length: count - 1 }, (_, index) => index + 1)
    .filter((stride) => greatestCommonDivisor(stride, count) === 1);
}

/// Consecutive entries get consecutive sections of the engines in the order of
/// one stride. Each round through the engines uses another stride.
export const strideSubsets: SubsetScheme = {
  name: "relatively prime strides",
  choose(entries, engines, size) {
    const strides = relativelyPrimeStrides(engines.length);
    const entriesPerRound = Math.floor(engines.length / size);
    return new Map(
      [...entries].sort().map((entry, position) => {
        const round = Math.floor(position / entriesPerRound);
        // The subsets of adjacent strides overlap much. A fixed step through
        // the strides avoids that.
        const stride = strides[(round * ROUND_STRIDE_STEP) % strides.length]!;
        const first = (position % entriesPerRound) * size;
        const subset = Array.from(
          { length: size },
          (_, index) => engines[(first + index) * stride % engines.length]!,
        );
        return [entry, subset];
      }),
    );
  },
};

/// Step through the list of strides between consecutive rounds.
const ROUND_STRIDE_STEP = 7;

/// Independent uniform samples, seeded with the entry's name.
export const randomSubsets: SubsetScheme = {
  name: "random",
  choose(entries, engines, size) {
    return new Map(entries.map((entry) => {
      const digest = createHash("sha256").update(entry).digest();
      const random = createSeededRandom(digest.readUInt32LE());
      const pool = [...engines];
      const subset = Array.from(
        { length: size },
        () => pool.splice(randomInteger(random, pool.length), 1)[0]!,
      );
      return [entry, subset];
    }));
  },
};

const rendezvousScore = (entry: string, engine: string) =>
  createHash("sha256").update(`${entry} ${engine}`).digest().readUIntBE(0, 6);

/// The engines with the greatest hash of entry and engine.
export const rendezvousSubsets: SubsetScheme = {
  name: "rendezvous",
  choose(entries, engines, size) {
    return new Map(entries.map((entry) => {
      const subset = engines
        .map((engine) => ({ engine, score: rendezvousScore(entry, engine) }))
        .sort((left, right) => right.score - left.score)
        .slice(0, size)
        .map(({ engine }) => engine);
      return [entry, subset];
    }));
  },
};

/// Each engine is assigned to the entries with the greatest hash, so that all
/// engines have the same number of entries.
export const engineRendezvousSubsets: SubsetScheme = {
  name: "rendezvous by engine",
  choose(entries, engines, size) {
    const entriesPerEngine = Math.round(size * entries.length / engines.length);
    const subsets = new Map<string, string[]>(
      entries.map((entry) => [entry, []]),
    );
    for (const engine of engines) {
      const selected = entries
        .map((entry) => ({ entry, score: rendezvousScore(entry, engine) }))
        .sort((left, right) => right.score - left.score)
        .slice(0, entriesPerEngine);
      for (const { entry } of selected) subsets.get(entry)!.push(engine);
    }
    return subsets;
  },
};
