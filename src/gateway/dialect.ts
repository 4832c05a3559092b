import type { Milliseconds } from "../support/clock.ts";
import type { Configuration } from "./configuration.ts";
import type { HeaderFields } from "./exchange.ts";
import type { Upstream } from "./upstream.ts";

/// How requests and answers say what the gateway has to know. The adapter of
/// a platform implements it; the gateway knows no header of its own.

/// What a caller says of its request.
export interface CallerRequestMetadata {
  /// Names this attempt of the caller.
  readonly attemptId: string | undefined;
  /// How long the caller waits; undefined if it doesn't say.
  readonly callerTimeout: Milliseconds | undefined;
  readonly key: string | undefined;
  readonly promptTokens: number;
  /// At most.
  readonly outputTokens: number;
}

/// What the gateway adds to a request.
export interface UpstreamInstructions {
  readonly upstream: Upstream;
  /// Time left for the answer.
  readonly remaining: Milliseconds;
  readonly customer: string | undefined;
  /// Whether the caller's key has to be taken out.
  readonly removesCallerKey: boolean;
  /// 0 is the most urgent of 0 to 9; undefined leaves it to the upstream.
  readonly priority: number | undefined;
  /// The event behind which a stream is to go on.
  readonly resumeAfterEventId: string | undefined;
  /// Engines that read a part of the prompt, with the reservation that holds
  /// its memory there.
  readonly helpers: readonly HelperEngine[];
}

export interface HelperEngine {
  readonly address: string;
  readonly reservation?: string;
}

/// What an answer of an upstream says.
export interface UpstreamResponseMetadata {
  /// The upstream states that it has not run the request.
  readonly wasNotExecuted: boolean;
  /// Another process has the address now.
  readonly isWrongUpstream: boolean;
  /// The answer carries the upstream's own mark and belongs to this attempt.
  readonly isAuthentic: boolean;
  /// The answer belongs to another request.
  readonly isForOtherRequest: boolean;
  /// Address of the engine at fault, if it is another one.
  readonly faultAddress: string | undefined;
}

export interface GatewayDialect {
  parseCallerHeaders(headers: HeaderFields): CallerRequestMetadata;
  /// The header list of the request to an upstream, from that of the caller.
  buildUpstreamHeaders(
    callerHeaders: readonly string[],
    instructions: UpstreamInstructions,
  ): string[];
  parseUpstreamResponse(
    status: number,
    headers: HeaderFields,
    attemptId: string | undefined,
  ): UpstreamResponseMetadata;
  /// Header fields of an upstream's answer that the caller gets.
  buildCallerHeaders(headers: HeaderFields): [string, string | string[]][];
}

/// Memory that engines set aside for a prompt.
export interface ReservationClient {
  /// Resolves to whether the memory was set aside.
  reserve(upstream: Upstream, reservation: {
    readonly id: string;
    readonly tokens: number;
    readonly leaseDuration: Milliseconds;
  }): Promise<boolean>;
  release(upstream: Upstream, id: string): Promise<void>;
}

/// Reads what the platform's store holds.
export interface FleetDocuments {
  /// Key of the configuration.
  readonly configurationKey: string;
  /// Prefix of the upstreams' entries.
  readonly upstreamPrefix: string;
  /// Throws if it is no configuration.
  parseConfiguration(bytes: Uint8Array): Configuration;
  /// Undefined if the entry names no upstream that can be used.
  parseUpstream(key: string, bytes: Uint8Array): Upstream | undefined;
}
