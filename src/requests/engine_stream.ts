import { untilAborted } from "../support/abort.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  type EngineChunk,
  type EngineClient,
  EngineLostError,
  EngineNotReachedError,
} from "../upstreams/engine_client.ts";
import type { SendRecord } from "../upstreams/engine_directory.ts";
import type { Holding } from "../upstreams/engine_holdings.ts";
import { checkedChunks } from "./checked_chunks.ts";
import type { AttemptRuntime } from "./completion_attempt.ts";
import { isResponsive, startIdleTimeout } from "./idle_timeout.ts";
import type { ResumableRun } from "./resumable_stream.ts";

/// Reads the stream of one attempt. When its connection is lost, the stream is
/// resumed at the same engine, which may not be reached for a few seconds.

/// Delays before the resumptions of a stream that has made no progress since the
/// first of them. It is given up after the last one.
const RESUMPTION_DELAYS_MILLISECONDS: readonly Milliseconds[] = [
  0,
  500,
  1_000,
  2_000,
];

/// A stream of an engine, as an attempt uses it.
export interface EngineStream {
  readonly engine: string;
  readonly client: EngineClient;
  readonly holding: Holding;
  /// Counts the stream as outstanding work of the engine.
  readonly send: SendRecord;
  /// Set if a later attempt may take over the stream. A stream over several
  /// engines ends when its VM fails, because no other VM could take over the
  /// reservations.
  readonly resumable?: ResumableRun;
  /// Whether an earlier attempt started the stream.
  readonly isStarted: boolean;
  /// Starts the stream at the engine, or resumes an earlier attempt's stream.
  readonly open: () => AsyncIterable<EngineChunk>;
}

/// Requests the rest of a stream, from what the caller has received on.
export function requestResumption(
  { client, holding }: Pick<EngineStream, "client" | "holding">,
  { state, context }: AttemptRuntime,
): AsyncIterable<EngineChunk> {
  const { offset, attempt } = state;
  return client.resume(holding.id, { offset, attempt }, context.signal);
}

/// Yields chunks until the stream ends, the context aborts or the idle timeout
/// expires. Inactivity is expected before the first token, as long as the
/// engine responds to probes.
async function* monitorStream(
  source: AsyncIterable<EngineChunk>,
  { client, holding, send }: EngineStream,
  { runtime: { state, context }, clock }: {
    runtime: AttemptRuntime;
    clock: Clock;
  },
): AsyncIterable<EngineChunk> {
  const { attempt, offset } = state;
  const streamId = holding.id;
  const checked = checkedChunks(source, { streamId, attempt, offset });
  const isIdleExpected = async () =>
    state.offset === offset && await isResponsive(client, clock);
  const idleTimeout = startIdleTimeout({ clock, isIdleExpected });
  const signal = AbortSignal.any([context.signal, idleTimeout.signal]);
  try {
    for await (const chunk of untilAborted(checked, signal)) {
      idleTimeout.recordChunk();
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
    idleTimeout.stop();
  }
}

/// Reads a stream to its end, resuming it when its connection is lost. It is
/// given up once the engine responds that it has ended, after several
/// resumptions without progress, or, before its first token, if another attempt
/// may replace it. Throws the errors of the engine client.
export async function* readStream(
  stream: EngineStream,
  runtime: AttemptRuntime,
  clock: Clock,
): AsyncIterable<EngineChunk> {
  const { state, context } = runtime;
  let source = stream.open();
  let { isStarted } = stream;
  let lost: EngineLostError | undefined;
  let { offset } = state;
  let resumptions = 0;
  while (true) {
    try {
      return yield* monitorStream(source, stream, { runtime, clock });
    } catch (error) {
      if (context.signal.aborted) throw error;
      if (error instanceof EngineLostError) {
        lost = error;
        isStarted = true;
      } else if (!isStarted || !mayRunUnreached(error)) throw lost ?? error;
      else lost ??= new EngineLostError(error.message, { cause: error });
    }
    if (state.offset > offset) resumptions = 0;
    offset = state.offset;
    const delay = RESUMPTION_DELAYS_MILLISECONDS[resumptions++];
    if (delay === undefined) throw lost;
    if (delay > 0) {
      if (offset === 0 && runtime.takeRetry()) throw lost;
      await clock.sleep(delay, context.signal);
    }
    state.attempt++;
    context.open.update({ attempt: state.attempt });
    source = requestResumption(stream, runtime);
  }
}

/// Whether the engine may still run a stream, although it wasn't reached.
function mayRunUnreached(error: unknown): error is EngineNotReachedError {
  return error instanceof EngineNotReachedError && !error.hasEnded;
}
