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
  /// Usable engines with enough memory capacity for the prompt.
  readonly candidates: readonly EngineView[];
}

export interface PlacementPolicy {
  choose(request: PlacementRequest): EngineView | undefined;
}

/// Engines compared for each request. With more of them, many VMs would choose
/// the same engine.
const COMPARED_ENGINES = 8;

/// A prompt with its place in an engine's priority order.
export type PrefillJob = Pick<PlacementRequest, "prompt" | "priority">;

/// With at least this many unannounced tokens, an engine is assumed to prefill
/// a long prompt.
const MINIMUM_LONG_PREFILL_TOKENS = 50_000;

/// Reported tokens of prefills that no VM has announced.
function unannouncedTokens(engine: EngineView): number {
  let known = 0;
  for (const group of engine.prefills) known += group.tokens;
  const reported = engine.report?.queuedTokens ?? 0;
  return Math.max(0, reported - Math.max(known, engine.prefillTokensAtReport));
}

/// Prompt tokens that the engine prefills before a prompt of this priority.
export function tokensAhead(engine: EngineView, priority: number): number {
  let ahead = unannouncedTokens(engine);
  for (const group of engine.prefills) {
    if (group.priority <= priority) ahead += group.tokens;
  }
  return ahead;
}

/// Whether the engine is prefilling a long prompt.
function hasLongPrefill(engine: EngineView): boolean {
  return engine.prefills.some((group) => group.long > 0) ||
    unannouncedTokens(engine) >= MINIMUM_LONG_PREFILL_TOKENS;
}

/// Whether the estimated free memory of the engine is enough for the request.
export function hasFreeMemory(
  engine: EngineView,
  request: Pick<PlacementRequest, "prompt" | "maximumTokens">,
): boolean {
  let known = 0;
  for (const group of engine.prefills) known += group.tokens;
  // Prefills that started after the report have allocated memory since.
  const allocated = Math.max(0, known - engine.prefillTokensAtReport);
  const free = (engine.report?.freeTokens ?? 0) - allocated;
  return free >= request.prompt.tokens + request.maximumTokens;
}

/// Whether a long prompt may be sent to the engine now.
export function acceptsLongPrefill(
  engine: EngineView,
  request: Pick<PlacementRequest, "prompt" | "maximumTokens">,
): boolean {
  return !hasLongPrefill(engine) && hasFreeMemory(engine, request);
}

/// Estimated tokens of the prompt that the engine has to prefill.
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

/// Chooses the engine with the shortest expected time to first token from a
/// small random sample.
export class ShortestWaitPlacement implements PlacementPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(request: PlacementRequest): EngineView | undefined {
    const { candidates, isLong } = request;
    const free = candidates.filter((engine) =>
      isLong
        ? acceptsLongPrefill(engine, request)
        : hasFreeMemory(engine, request)
    );
    const pool = [...(free.length > 0 ? free : candidates)];
    let best: EngineView | undefined;
    let bestWait = Infinity;
    for (let count = 0; count < COMPARED_ENGINES && pool.length > 0; count++) {
      const index = randomInteger(this.#random, pool.length);
      const [engine] = pool.splice(index, 1);
      const wait = expectedFirstToken(engine!, request);
      if (wait >= bestWait) continue;
      best = engine;
      bestWait = wait;
    }
    return best;
  }
}
