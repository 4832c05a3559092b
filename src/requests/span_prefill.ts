import { raceAbort } from "../support/abort.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
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

/// Prefill of prompts larger than one engine's memory: several engines prefill
/// spans of the prompt one after the other, each using the cache of the spans
/// before its own.

/// Share of an engine's memory that a span and the request's output may take.
const SPAN_MEMORY_RATIO = 0.9;
const RESERVATION_RETRY_DELAY_MILLISECONDS = 250;
/// Time for which a prompt waits while too few engines can be used.
const LACK_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
/// Maximum time for which the end of a request waits until its memory is freed.
const RELEASE_TIMEOUT_MILLISECONDS = 200;

export interface SpanPrefillOptions {
  readonly clock: Clock;
  readonly holdings: EngineHoldings;
  /// Returns the engines of the model version, usable or not.
  readonly engines: () => readonly EngineView[];
  /// Name of the attempt, unique on this VM.
  readonly attemptName: string;
  /// Number of the attempt; each resumption of a stream takes a new one.
  readonly attempt: number;
  /// Counts a span as outstanding work of its engine.
  readonly recordSend: (engine: string, tokens: number) => SendRecord;
  /// Called before a span is sent.
  readonly onSend: () => void;
  readonly signal: AbortSignal;
}

/// Result of prefilling all spans but the last, which has to be sent to
/// `engine` as a completion.
export interface PrefilledSpans {
  readonly engine: EngineView;
  readonly prompt: Prompt;
  readonly context: readonly CacheReference[];
  readonly reservation: string;
  /// Counts the last span as outstanding work of its engine.
  readonly send: SendRecord;
  /// Frees all exports and reservations in the background. Resolves when the
  /// engines have confirmed, or after a timeout.
  release(): Promise<void>;
}

/// Splits a prompt into spans of about equal size that fit `spanTokens`.
export function splitPrompt(prompt: Prompt, spanTokens: number): Prompt[] {
  const count = Math.ceil(prompt.tokens / spanTokens);
  const length = Math.ceil(prompt.text.length / count);
  const bytesPerToken = Buffer.byteLength(prompt.text) / prompt.tokens;
  return Array.from({ length: count }, (_, index) => {
    const text = prompt.text.slice(index * length, (index + 1) * length);
    return describePrompt(text, bytesPerToken);
  });
}

/// The engines with the most free memory, sorted by name. All requests reserve
/// in this order, so that no two of them wait for each other's reservations.
function selectEngines(engines: readonly EngineView[], count: number) {
  return [...engines]
    .sort((left, right) =>
      (right.report?.freeTokens ?? 0) - (left.report?.freeTokens ?? 0)
    )
    .slice(0, count)
    .sort((left, right) => left.upstream.name < right.upstream.name ? -1 : 1);
}

/// Reserves memory on every engine or on none. Resolves to undefined when an
/// engine refused, did not answer or was not reached.
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
      const name = `${options.attemptName}.round${round}.${index}`;
      const reserveOptions = { clock, holdings, name, tokens, signal };
      held.push(await reserveMemory(engine, reserveOptions));
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

const memoryTokensOf = (engine: EngineView) => engine.report?.memoryTokens ?? 0;

/// Splits the prompt among the engines. Engines that can't be used now count too,
/// since an engine that doesn't respond for a moment is soon used again. Throws
/// `RequestError` when they can't hold the prompt.
function planSpans(
  { prompt, maximumTokens }: CompletionRequest,
  engines: readonly EngineView[],
): readonly Prompt[] {
  const known = engines.filter(({ report }) => report !== undefined);
  const capacity = Math.floor(
    Math.min(...known.map(memoryTokensOf)) * SPAN_MEMORY_RATIO,
  );
  const spans = splitPrompt(prompt, capacity - maximumTokens);
  if (spans.length > known.length) throw new RequestError("prompt_too_long");
  return spans;
}

/// Reserves memory and prefills all spans but the last. Throws `RequestError`
/// when the engines together can't hold the prompt, or too few can be used for
/// some time.
export async function prefillSpans(
  request: CompletionRequest,
  options: SpanPrefillOptions,
): Promise<PrefilledSpans> {
  const { clock, signal } = options;
  const spans = planSpans(request, options.engines());
  const tokens = Math.max(...spans.map((span) => span.tokens)) +
    request.maximumTokens;
  let lackingSince: Milliseconds | undefined;
  for (let round = 1;; round++) {
    const usable = options.engines().filter((engine) =>
      engine.usable && memoryTokensOf(engine) >= tokens
    );
    if (usable.length >= spans.length) {
      lackingSince = undefined;
      const engines = selectEngines(usable, spans.length);
      const held = await reserveAll(engines, { tokens, round }, options);
      if (held) return await prefillReserved(request, { spans, held }, options);
    } else {
      lackingSince ??= clock.now();
      if (clock.now() - lackingSince >= LACK_TIMEOUT_MILLISECONDS) {
        throw new RequestError("no_upstream", { retryAfterSeconds: 1 });
      }
    }
    await clock.sleep(RESERVATION_RETRY_DELAY_MILLISECONDS, signal);
  }
}

async function prefillReserved(
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
  const spanHoldings: Holding[] = [];
  const sends = held.map(({ engine }, index) =>
    options.recordSend(engine.upstream.name, spans[index]!.tokens)
  );
  const release = async () => {
    sends.forEach((send) => send.end());
    const released = Promise.all([
      ...spanHoldings.map((holding) => holding.release()),
      ...held.map((reservation) => reservation.release()),
    ]);
    const timeout = options.clock.sleep(RELEASE_TIMEOUT_MILLISECONDS);
    await Promise.race([released, timeout]);
  };
  try {
    for (const [index, prompt] of spans.slice(0, -1).entries()) {
      const { engine, id: reservation } = held[index]!;
      const name = `${options.attemptName}.span${index}`;
      const holding = options.holdings.hold(engine.upstream.name, "span", name);
      const call = {
        streamId: holding.id,
        attempt: options.attempt,
        model: request.model,
        prompt,
        priority: request.priority,
        context: [...context],
        reservation,
      };
      try {
        await raceAbort(holding.announced, signal);
        options.onSend();
        const prefill = engine.client.prefillSpan(call, signal);
        context.push(await raceAbort(prefill, signal));
        spanHoldings.push(holding);
        sends[index]!.prefillEnded();
      } catch (error) {
        holding.release({ mayStartLate: true });
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
