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
  SendRecord,
} from "../upstreams/engine_directory.ts";
import type { EngineHoldings, Holding } from "../upstreams/engine_holdings.ts";
import { uncachedTokens } from "../upstreams/placement.ts";
import { checkedChunks } from "./checked_chunks.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import {
  CALLER_GRACE_MILLISECONDS,
  type ResumableRun,
} from "./resumable_stream.ts";
import { isAnswering, watchSilence } from "./idle_timeout.ts";
import { RequestError } from "./request_error.ts";
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
  /// Set for a long request with a key.
  readonly resumable: ResumableRun | undefined;
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
  /// Takes over the stream of an earlier try.
  resumeStream(
    engine: EngineView,
    streamId: string,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk>;
  runOverSpans(
    usable: readonly EngineView[],
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk>;
}

interface EngineStream {
  readonly engine: string;
  readonly client: EngineClient;
  readonly holding: Holding;
  /// Counts it at the engine.
  readonly send: SendRecord;
  /// Set if another try may take the stream over. One over several engines
  /// ends with its entry: nobody could take over the reservations.
  readonly resumable?: ResumableRun;
  /// Asks the engine for the stream's first part.
  readonly open: () => AsyncIterable<EngineChunk>;
}

export function createAttemptRunner(
  options: AttemptRunnerOptions,
): AttemptRunner {
  const { clock, engines, holdings } = options;

  /// Yields chunks until the end, the context's abort, or a stall. Silence is
  /// normal before the first token, as long as the engine answers.
  async function* deliver(
    source: AsyncIterable<EngineChunk>,
    { client, holding, send }: EngineStream,
    { state, context }: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { attempt, offset } = state;
    const streamId = holding.id;
    const checked = checkedChunks(source, { streamId, attempt, offset });
    const mayBeSilent = async () =>
      state.offset === offset && await isAnswering(client, clock);
    const watch = watchSilence({ clock, mayBeSilent });
    const signal = AbortSignal.any([context.signal, watch.signal]);
    try {
      for await (const chunk of untilAborted(checked, signal)) {
        watch.touch();
        const { firstTokenAt: seen } = context.open.record();
        if (seen === undefined && chunk.tokens > 0) {
          const firstTokenAt = clock.now();
          context.open.update({ state: "streaming", firstTokenAt });
          send.prefillEnded();
        }
        state.offset += chunk.tokens;
        yield chunk;
      }
    } finally {
      watch.stop();
    }
  }

  const resumption = (
    { client, holding }: Pick<EngineStream, "client" | "holding">,
    { state, context }: AttemptRuntime,
  ) => {
    const { offset, attempt } = state;
    return client.resume(holding.id, { offset, attempt }, context.signal);
  };

  /// Reads a stream to its end, resuming it where its connection is lost.
  async function* readStream(
    stream: EngineStream,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    let source = stream.open();
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
        source = resumption(stream, runtime);
      }
    }
  }

  /// Runs a stream and leaves nothing of it at the engine.
  async function* runStream(
    stream: EngineStream,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { holding, engine, resumable } = stream;
    const { state, context } = runtime;
    const { offset, mayHaveRun } = state;
    let isHeld = false;
    try {
      await raceAbort(holding.announced, context.signal);
      const placed = resumable?.recordPlacement(engine, holding.id);
      if (placed) await raceAbort(placed, context.signal);
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
      if (!isHeld) holding.end();
      else if (resumable) void resumable.leave(holding, reasonOf(context));
      else void holding.release({ mayStartLate });
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

  const holdStream = (engine: string, runtime: AttemptRuntime) => {
    const { resumable } = runtime.state;
    const given = resumable && { graceMilliseconds: CALLER_GRACE_MILLISECONDS };
    return holdings.hold(engine, "stream", nameOf(runtime), given);
  };

  const nameOf = ({ state }: AttemptRuntime) =>
    `${state.name}.${state.attempt}`;

  return {
    async *runOnEngine(engine, runtime) {
      const { client, upstream } = engine;
      const { name } = upstream;
      const { request } = runtime;
      const { prompt, priority, isLong } = request;
      const send = engines.recordSend(name, uncachedTokens(engine, prompt), {
        priority,
        isLong,
      });
      const holding = holdStream(name, runtime);
      const call = toCall(holding.id, runtime);
      const open = () => client.complete(call, runtime.context.signal);
      const { resumable } = runtime.state;
      const stream = { engine: name, client, holding, resumable, open, send };
      try {
        yield* runStream(stream, runtime);
      } finally {
        send.end();
      }
    },
    async *resumeStream({ client, upstream }, streamId, runtime) {
      const { name } = upstream;
      const send = engines.recordSend(name, 0);
      const graceMilliseconds = CALLER_GRACE_MILLISECONDS;
      const holding = holdings.adopt(name, streamId, { graceMilliseconds });
      const open = () => resumption({ client, holding }, runtime);
      const { resumable } = runtime.state;
      const stream = { engine: name, client, holding, resumable, open, send };
      try {
        yield* runStream(stream, runtime);
      } finally {
        send.end();
      }
    },
    async *runOverSpans(usable, runtime) {
      const name = nameOf(runtime);
      const { priority } = runtime.request;
      const spans = await prefillSpans(runtime.request, {
        clock,
        recordSend: (engine, tokens) =>
          engines.recordSend(engine, tokens, { priority, isLong: true }),
        holdings,
        engines: usable,
        name,
        attempt: runtime.state.attempt,
        onSend: () => void (runtime.state.mayHaveRun = true),
        signal: runtime.context.signal,
      });
      try {
        const { client, upstream } = spans.engine;
        const { prompt, context, reservation, send } = spans;
        const holding = holdings.hold(upstream.name, "stream", name);
        const { signal } = runtime.context;
        const call = {
          ...toCall(holding.id, runtime),
          prompt,
          context,
          reservation,
        };
        const open = () => client.complete(call, signal);
        const engine = upstream.name;
        yield* runStream({ engine, client, holding, open, send }, runtime);
      } finally {
        await spans.release();
      }
    },
  };
}

/// Why a stream is left before its end.
function reasonOf({ signal }: RunContext): "callerGone" | "failed" {
  const { reason } = signal;
  const isGone = reason instanceof RequestError &&
    reason.code === "caller_gone";
  return isGone ? "callerGone" : "failed";
}

function isCertainlyUnbegun(error: unknown): boolean {
  return error instanceof EngineNotReachedError ||
    error instanceof EngineRefusedError;
}
