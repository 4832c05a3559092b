import type { Contracts } from "../contracts/contract_book.ts";
import { raceAbort } from "../support/abort.ts";
import type { RandomSource } from "../support/random.ts";
import {
  type ServiceAnswer,
  type ServiceCall,
  ServiceLostError,
  ServiceNotReachedError,
} from "../upstreams/service_client.ts";
import type { RunContext } from "./completion_request.ts";
import type { Claim } from "./claim.ts";
import { parseKey } from "./idempotency_key.ts";
import type { Ledger } from "./ledger.ts";
import { LedgerUnavailableError } from "./ledger_router.ts";
import { RECORDED_BODY_BYTES, type RecordedOutcome } from "./ledger_state.ts";
import {
  type ProblemCode,
  RequestError,
  toRequestError,
} from "./request_error.ts";
import {
  createServiceAttempts,
  fingerprintOf,
  type ServiceAttemptsOptions,
} from "./service_attempt.ts";

/// Runs an admitted call of a service. Idempotent operations are retried; the
/// others are claimed in the ledger and sent at most once.

export interface ServiceRequest {
  readonly customer: string;
  readonly service: string;
  readonly call: ServiceCall;
  readonly contracts: Contracts;
}

export interface ServiceRunnerOptions extends ServiceAttemptsOptions {
  readonly random: RandomSource;
  readonly ledger: Ledger;
}

export interface ServiceRunner {
  /// Throws `RequestError`.
  run(request: ServiceRequest, context: RunContext): Promise<ServiceAnswer>;
}

/// Attempts of an idempotent call that are lost after it was sent.
const MAXIMUM_LOST_ATTEMPTS = 3;
const RETRY_DELAY_MILLISECONDS = 50;
const CLAIM_ID_BYTES = 12;
const MAXIMUM_CONTENT_TYPE_CHARACTERS = 200;
const NOT_PRINTABLE = /[^\x20-\x7e]/g;
/// Clock skew by which the time of a key may be ahead of this VM's clock.
const MAXIMUM_KEY_SKEW_MILLISECONDS = 60_000;
/// Time after the deadline for which an answer is still awaited, so that its
/// outcome can be recorded.
const LATE_ANSWER_TIMEOUT_MILLISECONDS = 30_000;
const RETRY_AFTER_SECONDS = 1;
/// Errors of an attempt that ended before anything was sent.
const CODES_BEFORE_SEND: ReadonlySet<ProblemCode> = new Set([
  "no_upstream",
  "quarantined",
]);
const LEDGER_FULL_RETRY_AFTER_SECONDS = 60;

function toOutcome(answer: ServiceAnswer): RecordedOutcome {
  return {
    status: answer.status,
    contentType: answer.contentType
      .replace(NOT_PRINTABLE, "")
      .slice(0, MAXIMUM_CONTENT_TYPE_CHARACTERS),
    body: answer.body.subarray(0, RECORDED_BODY_BYTES).toString("base64"),
  };
}

function toAnswer(outcome: RecordedOutcome): ServiceAnswer {
  const body = Buffer.from(outcome.body, "base64");
  return { status: outcome.status, contentType: outcome.contentType, body };
}

function statusPathOf(request: ServiceRequest): string | undefined {
  const { contracts, service, call } = request;
  const operation = contracts.operation(service, call.method, call.path);
  if (!operation?.statusPath) return undefined;
  return `/v1/services/${service}${operation.statusPath}`;
}

function unknownOutcome(
  request: ServiceRequest,
  code: ProblemCode,
  cause?: unknown,
): RequestError {
  const statusPath = statusPathOf(request);
  return new RequestError(code, { executed: "unknown", statusPath, cause });
}

