import { raceAbort, untilAborted } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import {
  type CompletionCall,
  type EngineChunk,
  type EngineClient,
  EngineLostError,
  EngineNotReachedError,
  EngineRefusedError,
} from "../upstreams/engine_client.ts";
import type {
  EngineDirectory,
  EngineView,
} from "../upstreams/engine_directory.ts";
import type { EngineHoldings, Holding } from "../upstreams/engine_holdings.ts";
import { checkedChunks } from "./attempt.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import { prefillSpans } from "./span_prefill.ts";

/// One try of a completion at one engine, or at several for a prompt that no
/// engine can hold.

/// Attempts of one request, resumptions included.
export const MAXIMUM_ATTEMPTS = 4;

/// What a request has come to over all its attempts.
export interface RunState {
  readonly name: string;
  readonly excluded: Set<string>;
  attempt: number;
  /// Tokens of the answer that the caller has.
  offset: number;
  /// Whether an engine may have begun.
  sent: boolean;
}

export interface AttemptRuntime {
  readonly request: CompletionRequest;
  readonly state: RunState;
  readonly context: RunContext;
}

export interface AttemptRunnerOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
}

/// Both yield chunks that continue the answer, to its end. They throw the
/// errors of engines, or the reason of the context's signal.
export interface AttemptRunner {
  runOnEngine(
    engine: EngineView,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk>;
  runOverSpans(
    usable: readonly EngineView[],
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk>;
}

interface EngineStream {
  readonly client: EngineClient;
  readonly call: CompletionCall;
  readonly holding: Holding;
}

export function createAttemptRunner(
  options: AttemptRunnerOptions,
): AttemptRunner {
  const { clock, engines, holdings } = options;

  const canResume = (error: unknown, { state, context }: AttemptRuntime) =>
    error instanceof EngineLostError && state.offset > 0 &&
    state.attempt < MAXIMUM_ATTEMPTS && !context.signal.aborted;

  async function* deliver(
    source: AsyncIterable<EngineChunk>,
    streamId: string,
    { state, context }: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { attempt, offset } = state;
    const checked = checkedChunks(source, { streamId, attempt, offset });
    for await (const chunk of untilAborted(checked, context.signal)) {
      if (state.offset === 0 && chunk.tokens > 0) {
        context.open.update({ state: "streaming", firstTokenAt: clock.now() });
      }
      state.sent = true;
      state.offset += chunk.tokens;
      yield chunk;
    }
  }

  /// Reads a stream to its end, resuming it where its connection is lost.
  async function* readStream(
    { client, call }: EngineStream,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const { streamId } = call;
    let source = client.complete(call, context.signal);
    while (true) {
      try {
        return yield* deliver(source, streamId, runtime);
      } catch (error) {
        if (!canResume(error, runtime)) throw error;
        state.attempt++;
        context.open.update({ attempt: state.attempt });
        const { offset, attempt } = state;
        const position = { offset, attempt };
        source = client.resume(streamId, position, context.signal);
      }
    }
  }

  /// Runs a stream and leaves nothing of it at the engine.
  async function* runStream(
    stream: EngineStream,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { holding } = stream;
    const { state } = runtime;
    const offset = state.offset;
    let asked = false;
    let mayRun = true;
    try {
      await raceAbort(holding.announced, runtime.context.signal);
      asked = true;
      yield* readStream(stream, runtime);
      mayRun = false;
    } catch (error) {
      mayRun = !(state.offset === offset && isCertainlyUnbegun(error));
      throw error;
    } finally {
      const mayStartLate = state.offset === offset;
      if (asked && mayRun) holding.release({ mayStartLate });
      else holding.end();
    }
  }

  const toCall = (
    streamId: string,
    { request, state }: AttemptRuntime,
  ): CompletionCall => ({
    streamId,
    attempt: state.attempt,
    model: request.model,
    prompt: request.prompt,
    maximumTokens: request.maximumTokens,
    priority: request.priority,
    context: [],
  });

  const nameOf = ({ state }: AttemptRuntime) =>
    `${state.name}.${state.attempt}`;

  return {
    async *runOnEngine({ client, upstream }, runtime) {
      const { name } = upstream;
      const send = engines.recordSend(name, runtime.request.prompt.tokens);
      const holding = holdings.hold(name, "stream", nameOf(runtime));
      const call = toCall(holding.id, runtime);
      try {
        yield* runStream({ client, call, holding }, runtime);
      } finally {
        send.end();
      }
    },
    async *runOverSpans(usable, runtime) {
      const name = nameOf(runtime);
      const spans = await prefillSpans(runtime.request, {
        clock,
        holdings,
        engines: usable,
        name,
        attempt: runtime.state.attempt,
        signal: runtime.context.signal,
      });
      try {
        const { client, upstream } = spans.engine;
        const { prompt, context, reservation } = spans;
        const holding = holdings.hold(upstream.name, "stream", name);
        const call = {
          ...toCall(holding.id, runtime),
          prompt,
          context,
          reservation,
        };
        yield* runStream({ client, call, holding }, runtime);
      } finally {
        await spans.release();
      }
    },
  };
}

function isCertainlyUnbegun(error: unknown): boolean {
  return error instanceof EngineNotReachedError ||
    error instanceof EngineRefusedError;
}
