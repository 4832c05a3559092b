import type { Milliseconds } from "../support/clock.ts";

/// Interface of an engine, independent of the transport.

/// A prompt with the properties that placement needs.
export interface Prompt {
  readonly text: string;
  /// Estimated length in tokens.
  readonly tokens: number;
  /// Chained hashes of its first blocks, for prefix caching.
  readonly blocks: readonly string[];
}

/// Cache of a span that an engine exports to other engines.
export interface CacheReference {
  readonly engine: string;
  readonly exportId: string;
  readonly tokens: number;
}

/// Parameters of an attempt to generate an answer.
export interface CompletionCall {
  /// Identifies the stream at the engine; unique over all VMs.
  readonly streamId: string;
  readonly attempt: number;
  readonly model: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /// Smaller is more urgent.
  readonly priority: number;
  /// Exported cache of the prompt's spans that come before `prompt`.
  readonly context: readonly CacheReference[];
  /// Id of the reservation that covers the memory.
  readonly reservation?: string;
}

/// Parameters for the prefill of a span, which generates no answer.
export type SpanCall = Omit<CompletionCall, "maximumTokens">;

/// Token counts of one finished answer.
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

export interface StreamEnd {
  readonly finishReason: "stop" | "length";
  readonly usage: Usage;
}

/// A part of an answer. An answer is complete only once a chunk has `end`.
export interface EngineChunk {
  readonly streamId: string;
  readonly attempt: number;
  /// Tokens of the answer before this chunk.
  readonly offset: number;
  readonly text: string;
  readonly tokens: number;
  readonly end?: StreamEnd;
}

export interface LoadReport {
  /// Age of the report when it was read from the engine.
  readonly age: Milliseconds;
  /// Uncached prompt tokens that are queued or being prefilled.
  readonly queuedTokens: number;
  readonly runningStreams: number;
  readonly freeTokens: number;
  readonly memoryTokens: number;
  readonly prefillTokensPerSecond: number;
  /// Time that each further decoding stream adds to a token.
  readonly decodeMilliseconds: Milliseconds;
  readonly model: string;
  readonly version: string;
}

/// Parameters of a reservation. Its owner chooses the id, so that it can be
/// released even if the engine's response was lost.
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

/// An order to change what an engine serves.
export interface EngineOrder {
  readonly kind: "load" | "unload" | "role";
  readonly model: string;
  readonly version: string;
  /// Fencing number; engines that check it refuse a number smaller than the
  /// largest one received.
  readonly fencing: number;
}

/// A change of an engine's prefix cache.
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}

export interface EngineClient {
  /// Starts a stream and yields its chunks up to its end.
  complete(
    call: CompletionCall,
    signal: AbortSignal,
  ): AsyncIterable<EngineChunk>;
  /// Resumes a running or recently finished stream at `offset` under a new
  /// attempt number; the engine disconnects readers with smaller numbers.
  resume(
    streamId: string,
    position: { offset: number; attempt: number },
    signal: AbortSignal,
  ): AsyncIterable<EngineChunk>;
  /// Ends a stream and frees its memory. Idempotent.
  cancel(streamId: string): Promise<void>;
  listStreams(): Promise<readonly ListedStream[]>;
  reserve(call: ReservationCall): Promise<void>;
  /// Renews the lease of a reservation. Refused once the lease has expired.
  renew(reservation: string, leaseMilliseconds: Milliseconds): Promise<void>;
  /// Frees a reservation. Idempotent.
  release(reservation: string): Promise<void>;
  /// Prefills a span and exports its cache to other engines.
  prefillSpan(call: SpanCall, signal: AbortSignal): Promise<CacheReference>;
  /// Frees exported cache. Idempotent.
  dropExport(exportId: string): Promise<void>;
  order(order: EngineOrder): Promise<void>;
  load(): Promise<LoadReport>;
  /// Reads the cache events after the sequence number `after`.
  cacheEvents(after: number): Promise<readonly CacheEvent[]>;
}

/// Why an engine was not reached.
export interface NotReachedOptions extends ErrorOptions {
  readonly hasEnded?: boolean;
}

/// No byte of the request reached the engine, so it was not executed.
export class EngineNotReachedError extends Error {
  override readonly name = "EngineNotReachedError";
  /// Whether the engine's VM responded that no process listens there.
  readonly hasEnded: boolean;
  constructor(message: string, options: NotReachedOptions = {}) {
    super(message, options);
    this.hasEnded = options.hasEnded ?? false;
  }
}

/// The engine replied that it did not start the request.
export class EngineRefusedError extends Error {
  override readonly name = "EngineRefusedError";
  readonly reason: string;
  constructor(reason: string) {
    super(`the engine refused the request: ${reason}`);
    this.reason = reason;
  }
}

/// The request failed after it was sent, so it may have been executed.
export class EngineLostError extends Error {
  override readonly name = "EngineLostError";
}
