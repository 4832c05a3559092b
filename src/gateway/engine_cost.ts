import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";

/// Estimates of an engine's processing times from its service's profile.

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/// Time to prefill a prompt on one otherwise idle engine.
export function prefillTime(
  profile: EngineProfile,
  promptTokens: number,
): Milliseconds {
  const linear = promptTokens / profile.readTokensPerSecond * 1_000;
  const pairs = promptTokens * promptTokens / 2 / PAIRS_PER_MILLION;
  return linear + pairs * profile.readMillisecondsPerMillionPairs;
}

/// Time of one pass of decode steps while `decodingRequests` requests with
/// `contextTokens` in total are decoded.
export function passTime(
  profile: EngineProfile,
  load: { readonly decodingRequests: number; readonly contextTokens: number },
): Milliseconds {
  const step = profile.stepMilliseconds +
    load.decodingRequests * profile.stepMillisecondsPerRequest +
    load.contextTokens / TOKENS_PER_THOUSAND *
      profile.stepMillisecondsPerThousandTokens;
  return step * profile.stepsPerPass;
}
