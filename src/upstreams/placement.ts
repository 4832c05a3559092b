import type { Milliseconds } from "../support/clock.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import type { Prompt } from "./engine_client.ts";
import type { EngineView } from "./engine_directory.ts";

/// Choice of the engine for a request.

export interface PlacementRequest {
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  readonly isLong: boolean;
  /// Engine priority; smaller is more urgent.
  readonly priority: number;
  /// Usable engines that have room for the prompt.
  readonly candidates: readonly EngineView[];
}

export interface PlacementPolicy {
  choose(question: PlacementRequest): EngineView | undefined;
}

/// Engines compared for each request; more would make many VMs pick the same.
const COMPARED_ENGINES = 8;

/// Work as an engine orders it.
export type PrefillJob = Pick<PlacementRequest, "prompt" | "priority">;

/// Unannounced tokens from which on an engine is taken to prefill a long
/// prompt.
const LONG_PREFILL_TOKENS = 50_000;

/// Reported tokens of prefills that no VM announced.
function unknownTokens(engine: EngineView): number {
  let known = 0;
  for (const group of engine.prefills) known += group.tokens;
  const reported = engine.report?.queuedTokens ?? 0;
  return Math.max(0, reported - Math.max(known, engine.prefillTokensAtReport));
}

/// Prompt tokens that the engine prefills before one of this priority.
export function tokensAhead(engine: EngineView, priority: number): number {
  let ahead = unknownTokens(engine);
  for (const group of engine.prefills) {
    if (group.priority <= priority) ahead += group.tokens;
  }
  return ahead;
}

/// Whether a long prompt is being prefilled there.
function hasLongPrefill(engine: EngineView): boolean {
  return engine.prefills.some((group) => group.long > 0) ||
    unknownTokens(engine) >= LONG_PREFILL_TOKENS;
}

/// Whether the engine's free memory holds the request, as far as is known.
export function hasFreeMemory(
  engine: EngineView,
  need: Pick<PlacementRequest, "prompt" | "maximumTokens">,
): boolean {
  let known = 0;
  for (const group of engine.prefills) known += group.tokens;
  // Prefills that began after the report have taken memory since.
  const taken = Math.max(0, known - engine.prefillTokensAtReport);
  const free = (engine.report?.freeTokens ?? 0) - taken;
  return free >= need.prompt.tokens + need.maximumTokens;
}

/// Whether a long prompt may be sent there now.
export function acceptsLongPrefill(
  engine: EngineView,
  need: Pick<PlacementRequest, "prompt" | "maximumTokens">,
): boolean {
  return !hasLongPrefill(engine) && hasFreeMemory(engine, need);
}

/// Tokens of the prompt that the engine has to prefill.
export function uncachedTokens(engine: EngineView, prompt: Prompt): number {
  const cached = engine.cachedTokens(prompt.blocks);
  return Math.max(Math.min(1, prompt.tokens), prompt.tokens - cached);
}

/// Expected time to first token.
export function expectedFirstToken(
  engine: EngineView,
  { prompt, priority }: PrefillJob,
): Milliseconds {
  const { report } = engine;
  if (!report) return Infinity;
  const tokens = tokensAhead(engine, priority) + uncachedTokens(engine, prompt);
  const prefill = 1_000 * tokens / report.prefillTokensPerSecond;
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

  choose(question: PlacementRequest): EngineView | undefined {
    const { candidates, isLong } = question;
    const free = candidates.filter((engine) =>
      isLong
        ? acceptsLongPrefill(engine, question)
        : hasFreeMemory(engine, question)
    );
    const pool = [...(free.length > 0 ? free : candidates)];
    let best: EngineView | undefined;
    let bestWait = Infinity;
    for (let count = 0; count < COMPARED_ENGINES && pool.length > 0; count++) {
      const index = randomInteger(this.#random, pool.length);
      const [engine] = pool.splice(index, 1);
      const wait = expectedFirstToken(engine!, question);
      if (wait >= bestWait) continue;
      best = engine;
      bestWait = wait;
    }
    return best;
  }
}
