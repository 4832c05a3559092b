import type { EngineProfile } from "../../src/gateway/configuration.ts";
import { passTime, prefillTime } from "../../src/gateway/engine_cost.ts";
import type { Clock } from "../../src/support/clock.ts";

/// Model of an engine of the platform. It processes all pending work in passes;
/// each pass decodes and prefills. Spans of prompts that several engines prefill
/// take precedence over whole prompts.

/// Maximum number of tokens that an engine prefills in one step.
const MAXIMUM_PREFILL_TOKENS_PER_STEP = 2_048;

interface PrefillJob {
  readonly tokens: number;
  /// Duration of the whole prefill, in milliseconds.
  readonly time: number;
  remainingTokens: number;
  readonly onDone: () => void;
}

interface DecodingStream {
  readonly contextTokens: number;
  /// Events that are still to be sent.
  remaining: number;
  readonly event: (isLast: boolean) => void;
}

export interface PassEngine {
  /// Prefills a span that is `share` of a prompt of `promptTokens`.
  prefill(
    span: { promptTokens: number; share: number },
    onDone: () => void,
  ): void;
  /// Sends `events` events once a slot is free: the first immediately, since
  /// prefill yields the first token, and one further event per pass.
  decode(
    stream: { contextTokens: number; events: number },
    event: (isLast: boolean) => void,
  ): void;
}

export function createPassEngine(
  clock: Clock,
  profile: EngineProfile,
): PassEngine {
  const spans: PrefillJob[] = [];
  const prompts: PrefillJob[] = [];
  const streams: DecodingStream[] = [];
  const queuedStreams: DecodingStream[] = [];
  let isPassRunning = false;

  /// Advances the prefills of a queue within the token budget. Returns their
  /// duration and the prefills that are finished.
  const advancePrefills = (queue: PrefillJob[], budget: { tokens: number }) => {
    let time = 0;
    const finished: PrefillJob[] = [];
    while (queue.length > 0 && budget.tokens > 0) {
      const prefill = queue[0]!;
      const tokens = Math.min(prefill.remainingTokens, budget.tokens);
      budget.tokens -= tokens;
      prefill.remainingTokens -= tokens;
      time += prefill.time * tokens / prefill.tokens;
      if (prefill.remainingTokens > 0) break;
      finished.push(queue.shift()!);
    }
    return { time, finished };
  };

  const runPass = () => {
    while (streams.length < profile.slots && queuedStreams.length > 0) {
      const stream = queuedStreams.shift()!;
      stream.remaining -= 1;
      if (stream.remaining > 0) streams.push(stream);
      stream.event(stream.remaining === 0);
    }
    if (streams.length + spans.length + prompts.length === 0) {
      isPassRunning = false;
      return;
    }
    const active = [...streams];
    const contextTokens = active.reduce(
      (sum, stream) => sum + stream.contextTokens,
      0,
    );
    const budget = {
      tokens: MAXIMUM_PREFILL_TOKENS_PER_STEP * profile.stepsPerPass,
    };
    const spanWork = advancePrefills(spans, budget);
    const promptWork = advancePrefills(prompts, budget);
    const decodeTime = active.length === 0
      ? 0
      : passTime(profile, { decodingRequests: active.length, contextTokens });
    clock.schedule(decodeTime + spanWork.time + promptWork.time, () => {
      for (const stream of active) {
        stream.remaining -= 1;
        if (stream.remaining === 0) streams.splice(streams.indexOf(stream), 1);
        stream.event(stream.remaining === 0);
      }
      for (
        const { onDone } of [...spanWork.finished, ...promptWork.finished]
      ) onDone();
      runPass();
    });
  };

  const startPasses = () => {
    if (isPassRunning) return;
    isPassRunning = true;
    clock.schedule(0, runPass);
  };

  return {
    prefill({ promptTokens, share }, onDone) {
      const tokens = Math.max(1, Math.ceil(promptTokens * share));
      const time = prefillTime(profile, promptTokens) * share;
      (share < 1 ? spans : prompts).push({
        tokens,
        time,
        remainingTokens: tokens,
        onDone,
      });
      startPasses();
    },
    decode({ contextTokens, events }, event) {
      queuedStreams.push({ contextTokens, remaining: events, event });
      startPasses();
    },
  };
}
