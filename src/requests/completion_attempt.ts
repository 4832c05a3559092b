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
import { isAnswering, watchSilence } from "./silence_watch.ts";
import { prefillSpans } from "./span_prefill.ts";

/// One try of a completion at one engine, or at several for a prompt that no
/// engine can hold.

/// Resumptions of one stream.
const MAXIMUM_RESUMPTIONS = 4;

/// What a request has come to over all its attempts.
export interface RunState {
  readonly name: string;
  /// Engines that have failed the request.
  readonly excluded: Set<string>;
  attempt: number;
  /// Tokens of the answer that the caller has.
  offset: number;
  /// Whether an engine may have begun.
  mayHaveRun: boolean;
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

  /// Yields chunks until the end, the context's abort, or a stall. Silence is
  /// normal before the first token, as long as the engine answers.
  async function* deliver(
    source: AsyncIterable<EngineChunk>,
    { client, call: { streamId } }: EngineStream,
    { state, context }: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { attempt, offset } = state;
    const checked = checkedChunks(source, { streamId, attempt, offset });
    const mayBeSilent = async () =>
      state.offset === 0 && await isAnswering(client, clock);
    const watch = watchSilence({ clock, mayBeSilent });
    const signal = AbortSignal.any([context.signal, watch.signal]);
    try {
      for await (const chunk of untilAborted(checked, signal)) {
        watch.touch();
        if (state.offset === 0 && chunk.tokens > 0) {
          const firstTokenAt = clock.now();
          context.open.update({ state: "streaming", firstTokenAt });
        }
        state.offset += chunk.tokens;
        yield chunk;
      }
    } finally {
      watch.stop();
    }
  }

  /// Reads a stream to its end, resuming it where its connection is lost.
  async function* readStream(
    stream: EngineStream,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { client, call } = stream;
    const { state, context } = runtime;
    const { streamId } = call;
    let source = client.complete(call, context.signal);
    let lost: EngineLostError | undefined;
    for (let resumed = 0;; resumed++) {
      try {
        return yield* deliver(source, stream, runtime);
      } catch (error) {
        if (context.signal.aborted) throw error;
        if (!(error instanceof EngineLostError)) throw lost ?? error;
        lost = error;
        if (resumed === MAXIMUM_RESUMPTIONS) throw error;
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
    const { offset, mayHaveRun } = state;
    let isHeld = false;
    try {
      await raceAbort(holding.announced, runtime.context.signal);
      isHeld = true;
      state.mayHaveRun = true;
      yield* readStream(stream, runtime);
      isHeld = false;
    } catch (error) {
      if (isCertainlyUnbegun(error)) {
        isHeld = false;
        state.mayHaveRun = mayHaveRun;
      }
      throw error;
    } finally {
      const mayStartLate = state.offset === offset;
      if (isHeld) holding.release({ mayStartLate });
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
        onSend: () => void (runtime.state.mayHaveRun = true),
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