export function createServiceRunner(
  options: ServiceRunnerOptions,
): ServiceRunner {
  const { clock, ledger } = options;

  const runIdempotent = async (
    request: ServiceRequest,
    { open, signal }: RunContext,
  ): Promise<ServiceAnswer> => {
    const attempts = createServiceAttempts({ request, open }, options);
    let lost = 0;
    while (true) {
      try {
        return await attempts.send(signal);
      } catch (error) {
        if (signal.aborted) throw signal.reason;
        if (error instanceof ServiceLostError) lost += 1;
        const isRetryable = error instanceof ServiceLostError ||
          error instanceof ServiceNotReachedError;
        if (lost === MAXIMUM_LOST_ATTEMPTS || lost > 0 && !isRetryable) {
          throw unknownOutcome(request, "upstream_lost", error);
        }
        if (!isRetryable) throw toRequestError(error);
        await clock.sleep(RETRY_DELAY_MILLISECONDS, signal);
        await attempts.prepareNext(signal);
      }
    }
  };

  /// Sends a claimed call. A further attempt at another instance is made only
  /// if nothing has been sent. Settles when the call has ended, possibly after
  /// the caller got the error that the outcome is unknown.
  const sendClaimed = async (
    request: ServiceRequest,
    claim: Claim,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const { open } = context;
    const attempts = createServiceAttempts({ request, open }, options);
    const sendTimeout = new AbortController();
    const timeoutMilliseconds = context.deadline.remaining() +
      LATE_ANSWER_TIMEOUT_MILLISECONDS;
    const timer = clock.schedule(
      timeoutMilliseconds,
      () => sendTimeout.abort(new RequestError("deadline_exceeded")),
    );
    try {
      while (true) {
        const isLate = context.deadline.remaining() === 0;
        const mayNotSend = isLate || context.signal.aborted ||
          !ledger.markSent(claim);
        if (mayNotSend) {
          ledger.abandon(claim);
          const reason = toRequestError(context.signal.reason).code;
          throw new RequestError(isLate ? "deadline_exceeded" : reason);
        }
        try {
          const answer = await attempts.send(sendTimeout.signal);
          ledger.finish(claim, toOutcome(answer));
          return answer;
        } catch (error) {
          const isNotSent = error instanceof ServiceNotReachedError ||
            error instanceof RequestError && CODES_BEFORE_SEND.has(error.code);
          if (!isNotSent) {
            ledger.finish(claim, undefined);
            throw unknownOutcome(request, "upstream_lost", error);
          }
          ledger.markUnsent(claim);
          if (!(error instanceof ServiceNotReachedError)) {
            ledger.abandon(claim);
            throw error;
          }
          await attempts.prepareNext(context.signal).catch(() => {
            // The next turn ends the call.
          });
        }
      }
    } finally {
      timer.cancel();
    }
  };

  const claimKey = async (claim: Claim, context: RunContext) => {
    try {
      return await ledger.claim(claim, context.signal);
    } catch (error) {
      if (!(error instanceof LedgerUnavailableError)) throw error;
      const retryAfterSeconds = RETRY_AFTER_SECONDS;
      const problem = { retryAfterSeconds, cause: error };
      throw new RequestError("store_unavailable", problem);
    }
  };

  const readClaim = (request: ServiceRequest): Claim => {
    const key = request.call.idempotencyKey;
    if (!key) throw new RequestError("key_missing");
    const parsedKey = parseKey(key);
    const latest = clock.wallTime() + MAXIMUM_KEY_SKEW_MILLISECONDS;
    const isFromFuture = parsedKey?.kind === "caller" &&
      parsedKey.time > latest;
    if (!parsedKey || isFromFuture) throw new RequestError("key_invalid");
    return {
      key: `${request.customer}/${key}`,
      parsedKey,
      claimId: options.random.hex(CLAIM_ID_BYTES),
      fingerprint: fingerprintOf(request),
    };
  };

  const runOnce = async (
    request: ServiceRequest,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const claim = readClaim(request);
    const result = await claimKey(claim, context);
    switch (result.kind) {
      case "recorded":
        return toAnswer(result.outcome);
      case "differentRequest":
        throw new RequestError("key_reused");
      case "full": {
        const retryAfterSeconds = LEDGER_FULL_RETRY_AFTER_SECONDS;
        throw new RequestError("ledger_full", { retryAfterSeconds });
      }
      case "unknown":
        throw unknownOutcome(request, "outcome_unknown");
    }
    const sent = sendClaimed(request, claim, context);
    try {
      return await raceAbort(sent, context.signal);
    } catch (error) {
      if (!context.signal.aborted) throw error;
      const { code } = toRequestError(context.signal.reason);
      throw unknownOutcome(request, code, error);
    }
  };

  return {
    async run(request, context) {
      const { method, path } = request.call;
      const { contracts, service } = request;
      const operation = contracts.operation(service, method, path);
      return operation?.idempotent
        ? await runIdempotent(request, context)
        : await runOnce(request, context);
    },
  };
}
