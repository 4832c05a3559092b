import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import {
  type CacheReference,
  EngineRefusedError,
  type Prompt,
} from "../upstreams/engine_client.ts";
import type { EngineView } from "../upstreams/engine_directory.ts";
import { describePrompt } from "../upstreams/prompt_blocks.ts";
import type { CompletionRequest } from "./completion_run.ts";
import type { Deadline } from "./deadline.ts";
import { RequestError } from "./request_error.ts";

/// Prompts larger than one engine's memory: spans of the prompt are prefilled
/// one after the other on several engines, each reading the cache of the
/// spans before it.

/// Share of an engine's memory that spans may take.
const SPAN_MEMORY_SHARE = 0.9;
const RESERVATION_RETRY_MILLISECONDS = 250;

export interface SpanPrefillOptions {
  readonly clock: Clock;
  /// Usable engines of the model.
  readonly engines: readonly EngineView[];
  readonly streamId: string;
  readonly attempt: number;
  readonly deadline: Deadline;
  readonly signal: AbortSignal;
}

/// Everything before the last span is prefilled; the last one is to be sent
/// to `engine` as a completion.
export interface PrefilledSpans {
  readonly engine: EngineView;
  readonly prompt: Prompt;
  readonly context: readonly CacheReference[];
  readonly reservation: string;
  /// Frees all exports and reservations.
  release(): Promise<void>;
}

interface HeldReservation {
  readonly engine: EngineView;
  readonly id: string;
}

/// Cuts a prompt into spans of about the same size that fit `spanTokens`.
export function splitPrompt(prompt: Prompt, spanTokens: number): Prompt[] {
  const count = Math.ceil(prompt.tokens / spanTokens);
  const length = Math.ceil(prompt.text.length / count);
  const bytesPerToken = Buffer.byteLength(prompt.text) / prompt.tokens;
  return Array.from({ length: count }, (_, index) => {
    const text = prompt.text.slice(index * length, (index + 1) * length);
    return describePrompt(text, bytesPerToken);
  });
}

/// Engines with the most free memory, in the order of their names, so that
/// two requests never wait for each other's reservations.
function selectEngines(engines: readonly EngineView[], count: number) {
  return [...engines]
    .sort((left, right) =>
      (right.report?.freeTokens ?? 0) - (left.report?.freeTokens ?? 0)
    )
    .slice(0, count)
    .sort((left, right) => left.upstream.name < right.upstream.name ? -1 : 1);
}

async function releaseAll(reservations: readonly HeldReservation[]) {
  await Promise.allSettled(
    reservations.map(({ engine, id }) => engine.client.release(id)),
  );
}

/// Reserves memory on every engine or on none.
async function reserveAll(
  engines: readonly EngineView[],
  tokens: number,
  options: SpanPrefillOptions,
): Promise<HeldReservation[] | undefined> {
  const held: HeldReservation[] = [];
  try {
    for (const engine of engines) {
      const leaseMilliseconds = Math.ceil(options.deadline.remaining());
      const owner = options.streamId;
      const call = { owner, tokens, leaseMilliseconds };
      const id = await engine.client.reserve(call);
      held.push({ engine, id });
      options.signal.throwIfAborted();
    }
    return held;
  } catch (error) {
    await releaseAll(held);
    if (error instanceof EngineRefusedError) return undefined;
    throw error;
  }
}

/// Reserves memory and prefills all spans but the last. Throws
/// `RequestError` when no set of engines could hold the prompt.
export async function prefillSpans(
  request: CompletionRequest,
  options: SpanPrefillOptions,
): Promise<PrefilledSpans> {
  const memories = options.engines.map((engine) =>
    engine.report?.memoryTokens ?? 0
  );
  const smallest = Math.floor(Math.min(...memories) * SPAN_MEMORY_SHARE);
  const spans = splitPrompt(request.prompt, smallest - request.maximumTokens);
  if (spans.length > options.engines.length) {
    throw new RequestError("prompt_too_long");
  }
  const tokens = Math.max(...spans.map((span) => span.tokens)) +
    request.maximumTokens;
  let held: HeldReservation[] | undefined;
  while (!held) {
    const engines = selectEngines(options.engines, spans.length);
    held = await reserveAll(engines, tokens, options);
    if (held) break;
    await options.clock.sleep(RESERVATION_RETRY_MILLISECONDS, options.signal);
  }
  return await prefillHeld(request, { spans, held }, options);
}

async function prefillHeld(
  request: CompletionRequest,
  plan: { spans: readonly Prompt[]; held: readonly HeldReservation[] },
  options: SpanPrefillOptions,
): Promise<PrefilledSpans> {
  const { spans, held } = plan;
  const context: CacheReference[] = [];
  const startedSpans: { engine: EngineView; streamId: string }[] = [];
  const release = async () => {
    await Promise.allSettled(
      startedSpans.flatMap(({ engine, streamId }) => [
        engine.client.cancel(streamId),
        engine.client.dropExport(streamId),
      ]),
    );
    await releaseAll(held);
  };
  try {
    for (const [index, prompt] of spans.slice(0, -1).entries()) {
      const { engine, id } = held[index]!;
      const streamId = `${options.streamId}-span${index}`;
      startedSpans.push({ engine, streamId });
      const call = {
        streamId,
        attempt: options.attempt,
        model: request.model,
        prompt,
        priority: request.priority,
        context: [...context],
        reservation: id,
      };
      const prefilled = engine.client.prefillSpan(call, options.signal);
      context.push(await raceAbort(prefilled, options.signal));
    }
  } catch (error) {
    await release();
    throw error;
  }
  const last = held.at(-1)!;
  return {
    engine: last.engine,
    prompt: spans.at(-1)!,
    context,
    reservation: last.id,
    release,
  };
}
