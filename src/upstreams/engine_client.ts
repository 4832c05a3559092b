import type { Milliseconds } from "../support/clock.ts";

/// What an engine offers, independent of how it is reached.

/// A prompt as engines and placement see it.
export interface Prompt {
  readonly text: string;
  /// Estimated length in tokens.
  readonly tokens: number;
  /// Chained hashes of its first blocks, for prefix caching.
  readonly blocks: readonly string[];
}

/// Cache that an engine holds for another to read.
export interface CacheReference {
  readonly engine: string;
  readonly exportId: string;
  readonly tokens: number;
}

/// A try at generating an answer.
export interface CompletionCall {
  /// Names the stream at the engine; unique over all VMs.
  readonly streamId: string;
  readonly attempt: number;
  readonly model: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /// Smaller is more urgent.
  readonly priority: number;
  /// Cache of the spans of the prompt that come before `prompt`.
  readonly context: readonly CacheReference[];
  /// Reservation that pays for the memory.
  readonly reservation?: string;
}

/// A span of a prompt that is only prefilled.
export type SpanCall = Omit<CompletionCall, "maximumTokens">;

/// Counts of one finished answer, in tokens.
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

export interface StreamEnd {
  readonly finishReason: "stop" | "length";
  readonly usage: Usage;
}

/// A piece of an answer. An answer is complete only with `end`.
export interface EngineChunk {
  readonly streamId: string;
  readonly attempt: number;
  /// Tokens of the answer before this piece.
  readonly offset: number;
  readonly text: string;
  readonly tokens: number;
  readonly end?: StreamEnd;
}

export interface LoadReport {
  /// Age of the report when it was read.
  readonly age: Milliseconds;
  /// Uncached prompt tokens that wait or are being prefilled.
  readonly queuedTokens: number;
  readonly runningStreams: number;
  readonly freeTokens: number;
  readonly memoryTokens: number;
  readonly prefillTokensPerSecond: number;
  /// Time one more decoding stream adds to each token.
  readonly decodeMilliseconds: Milliseconds;
  readonly model: string;
  readonly version: string;
}

/// A reservation under an id that its owner chooses, so that it can be
/// released although the answer was lost.
export interface ReservationCall {
  readonly id: string;
  readonly owner: string;
  readonly tokens: number;
  readonly leaseMilliseconds: Milliseconds;
}

export interface ListedStream {
  readonly streamId: string;
  readonly attempt: number;
  readonly tokens: number;
}

/// A command to change what an engine serves.
export interface EngineOrder {
  readonly kind: "load" | "unload" | "role";
  readonly model: string;
  readonly version: string;
  /// Engines that check it refuse a number smaller than the largest seen.
  readonly fencing: number;
}

/// Change of an engine's prefix cache.
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}

export interface EngineClient {
  /// Starts a stream and yields it to its end.
  complete(
    call: CompletionCall,
    signal: AbortSignal,
  ): AsyncIterable<EngineChunk>;
  /// Yields a running or just finished stream from `offset` on, under a new
  /// attempt number; readers with smaller numbers are cut off.
  resume(
    streamId: string,
    position: { offset: number; attempt: number },
    signal: AbortSignal,
  ): AsyncIterable<EngineChunk>;
  /// Ends a stream and frees its memory. Cancelling twice is harmless.
  cancel(streamId: string): Promise<void>;
  listStreams(): Promise<readonly ListedStream[]>;
  reserve(call: ReservationCall): Promise<void>;
  /// Sets the lease of a reservation anew. Refused when it has lapsed.
  renew(reservation: string, leaseMilliseconds: Milliseconds): Promise<void>;
  /// Frees a reservation. Releasing twice is harmless.
  release(reservation: string): Promise<void>;
  /// Prefills a span and keeps its cache for other engines to read.
  prefillSpan(call: SpanCall, signal: AbortSignal): Promise<CacheReference>;
  /// Frees exported cache. Dropping twice is harmless.
  dropExport(exportId: string): Promise<void>;
  order(order: EngineOrder): Promise<void>;
  load(): Promise<LoadReport>;
  cacheEvents(after: number): Promise<readonly CacheEvent[]>;
}

/// No byte of the request reached the engine: it certainly did not run.
export class EngineNotReachedError extends Error {
  override readonly name = "EngineNotReachedError";
}

/// The engine answered that it did not begin.
export class EngineRefusedError extends Error {
  override readonly name = "EngineRefusedError";
  readonly reason: string;
  constructor(reason: string) {
    super(`the engine refused: ${reason}`);
    this.reason = reason;
  }
}

/// The engine was lost after the request went out.
export class EngineLostError extends Error {
  override readonly name = "EngineLostError";
}
