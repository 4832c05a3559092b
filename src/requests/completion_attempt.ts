import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import {
  type CompletionCall,
  type EngineChunk,
  EngineNotReachedError,
  EngineRefusedError,
} from "../upstreams/engine_client.ts";
import type {
  EngineDirectory,
  EngineView,
} from "../upstreams/engine_directory.ts";
import type { EngineHoldings } from "../upstreams/engine_holdings.ts";
import { uncachedTokens } from "../upstreams/placement.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import {
  CALLER_GRACE_MILLISECONDS,
  type ResumableRun,
} from "./resumable_stream.ts";
import {
  type EngineStream,
  readStream,
  requestResumption,
} from "./engine_stream.ts";
import { type ProblemCode, RequestError } from "./request_error.ts";
import { prefillSpans } from "./span_prefill.ts";

/// One attempt at a completion, at one engine, or at several for a prompt that
/// doesn't fit into the memory of one.

/// Reasons of the end of requests whose callers may reconnect with their key.
const CODES_OF_LOST_CONNECTIONS: ReadonlySet<ProblemCode> = new Set([
  "caller_gone",
  "draining",
]);

/// Progress of a request over all its attempts.
export interface RequestProgress {
  readonly requestId: string;
  /// Engines at which an attempt has failed.
  readonly excludedEngines: Set<string>;
  /// Number of the attempt; each resumption of a stream takes a new one.
  attempt: number;
  /// Tokens of the answer that the caller has received.
  offset: number;
  /// Whether an engine may have started to execute the request.
  mayHaveRun: boolean;
  /// Set for a long request with an idempotency key.
  readonly resumable: ResumableRun | undefined;
}

/// What all attempts of a request use: its parameters, progress and limits.
export interface AttemptRuntime {
  readonly request: CompletionRequest;
  readonly state: RequestProgress;
  readonly context: RunContext;
  /// Takes the retry that may replace the attempt. Returns false if there is
  /// none.
  takeRetry(): boolean;
}

export interface AttemptRunnerOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
}

/// All methods yield the chunks that continue the answer, to its end. They
/// throw the errors of the engine client, or the abort reason of the context's
/// signal.
export interface AttemptRunner {
  runOnEngine(
    engine: EngineView,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk>;
  /// Resumes the stream of an earlier attempt.
  resumeStream(
    engine: EngineView,
    streamId: string,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk>;
  runOverSpans(runtime: AttemptRuntime): AsyncIterable<EngineChunk>;
}

export function createAttemptRunner(
  options: AttemptRunnerOptions,
): AttemptRunner {
  const { clock, engines, holdings } = options;

  /// Runs a stream, then releases what the engine still holds of it. An
  /// unfinished stream that is resumable may be left to a later attempt.
  async function* runStream(
    stream: EngineStream,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { holding, engine, resumable } = stream;
    const { state, context } = runtime;
    const { offset, mayHaveRun } = state;
    let needsRelease = false;
    try {
      await raceAbort(holding.announced, context.signal);
      const placed = resumable?.recordPlacement(engine, holding.id);
      if (placed) await raceAbort(placed, context.signal);
      needsRelease = true;
      state.mayHaveRun = true;
      yield* readStream(stream, runtime, clock);
      needsRelease = false;
    } catch (error) {
      if (isCertainlyNotStarted(error)) {
        needsRelease = false;
        state.mayHaveRun = mayHaveRun;
      }
      throw error;
    } finally {
      const mayStartLate = state.offset === offset;
      if (!needsRelease) holding.end();
      else if (resumable) void resumable.leave(holding, stopReasonOf(context));
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
    const holdOptions = resumable &&
      { graceMilliseconds: CALLER_GRACE_MILLISECONDS };
    return holdings.hold(engine, "stream", attemptNameOf(runtime), holdOptions);
  };

  const attemptNameOf = ({ state }: AttemptRuntime) =>
    `${state.requestId}.${state.attempt}`;

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
      const isStarted = false;
      const stream = {
        engine: name,
        client,
        holding,
        resumable,
        isStarted,
        open,
        send,
      };
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
      const open = () => requestResumption({ client, holding }, runtime);
      const { resumable } = runtime.state;
      const isStarted = true;
      const stream = {
        engine: name,
        client,
        holding,
        resumable,
        isStarted,
        open,
        send,
      };
      try {
        yield* runStream(stream, runtime);
      } finally {
        send.end();
      }
    },
    async *runOverSpans(runtime) {
      const name = attemptNameOf(runtime);
      const { model, version, priority } = runtime.request;
      const spans = await prefillSpans(runtime.request, {
        clock,
        recordSend: (engine, tokens) =>
          engines.recordSend(engine, tokens, { priority, isLong: true }),
        holdings,
        engines: () => engines.enginesOf(model, version),
        attemptName: name,
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
        const isStarted = false;
        yield* runStream(
          { engine, client, holding, isStarted, open, send },
          runtime,
        );
      } finally {
        await spans.release();
      }
    },
  };
}

/// Why a stream is abandoned before its end.
function stopReasonOf({ signal }: RunContext): "callerGone" | "failed" {
  const { reason } = signal;
  const mayReconnect = reason instanceof RequestError &&
    CODES_OF_LOST_CONNECTIONS.has(reason.code);
  return mayReconnect ? "callerGone" : "failed";
}

function isCertainlyNotStarted(error: unknown): boolean {
  return error instanceof EngineNotReachedError ||
    error instanceof EngineRefusedError;
}
