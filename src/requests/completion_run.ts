import { untilAborted } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import {
  type CacheReference,
  type CompletionCall,
  type EngineChunk,
  EngineLostError,
  EngineNotReachedError,
  EngineRefusedError,
  type Prompt,
} from "../upstreams/engine_client.ts";
import type {
  EngineDirectory,
  EngineView,
  SendRecord,
} from "../upstreams/engine_directory.ts";
import {
  expectedFirstToken,
  type PlacementPolicy,
  uncachedTokens,
} from "../upstreams/placement.ts";
import { checkedChunks } from "./attempt.ts";
import type { Deadline } from "./deadline.ts";
import { RequestError, toRequestError } from "./request_error.ts";
import type { OpenRequest } from "./request_registry.ts";
import { prefillSpans } from "./span_prefill.ts";

/// Runs one admitted completion: places it, retries where that is safe, and
/// resumes its stream where it was cut.

export interface CompletionRequest {
  readonly customer: string;
  readonly model: string;
  readonly version: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /// Smaller is more urgent.
  readonly priority: number;
  readonly isLong: boolean;
}

export interface CompletionRunnerOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly placement: PlacementPolicy;
}

/// Where a running request takes its limits from and reports to.
export interface RunContext {
  readonly open: OpenRequest;
  readonly deadline: Deadline;
  /// Aborts at the deadline and when the caller is gone.
  readonly signal: AbortSignal;
}

export interface CompletionRunner {
  /// Yields the answer in order, ending with a chunk that carries `end`.
  /// Throws `RequestError`.
  run(
    request: CompletionRequest,
    context: RunContext,
  ): AsyncIterable<EngineChunk>;
}

const MAXIMUM_ATTEMPTS = 4;
const NO_ENGINE_RETRY_MILLISECONDS = 50;

interface RunState {
  readonly streamId: string;
  readonly excluded: Set<string>;
  attempt: number;
  offset: number;
  sent: boolean;
  /// Counts the running attempt at its engine.
  send: SendRecord | undefined;
}

