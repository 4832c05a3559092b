import { createHash } from "node:crypto";
import { createSeededRandom, randomInteger } from "../../src/support/random.ts";

/// Ways to give every entry a subset of the runners.

export interface SubsetScheme {
  readonly name: string;
  /// Runners of each entry, both by name. All entries know both lists.
  choose(
    entries: readonly string[],
    runners: readonly string[],
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

/// Entry at position `position`: consecutive entries take consecutive
/// stretches of one stride's order, and the next stride after each round.
export const strideSubsets: SubsetScheme = {
  name: "relatively prime strides",
  choose(entries, runners, size) {
    const strides = relativelyPrimeStrides(runners.length);
    const perRound = Math.floor(runners.length / size);
    return new Map(
      [...entries].sort().map((entry, position) => {
        const round = Math.floor(position / perRound);
        // Neighbouring strides overlap much; a fixed step through them doesn't.
        const stride = strides[(round * STRIDE_STEP) % strides.length]!;
        const first = (position % perRound) * size;
        const subset = Array.from(
          { length: size },
          (_, index) => runners[(first + index) * stride % runners.length]!,
        );
        return [entry, subset];
      }),
    );
  },
};

/// Step between the strides of consecutive rounds.
const STRIDE_STEP = 7;

/// Independent uniform choices, seeded by the entry's name.
export const randomSubsets: SubsetScheme = {
  name: "random",
  choose(entries, runners, size) {
    return new Map(entries.map((entry) => {
      const digest = createHash("sha256").update(entry).digest();
      const random = createSeededRandom(digest.readUInt32LE());
      const pool = [...runners];
      const subset = Array.from(
        { length: size },
        () => pool.splice(randomInteger(random, pool.length), 1)[0]!,
      );
      return [entry, subset];
    }));
  },
};

const scoreOf = (entry: string, runner: string) =>
  createHash("sha256").update(`${entry} ${runner}`).digest().readUIntBE(0, 6);

/// The runners with the greatest hash of entry and runner.
export const rendezvousSubsets: SubsetScheme = {
  name: "rendezvous",
  choose(entries, runners, size) {
    return new Map(entries.map((entry) => {
      const subset = runners
        .map((runner) => ({ runner, score: scoreOf(entry, runner) }))
        .sort((left, right) => right.score - left.score)
        .slice(0, size)
        .map(({ runner }) => runner);
      return [entry, subset];
    }));
  },
};

/// Each runner picks the entries with the greatest hash, so that all runners
/// have the same number of entries.
export const engineRendezvousSubsets: SubsetScheme = {
  name: "rendezvous by runner",
  choose(entries, runners, size) {
    const perRunner = Math.round(size * entries.length / runners.length);
    const subsets = new Map<string, string[]>(
      entries.map((entry) => [entry, []]),
    );
    for (const runner of runners) {
      const chosen = entries
        .map((entry) => ({ entry, score: scoreOf(entry, runner) }))
        .sort((left, right) => right.score - left.score)
        .slice(0, perRunner);
      for (const { entry } of chosen) subsets.get(entry)!.push(runner);
    }
    return subsets;
  },
};
