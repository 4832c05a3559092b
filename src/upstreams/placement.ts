import type { Milliseconds } from "../support/clock.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import type { Prompt } from "./engine_client.ts";
import type { EngineView } from "./engine_directory.ts";

/// Choice of the engine for a request.

export interface PlacementQuestion {
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  readonly isLong: boolean;
  /// Usable engines that have room for the prompt.
  readonly candidates: readonly EngineView[];
}

export interface PlacementPolicy {
  choose(question: PlacementQuestion): EngineView | undefined;
}

/// Engines compared for each request; more would make many VMs pick the same.
const COMPARED_ENGINES = 4;

/// Expected time to first token of a prompt of `tokens` uncached tokens.
export function expectedFirstToken(
  engine: EngineView,
  tokens: number,
): Milliseconds {
  const report = engine.report;
  if (!report) return Infinity;
  const queued = report.queuedTokens + engine.unreportedTokens + tokens;
  const prefill = 1_000 * queued / report.prefillTokensPerSecond;
  const running = report.runningStreams + engine.unreportedRequests;
  return prefill + running * report.decodeMilliseconds;
}

/// Chooses the engine with the shortest expected time to first token among a
/// few random ones.
export class ShortestWaitPlacement implements PlacementPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(question: PlacementQuestion): EngineView | undefined {
    const pool = [...question.candidates];
    let best: EngineView | undefined;
    let bestWait = Infinity;
    for (let count = 0; count < COMPARED_ENGINES && pool.length > 0; count++) {
      const index = randomInteger(this.#random, pool.length);
      const [engine] = pool.splice(index, 1);
      const wait = expectedFirstToken(engine!, question.prompt.tokens);
      if (wait >= bestWait) continue;
      best = engine;
      bestWait = wait;
    }
    return best;
  }
}
