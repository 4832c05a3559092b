import type { Prompt } from "../upstreams/engine_client.ts";
import type { Deadline } from "./deadline.ts";
import type { OpenRequest } from "./request_registry.ts";

/// A completion request and the limits of its execution.

/// Key and offset with which a caller resumes the answer to a long request.
export interface ResumePoint {
  /// Customer and idempotency key.
  readonly key: string;
  /// Tokens of the answer that the caller has already received.
  readonly offset: number;
}

export interface CompletionRequest {
  readonly id: string;
  readonly customer: string;
  /// Digest of customer, model and body, by which all VMs identify equal
  /// requests.
  readonly fingerprint: string;
  readonly model: string;
  readonly version: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /// Smaller is more urgent.
  readonly priority: number;
  readonly isLong: boolean;
  readonly resumePoint?: ResumePoint;
}

/// Registry entry, deadline and abort signal of a running request.
export interface RunContext {
  readonly open: OpenRequest;
  readonly deadline: Deadline;
  /// Aborts at the deadline and when the caller disconnects.
  readonly signal: AbortSignal;
}