export function createCompletionRunner(
  options: CompletionRunnerOptions,
): CompletionRunner {
  const { clock, engines, placement } = options;

  const hasRoom = (engine: EngineView, request: CompletionRequest) =>
    request.prompt.tokens + request.maximumTokens <=
      (engine.report?.memoryTokens ?? 0);

  const choose = (request: CompletionRequest, state: RunState) => {
    const usable = engines.enginesOf(request.model, request.version)
      .filter((engine) => engine.usable);
    const fresh = usable.filter((engine) =>
      !state.excluded.has(engine.upstream.name)
    );
    const candidates = fresh.length > 0 ? fresh : usable;
    const whole = candidates.filter((engine) => hasRoom(engine, request));
    return {
      usable,
      engine: placement.choose({ ...request, candidates: whole }),
    };
  };

  const toCall = (
    request: CompletionRequest,
    state: RunState,
    extra: {
      prompt?: Prompt;
      context?: readonly CacheReference[];
      reservation?: string;
    } = {},
  ): CompletionCall => ({
    streamId: state.streamId,
    attempt: state.attempt,
    model: request.model,
    prompt: extra.prompt ?? request.prompt,
    maximumTokens: request.maximumTokens,
    priority: request.priority,
    context: extra.context ?? [],
    reservation: extra.reservation,
  });

  async function* deliver(
    source: AsyncIterable<EngineChunk>,
    state: RunState,
    context: RunContext,
  ): AsyncIterable<EngineChunk> {
    const { streamId, attempt, offset } = state;
    const checked = checkedChunks(source, { streamId, attempt, offset });
    for await (const chunk of untilAborted(checked, context.signal)) {
      if (state.offset === 0 && chunk.tokens > 0) {
        context.open.update({ state: "streaming", firstTokenAt: clock.now() });
        state.send?.prefillEnded();
      }
      state.sent = true;
      state.offset += chunk.tokens;
      yield chunk;
    }
  }

  async function* runOnEngine(
    engine: EngineView,
    request: CompletionRequest,
    runtime: { state: RunState; context: RunContext },
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const { name } = engine.upstream;
    const { priority, isLong, prompt } = request;
    const send = engines.recordSend(name, uncachedTokens(engine, prompt), {
      priority,
      isLong,
      expectedMilliseconds: expectedFirstToken(engine, request) /
        engine.slowness,
    });
    state.send = send;
    let ended = false;
    try {
      let source = engine.client.complete(
        toCall(request, state),
        context.signal,
      );
      while (true) {
        try {
          yield* deliver(source, state, context);
          ended = true;
          return;
        } catch (error) {
          if (!canResume(error, state)) throw error;
          state.attempt++;
          context.open.update({ attempt: state.attempt });
          const { offset, attempt } = state;
          const position = { offset, attempt };
          source = engine.client.resume(
            state.streamId,
            position,
            context.signal,
          );
        }
      }
    } finally {
      send.end();
      if (!ended) engine.client.cancel(state.streamId).catch(() => {});
    }
  }

  const canResume = (error: unknown, state: RunState) =>
    error instanceof EngineLostError && state.offset > 0 &&
    state.attempt < MAXIMUM_ATTEMPTS;

  async function* runOverSpans(
    request: CompletionRequest,
    usable: readonly EngineView[],
    runtime: { state: RunState; context: RunContext },
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const spans = await prefillSpans(request, {
      clock,
      engines: usable,
      streamId: state.streamId,
      attempt: state.attempt,
      deadline: context.deadline,
      signal: context.signal,
    });
    let ended = false;
    try {
      const call = toCall(request, state, spans);
      const source = spans.engine.client.complete(call, context.signal);
      yield* deliver(source, state, context);
      ended = true;
    } finally {
      if (!ended) spans.engine.client.cancel(state.streamId).catch(() => {});
      await spans.release();
    }
  }

  const attemptOnce = async function* (
    request: CompletionRequest,
    runtime: { state: RunState; context: RunContext },
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const { usable, engine } = choose(request, state);
    if (usable.length === 0) throw new RequestError("no_upstream");
    const largest = Math.max(
      ...usable.map((view) => view.report?.memoryTokens ?? 0),
    );
    const needed = request.prompt.tokens + request.maximumTokens;
    if (!engine && needed <= largest) throw new RequestError("no_upstream");
    const upstream = engine?.upstream.name ?? "several";
    context.open.update({ state: "sent", attempt: state.attempt, upstream });
    if (!engine) return yield* runOverSpans(request, usable, runtime);
    try {
      yield* runOnEngine(engine, request, runtime);
    } catch (error) {
      state.excluded.add(engine.upstream.name);
      const refused = error instanceof EngineRefusedError;
      if (!context.signal.aborted && !refused) {
        engines.recordFailure(engine.upstream.name);
      }
      throw error;
    }
  };

  const mayRetry = (error: unknown, state: RunState) => {
    if (state.offset > 0 || state.attempt >= MAXIMUM_ATTEMPTS) return false;
    return error instanceof EngineNotReachedError ||
      error instanceof EngineRefusedError ||
      error instanceof EngineLostError ||
      (error instanceof RequestError && error.code === "no_upstream");
  };

  const toFailure = (error: unknown, state: RunState) => {
    if (error instanceof RequestError) return error;
    const lost = error instanceof EngineLostError ||
      error instanceof EngineNotReachedError ||
      error instanceof EngineRefusedError;
    if (!lost) return toRequestError(error);
    const executed = state.sent ? "unknown" : "no";
    return new RequestError("upstream_lost", { executed, cause: error });
  };

  return {
    async *run(request, context) {
      const state: RunState = {
        streamId: context.open.id,
        excluded: new Set(),
        attempt: 0,
        offset: 0,
        sent: false,
        send: undefined,
      };
      while (true) {
        state.attempt++;
        try {
          return yield* attemptOnce(request, { state, context });
        } catch (error) {
          if (context.signal.aborted) throw context.signal.reason;
          if (error instanceof EngineLostError) state.sent = true;
          if (!mayRetry(error, state)) throw toFailure(error, state);
          context.open.update({ state: "waiting" });
          await clock.sleep(NO_ENGINE_RETRY_MILLISECONDS, context.signal);
        }
      }
    },
  };
}
