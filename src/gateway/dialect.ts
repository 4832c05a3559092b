import type { Dispatcher } from "undici";
import type { Milliseconds } from "../support/clock.ts";
import type { Configuration } from "./configuration.ts";
import type { HeaderFields } from "./exchange.ts";
import type { Upstream } from "./upstream.ts";

/// Interfaces that a platform's adapter implements: its header fields, memory
/// reservations and stored documents. The gateway itself defines no header.

/// Metadata that the header fields of a caller's request carry.
export interface CallerRequestMetadata {
  /// Identifies this attempt of the caller.
  readonly attemptId: string | undefined;
  /// How long the caller waits for the response; undefined if not stated.
  readonly callerTimeout: Milliseconds | undefined;
  readonly key: string | undefined;
  readonly promptTokens: number;
  /// Maximum number of output tokens.
  readonly outputTokens: number;
  /// IDs of the parts of the prompt that other requests may share, in order.
  readonly sharedParts: readonly string[];
}

/// Inputs of the header fields that the gateway adds to a request.
export interface UpstreamInstructions {
  readonly upstream: Upstream;
  /// Time until the deadline of the response.
  readonly remaining: Milliseconds;
  readonly customer: string | undefined;
  /// Whether the caller's key has to be removed from the header fields.
  readonly removesCallerKey: boolean;
  /// From 0 to 9, of which 0 is the highest; undefined leaves the choice to
  /// the upstream.
  readonly priority: number | undefined;
  /// ID of the last event received of a stream that is to be resumed.
  readonly resumeAfterEventId: string | undefined;
  /// Engines that prefill a span of the prompt.
  readonly helpers: readonly HelperEngine[];
}

/// An engine that prefills a span for a request that runs on another engine.
export interface HelperEngine {
  readonly address: string;
  /// ID of the reservation that holds memory for the span at this engine.
  readonly reservation?: string;
}

/// Metadata of an upstream's response.
export interface UpstreamResponseMetadata {
  /// The upstream states that it did not execute the request.
  readonly wasNotExecuted: boolean;
  /// Another process now listens at the address.
  readonly isWrongUpstream: boolean;
  /// The response has the upstream's signature and belongs to this attempt.
  readonly isAuthentic: boolean;
  /// The response belongs to another request, or may do so.
  readonly isForOtherRequest: boolean;
  /// Address of the engine at fault, if the responding engine is not at fault.
  readonly faultAddress: string | undefined;
  /// Time for which the upstream wants no requests of this VM; undefined if it
  /// doesn't say so.
  readonly retryAfter: Milliseconds | undefined;
  /// The upstream is draining.
  readonly isLeaving: boolean;
  /// Requests per second that the upstream accepts from all VMs together, for as
  /// long as its responses state it; undefined if it states no limit.
  readonly requestLimit: number | undefined;
}

/// Which process responds at an address; `unknown` if it doesn't say.
export type UpstreamIdentity = "same" | "other" | "unknown";

/// Translates between header fields of the platform and their meaning.
export interface GatewayDialect {
  parseCallerHeaders(headers: HeaderFields): CallerRequestMetadata;
  /// Returns the header list of the request to an upstream, made from the
  /// caller's.
  buildUpstreamHeaders(
    callerHeaders: readonly string[],
    instructions: UpstreamInstructions,
  ): string[];
  parseUpstreamResponse(
    status: number,
    headers: HeaderFields,
    request: {
      /// ID of the attempt, which upstreams repeat.
      readonly attemptId: string | undefined;
      /// Whether the connection has carried another request before. A response
      /// without an ID may then be a late copy of that one's.
      readonly isReused: boolean;
    },
  ): UpstreamResponseMetadata;
  /// Returns the header list of a question about an upstream's health, which
  /// only its own process answers.
  buildHealthHeaders(upstream: Upstream): string[];
  /// Returns which process answered that question.
  identifyUpstream(
    upstream: Upstream,
    response: { readonly status: number; readonly headers: HeaderFields },
  ): UpstreamIdentity;
  /// Returns the header fields of an upstream's response that are forwarded to
  /// the caller.
  buildCallerHeaders(headers: HeaderFields): [string, string | string[]][];
}

/// Reserves memory for prompts at engines, over a given connection.
export interface ReservationClient {
  /// Resolves to whether the memory was reserved.
  reserve(connection: Dispatcher, reservation: {
    readonly id: string;
    readonly tokens: number;
    readonly leaseDuration: Milliseconds;
  }): Promise<boolean>;
  release(connection: Dispatcher, id: string): Promise<void>;
  /// Resolves to whether a request uses the reservation. Throws if the engine
  /// doesn't tell.
  isUsed(connection: Dispatcher, id: string): Promise<boolean>;
}

/// Parses the documents in the platform's store.
export interface FleetDocuments {
  /// Key of the configuration.
  readonly configurationKey: string;
  /// Prefix of the upstreams' entries.
  readonly upstreamPrefix: string;
  /// Throws if the document is not a valid configuration.
  parseConfiguration(bytes: Uint8Array): Configuration;
  /// Undefined if the entry does not describe a usable upstream.
  parseUpstream(key: string, bytes: Uint8Array): Upstream | undefined;
}
