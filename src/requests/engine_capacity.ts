import type { Milliseconds } from "../support/clock.ts";
import type { Prompt } from "../upstreams/engine_client.ts";
import type {
  EngineDirectory,
  EngineView,
} from "../upstreams/engine_directory.ts";
import {
  acceptsLongPrefill,
  expectedFirstToken,
  tokensAhead,
} from "../upstreams/placement.ts";

/// Estimates whether the engines have capacity for one more request now, and
/// the time to its first token.

export interface EngineRequirements {
  readonly model: string;
  readonly version: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  readonly priority: number;
  readonly isLong: boolean;
}

export interface EngineCapacity {
  mayStart(requirements: EngineRequirements): boolean;
  /// Expected time to the first token. The decode time is left out, because the
  /// length of the answer is unknown: the callers' maximum is rarely reached.
  expectedWait(
    requirements: EngineRequirements,
    competing: CompetingWork,
  ): Milliseconds;
}

/// Work that competes with a request and has not been sent to engines yet.
export interface CompetingWork {
  /// Prompt tokens queued before the request, on all VMs.
  readonly queuedTokens: number;
  /// Prompt tokens per second, on all VMs, of more urgent requests, which
  /// overtake the request.
  readonly moreUrgentTokensPerSecond: number;
}

/// Expected wait at the best engine above which requests stay queued, so that
/// the queues determine the order.
const MAXIMUM_ENGINE_WAIT_MILLISECONDS = 500;
/// Minimum part of the prefill rate that is assumed to be left for a request.
const MINIMUM_RATE_RATIO = 0.1;

export function createEngineCapacity(engines: EngineDirectory): EngineCapacity {
  const usableOf = ({ model, version }: EngineRequirements) =>
    engines.enginesOf(model, version).filter((engine) => engine.usable);

  const fits = (engine: EngineView, requirements: EngineRequirements) =>
    requirements.prompt.tokens + requirements.maximumTokens <=
      (engine.report?.memoryTokens ?? 0);

  return {
    mayStart(requirements) {
      const usable = usableOf(requirements);
      const candidates = usable.filter((engine) => fits(engine, requirements));
      if (candidates.length === 0) return true;
      if (requirements.isLong) {
        return candidates.some((engine) =>
          acceptsLongPrefill(engine, requirements)
        );
      }
      const emptyPrompt = { ...requirements.prompt, tokens: 0, blocks: [] };
      return candidates.some((engine) =>
        expectedFirstToken(engine, { ...requirements, prompt: emptyPrompt }) <
          MAXIMUM_ENGINE_WAIT_MILLISECONDS
      );
    },
    expectedWait(
      requirements,
      { queuedTokens, moreUrgentTokensPerSecond },
    ) {
      const usable = usableOf(requirements);
      if (usable.length === 0) return 0;
      const rates = usable.map((engine) =>
        engine.report!.prefillTokensPerSecond
      );
      const total = rates.reduce((sum, rate) => sum + rate, 0);
      const remainingRatio = 1 - moreUrgentTokensPerSecond / total;
      const rateRatio = Math.max(MINIMUM_RATE_RATIO, remainingRatio);
      const engineSeconds = Math.min(
        ...usable.map((engine, index) =>
          (tokensAhead(engine, requirements.priority) +
            requirements.prompt.tokens) /
          rates[index]!
        ),
      );
      const queueSeconds = queuedTokens / total;
      return 1_000 * (engineSeconds + queueSeconds) / rateRatio;
    },
  };
}
