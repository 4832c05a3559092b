import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";

/// What work costs on an engine, from the figures of its service.

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/// Time to read a prompt on one engine that does nothing else.
export function prefillTime(
  profile: EngineProfile,
  promptTokens: number,
): Milliseconds {
  const linear = promptTokens / profile.readTokensPerSecond * 1_000;
  const pairs = promptTokens * promptTokens / 2 / PAIRS_PER_MILLION;
  return linear + pairs * profile.readMillisecondsPerMillionPairs;
}

/// Time of one pass of token steps while `writers` requests with
/// `contextTokens` in all write.
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
