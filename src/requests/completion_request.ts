import type { Prompt } from "../upstreams/engine_client.ts";
import type { Deadline } from "./deadline.ts";
import type { OpenRequest } from "./request_registry.ts";

/// A completion as it is run, and what bounds the run.

/// What lets a caller come back for an answer.
export interface ResumableBy {
  /// Customer and idempotency key.
  readonly key: string;
  /// Tokens of the answer that the caller has.
  readonly offset: number;
}

export interface CompletionRequest {
  readonly id: string;
  readonly customer: string;
  /// Names what is asked for, whoever asks.
  readonly fingerprint: string;
  readonly model: string;
  readonly version: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /// Smaller is more urgent.
  readonly priority: number;
  readonly isLong: boolean;
  readonly resumePoint?: ResumableBy;
}

/// Where a running request takes its limits from and reports to.
export interface RunContext {
  readonly open: OpenRequest;
  readonly deadline: Deadline;
  /// Aborts at the deadline and when the caller is gone.
  readonly signal: AbortSignal;
}
