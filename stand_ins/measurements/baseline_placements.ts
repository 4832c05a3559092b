import { randomInteger, type RandomSource } from "../../src/support/random.ts";
import type { EngineView } from "../../src/upstreams/engine_directory.ts";
import type {
  PlacementPolicy,
  PlacementRequest,
} from "../../src/upstreams/placement.ts";

/// Usual placements that ours is compared with.

function leastBy(
  engines: readonly EngineView[],
  cost: (engine: EngineView) => number,
): EngineView | undefined {
  let best: EngineView | undefined;
  let bestCost = Infinity;
  for (const engine of engines) {
    const value = cost(engine);
    if (value >= bestCost) continue;
    best = engine;
    bestCost = value;
  }
  return best;
}

const requestsAt = (engine: EngineView) =>
  (engine.report?.runningStreams ?? 0) + engine.unreportedRequests;

const tokensAt = (engine: EngineView) =>
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
    return leastBy(candidates, requestsAt);
  }
}

export class LeastTokensPlacement implements PlacementPolicy {
  choose({ candidates }: PlacementRequest): EngineView | undefined {
    return leastBy(candidates, tokensAt);
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
    return leastBy([pick(), pick()], tokensAt);
  }
}

/// Sends prompts that start alike to the same engine, by rendezvous hash.
export class PrefixAffinityPlacement implements PlacementPolicy {
  choose({ prompt, candidates }: PlacementRequest): EngineView | undefined {
    const key = prompt.blocks[0] ?? prompt.text;
    return leastBy(
      candidates,
      (engine) => hash(`${key} ${engine.upstream.name}`),
    );
  }
}

/// Share of the engines that take only long prompts.
const LONG_ENGINES_SHARE = 0.5;

/// A fixed part of the engines takes long prompts, the rest all others.
export class StaticSplitPlacement implements PlacementPolicy {
  choose({ candidates, isLong }: PlacementRequest): EngineView | undefined {
    const boundary = Math.ceil(candidates.length * LONG_ENGINES_SHARE);
    const part = isLong
      ? candidates.slice(0, boundary)
      : candidates.slice(boundary);
    return leastBy(part.length > 0 ? part : candidates, tokensAt);
  }
}

/// The 32-bit FNV-1a hash with a final mix.
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d);
  return (value ^ (value >>> 13)) >>> 0;
}
