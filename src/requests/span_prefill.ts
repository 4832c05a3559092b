import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import {
  type CacheReference,
  EngineLostError,
  EngineNotReachedError,
  EngineRefusedError,
  type Prompt,
} from "../upstreams/engine_client.ts";
import type { EngineView, SendRecord } from "../upstreams/engine_directory.ts";
import type { EngineHoldings, Holding } from "../upstreams/engine_holdings.ts";
import { describePrompt } from "../upstreams/prompt_blocks.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { type EngineReservation, reserveMemory } from "./engine_reservation.ts";
import { RequestError } from "./request_error.ts";

/// Prompts larger than one engine's memory: spans of the prompt are prefilled
/// one after the other on several engines, each reading the cache of the
/// spans before it.

/// Share of an engine's memory that spans may take.
const SPAN_MEMORY_SHARE = 0.9;
const RESERVATION_RETRY_MILLISECONDS = 250;
/// Time that the end of a request waits for its memory to be freed.
const RELEASE_WAIT_MILLISECONDS = 200;

export interface SpanPrefillOptions {
  readonly clock: Clock;
  readonly holdings: EngineHoldings;
  /// Usable engines of the model.
  readonly engines: readonly EngineView[];
  /// Names the try; unique on this VM.
  readonly name: string;
  readonly attempt: number;
  /// Counts a span at its engine.
  readonly recordSend: (engine: string, tokens: number) => SendRecord;
  /// Called before a part of the prompt goes out.
  readonly onSend: () => void;
  readonly signal: AbortSignal;
}

/// Everything before the last span is prefilled; the last one is to be sent
/// to `engine` as a completion.
export interface PrefilledSpans {
  readonly engine: EngineView;
  readonly prompt: Prompt;
  readonly context: readonly CacheReference[];
  readonly reservation: string;
  /// Counts the last span at its engine.
  readonly send: SendRecord;
  /// Frees all exports and reservations in the background. Resolves when the
  /// engines have confirmed, or after a short time.
  release(): Promise<void>;
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

/// Reserves memory on every engine or on none. Undefined when an engine
/// refused or did not answer.
async function reserveAll(
  engines: readonly EngineView[],
  plan: { tokens: number; round: number },
  options: SpanPrefillOptions,
): Promise<EngineReservation[] | undefined> {
  const held: EngineReservation[] = [];
  const { clock, holdings, signal } = options;
  const { tokens, round } = plan;
  try {
    for (const [index, engine] of engines.entries()) {
      const name = `${options.name}.round${round}.${index}`;
      const given = { clock, holdings, name, tokens, signal };
      held.push(await reserveMemory(engine, given));
    }
    return held;
  } catch (error) {
    held.forEach((reservation) => reservation.release());
    if (!signal.aborted && isEngineError(error)) return undefined;
    throw error;
  }
}

function isEngineError(error: unknown): boolean {
  return error instanceof EngineRefusedError ||
    error instanceof EngineNotReachedError ||
    error instanceof EngineLostError;
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
  let held: EngineReservation[] | undefined;
  for (let round = 1; !held; round++) {
    const engines = selectEngines(options.engines, spans.length);
    held = await reserveAll(engines, { tokens, round }, options);
    if (held) break;
    await options.clock.sleep(RESERVATION_RETRY_MILLISECONDS, options.signal);
  }
  return await prefillHeld(request, { spans, held }, options);
}

async function prefillHeld(
  request: CompletionRequest,
  plan: {
    spans: readonly Prompt[];
    held: readonly EngineReservation[];
  },
  options: SpanPrefillOptions,
): Promise<PrefilledSpans> {
  const { spans, held } = plan;
  const { signal } = options;
  const context: CacheReference[] = [];
  const prefilled: Holding[] = [];
  const sends = held.map(({ engine }, index) =>
    options.recordSend(engine.upstream.name, spans[index]!.tokens)
  );
  const release = async () => {
    sends.forEach((send) => send.end());
    const released = Promise.all([
      ...prefilled.map((span) => span.release()),
      ...held.map((reservation) => reservation.release()),
    ]);
    const limit = options.clock.sleep(RELEASE_WAIT_MILLISECONDS);
    await Promise.race([released, limit]);
  };
  try {
    for (const [index, prompt] of spans.slice(0, -1).entries()) {
      const { engine, id: reservation } = held[index]!;
      const name = `${options.name}.span${index}`;
      const span = options.holdings.hold(engine.upstream.name, "span", name);
      const call = {
        streamId: span.id,
        attempt: options.attempt,
        model: request.model,
        prompt,
        priority: request.priority,
        context: [...context],
        reservation,
      };
      try {
        await raceAbort(span.announced, signal);
        options.onSend();
        const prefill = engine.client.prefillSpan(call, signal);
        context.push(await raceAbort(prefill, signal));
        prefilled.push(span);
        sends[index]!.prefillEnded();
      } catch (error) {
        span.release({ mayStartLate: true });
        throw error;
      }
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
    send: sends.at(-1)!,
    release,
  };
}
