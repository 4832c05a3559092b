import { randomInteger, type RandomSource } from "../../src/support/random.ts";
import type { EngineView } from "../../src/upstreams/engine_directory.ts";
import type {
  PlacementPolicy,
  PlacementRequest,
} from "../../src/upstreams/placement.ts";

/// Common placement policies, as baselines for the project's own policy.

function minimumBy(
  engines: readonly EngineView[],
  cost: (engine: EngineView) => number,
): EngineView | undefined {
  let minimum: EngineView | undefined;
  let minimumCost = Infinity;
  for (const engine of engines) {
    const value = cost(engine);
    if (value >= minimumCost) continue;
    minimum = engine;
    minimumCost = value;
  }
  return minimum;
}

const outstandingRequests = (engine: EngineView) =>
  (engine.report?.runningStreams ?? 0) + engine.unreportedRequests;

const outstandingTokens = (engine: EngineView) =>
  (engine.report?.queuedTokens ?? 0) + engine.unreportedTokens;

export class RandomPlacement implements PlacementPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose({ candidates }: PlacementRequest): EngineView | undefined {
    return candidates[randomInteger(this.#random, candidates.length)];
  }
}

export class RoundRobinPlacement implements PlacementPolicy {
  #next: number;

  constructor(random: RandomSource) {
    this.#next = randomInteger(random, 1_000);
  }

  choose({ candidates }: PlacementRequest): EngineView | undefined {
    return candidates[this.#next++ % candidates.length];
  }
}

export class LeastRequestsPlacement implements PlacementPolicy {
  choose({ candidates }: PlacementRequest): EngineView | undefined {
    return minimumBy(candidates, outstandingRequests);
  }
}

export class LeastTokensPlacement implements PlacementPolicy {
  choose({ candidates }: PlacementRequest): EngineView | undefined {
    return minimumBy(candidates, outstandingTokens);
  }
}

export class TwoChoicesPlacement implements PlacementPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose({ candidates }: PlacementRequest): EngineView | undefined {
    if (candidates.length === 0) return undefined;
    const pick = () =>
      candidates[randomInteger(this.#random, candidates.length)]!;
    return minimumBy([pick(), pick()], outstandingTokens);
  }
}

/// Sends prompts with the same first block to the same engine, by rendezvous
/// hashing.
export class PrefixAffinityPlacement implements PlacementPolicy {
  choose({ prompt, candidates }: PlacementRequest): EngineView | undefined {
    const key = prompt.blocks[0] ?? prompt.text;
    return minimumBy(
      candidates,
      (engine) => hash(`${key} ${engine.upstream.name}`),
    );
  }
}

/// Ratio of the engines that take only long prompts.
const LONG_PROMPT_ENGINES_RATIO = 0.5;

/// Reserves a fixed ratio of the engines for long prompts; the other engines
/// take all other prompts.
export class StaticSplitPlacement implements PlacementPolicy {
  choose({ candidates, isLong }: PlacementRequest): EngineView | undefined {
    const boundary = Math.ceil(candidates.length * LONG_PROMPT_ENGINES_RATIO);
    const partition = isLong
      ? candidates.slice(0, boundary)
      : candidates.slice(boundary);
    return minimumBy(
      partition.length > 0 ? partition : candidates,
      outstandingTokens,
    );
  }
}

/// Returns the 32-bit FNV-1a hash with a final mix.
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d);
  return (value ^ (value >>> 13)) >>> 0;
}
