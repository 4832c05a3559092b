/// Errors of requests that were refused or failed, as reported to callers.

/// Whether the request had an effect.
export type Executed = "no" | "unknown" | "yes";

/// Every code with its HTTP status and title.
const PROBLEMS = {
  malformed_request: [400, "The request is malformed"],
  deadline_missing: [400, "The request has no deadline"],
  key_missing: [400, "The operation needs an idempotency key"],
  key_invalid: [400, "The idempotency key is invalid"],
  unauthenticated: [401, "The API key is unknown"],
  model_not_allowed: [403, "The model is outside the contract"],
  model_unknown: [404, "The model is unknown"],
  service_unknown: [404, "The service is unknown"],
  not_found: [404, "There is no such resource"],
  body_too_large: [413, "The body is too large"],
  prompt_too_long: [413, "No set of engines can hold the prompt"],
  key_reused: [422, "The key was used with another request"],
  quarantined: [422, "The request has crashed upstreams"],
  limit_spent: [429, "The customer's limit is spent"],
  queue_full: [503, "The queue is full"],
  deadline_infeasible: [503, "The deadline can't be met"],
  no_upstream: [503, "No upstream is available"],
  draining: [503, "This entry is stopping"],
  store_unavailable: [503, "The key-value service is unavailable"],
  ledger_full: [503, "The record of one-time actions has no room"],
  outcome_unknown: [409, "The outcome of this key is unknown"],
  still_running: [409, "A request with this key is running"],
  upstream_lost: [502, "The upstream was lost"],
  deadline_exceeded: [504, "The deadline passed"],
  caller_gone: [499, "The caller closed the connection"],
  internal: [500, "Internal error"],
} as const satisfies Record<string, readonly [number, string]>;

export type ProblemCode = keyof typeof PROBLEMS;

/// A problem document as RFC 9457 defines it, with the extension members
/// `code`, `executed`, `requestId` and `statusPath`.
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: ProblemCode;
  readonly executed: Executed;
  readonly requestId: string;
  /// Path at which the caller can query the outcome, if the operation has one.
  readonly statusPath?: string;
}

export interface RequestErrorOptions extends ErrorOptions {
  readonly executed?: Executed;
  readonly retryAfterSeconds?: number;
  readonly detail?: string;
  readonly statusPath?: string;
}

/// The error that ends a request. `executed` is "no" by default.
export class RequestError extends Error {
  override readonly name = "RequestError";
  readonly code: ProblemCode;
  readonly executed: Executed;
  readonly retryAfterSeconds: number | undefined;
  readonly statusPath: string | undefined;

  constructor(code: ProblemCode, options: RequestErrorOptions = {}) {
    super(options.detail ?? PROBLEMS[code][1], options);
    this.code = code;
    this.executed = options.executed ?? "no";
    this.retryAfterSeconds = options.retryAfterSeconds;
    this.statusPath = options.statusPath;
  }

  get status(): number {
    return PROBLEMS[this.code][0];
  }

  /// Creates the problem document for the response.
  toProblem(requestId: string): ProblemDocument {
    return {
      type: `urn:sequoiaturn:problem:${this.code}`,
      title: PROBLEMS[this.code][1],
      status: this.status,
      detail: this.message,
      code: this.code,
      executed: this.executed,
      requestId,
      ...(this.statusPath ? { statusPath: this.statusPath } : {}),
    };
  }
}

/// Wraps any other error as `internal`, with `executed` "unknown".
export function toRequestError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  return new RequestError("internal", { executed: "unknown", cause: error });
}
