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

/// Whether engines have room for one more request now, and how long it would
/// take to its end.

export interface EngineRequirements {
  readonly model: string;
  readonly version: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  readonly priority: number;
  readonly isLong: boolean;
}

export interface EngineCapacity {
  mayStart(need: EngineRequirements): boolean;
  /// Expected time to the first token. The answer's length is not known: the
  /// maximum that callers give is rarely reached.
  expectedWait(need: EngineRequirements, ahead: WorkAhead): Milliseconds;
}

/// Work that competes with a request and is not at engines yet.
export interface WorkAhead {
  /// Queued prompt tokens that go first, on all VMs.
  readonly queuedTokens: number;
  /// Prompt tokens a second, on all VMs, that will overtake it.
  readonly overtakingTokensPerSecond: number;
}

/// Wait at the best engine above which requests are kept back, so that the
/// queues decide who is next.
const ENGINE_WAIT_LIMIT_MILLISECONDS = 500;
/// Share of the rate that is assumed to be left in the worst case.
const LEAST_RATE_SHARE = 0.1;
export function createEngineCapacity(engines: EngineDirectory): EngineCapacity {
  const usableOf = ({ model, version }: EngineRequirements) =>
    engines.enginesOf(model, version).filter((engine) => engine.usable);

  const fits = (engine: EngineView, need: EngineRequirements) =>
    need.prompt.tokens + need.maximumTokens <=
      (engine.report?.memoryTokens ?? 0);

  return {
    mayStart(need) {
      const usable = usableOf(need);
      const candidates = usable.filter((engine) => fits(engine, need));
      if (candidates.length === 0) return true;
      if (need.isLong) {
        return candidates.some((engine) => acceptsLongPrefill(engine, need));
      }
      const nothing = { ...need.prompt, tokens: 0, blocks: [] };
      return candidates.some((engine) =>
        expectedFirstToken(engine, { ...need, prompt: nothing }) <
          ENGINE_WAIT_LIMIT_MILLISECONDS
      );
    },
    expectedWait(need, { queuedTokens, overtakingTokensPerSecond }) {
      const usable = usableOf(need);
      if (usable.length === 0) return 0;
      const rates = usable.map((engine) =>
        engine.report!.prefillTokensPerSecond
      );
      const total = rates.reduce((sum, rate) => sum + rate, 0);
      const left = 1 - overtakingTokensPerSecond / total;
      const share = Math.max(LEAST_RATE_SHARE, left);
      const own = Math.min(
        ...usable.map((engine, index) =>
          (tokensAhead(engine, need.priority) + need.prompt.tokens) /
          rates[index]!
        ),
      );
      const queued = queuedTokens / total;
      return 1_000 * (own + queued) / share;
    },
  };
}
