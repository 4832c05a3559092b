import { createHash } from "node:crypto";
import type { Contracts } from "../contracts/contract_book.ts";
import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import {
  type ServiceAnswer,
  type ServiceCall,
  ServiceLostError,
  ServiceNotReachedError,
} from "../upstreams/service_client.ts";
import type { ServiceDirectory } from "../upstreams/service_directory.ts";
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

/// Runs one admitted call of a plain service. Idempotent operations are
/// retried; the others are claimed in the ledger and sent at most once.

export interface ServiceRequest {
  readonly customer: string;
  readonly service: string;
  readonly call: ServiceCall;
  readonly contracts: Contracts;
}

export interface ServiceRunnerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly services: ServiceDirectory;
  readonly ledger: Ledger;
}

export interface ServiceRunner {
  /// Throws `RequestError`.
  run(request: ServiceRequest, context: RunContext): Promise<ServiceAnswer>;
}

const MAXIMUM_ATTEMPTS = 3;
const RETRY_DELAY_MILLISECONDS = 50;
const CLAIM_ID_BYTES = 12;
const CONTENT_TYPE_CHARACTERS = 200;
const NOT_PRINTABLE = /[^\x20-\x7e]/g;
/// How far ahead of this VM's clock a key's time may be.
const KEY_SKEW_MILLISECONDS = 60_000;
/// How long after the deadline an answer is still awaited for the record.
const LATE_ANSWER_MILLISECONDS = 30_000;
const RETRY_AFTER_SECONDS = 1;
const FULL_RETRY_AFTER_SECONDS = 60;

function fingerprintOf(request: ServiceRequest): string {
  const { call } = request;
  return createHash("sha256")
    .update(`${request.customer}\n${request.service}\n${call.method}\n`)
    .update(`${call.path}\n${call.query}\n`)
    .update(call.body ?? "")
    .digest("hex")
    .slice(0, 32);
}

function toOutcome(answer: ServiceAnswer): RecordedOutcome {
  return {
    status: answer.status,
    contentType: answer.contentType
      .replace(NOT_PRINTABLE, "")
      .slice(0, CONTENT_TYPE_CHARACTERS),
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
  const { clock, services, ledger } = options;

  const sendOnce = async (
    request: ServiceRequest,
    excluded: Set<string>,
    options: { open: RunContext["open"]; signal: AbortSignal },
  ) => {
    const replica = services.choose(request.service, excluded);
    if (!replica) {
      const retryAfterSeconds = RETRY_AFTER_SECONDS;
      throw new RequestError("no_upstream", { retryAfterSeconds });
    }
    const { name } = replica.upstream;
    excluded.add(name);
    const attempt = excluded.size;
    options.open.update({ state: "sent", attempt, upstream: name });
    const done = services.recordCall(name);
    try {
      const sent = replica.client.send(request.call, options.signal);
      return await raceAbort(sent, options.signal);
    } finally {
      done();
    }
  };

  const runIdempotent = async (
    request: ServiceRequest,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const excluded = new Set<string>();
    let lost = false;
    while (true) {
      try {
        return await sendOnce(request, excluded, context);
      } catch (error) {
        if (context.signal.aborted) throw context.signal.reason;
        lost ||= error instanceof ServiceLostError;
        const retried = error instanceof ServiceLostError ||
          error instanceof ServiceNotReachedError;
        const spent = excluded.size >= MAXIMUM_ATTEMPTS;
        if (lost && (spent || !retried)) {
          throw unknownOutcome(request, "upstream_lost", error);
        }
        if (!retried) throw toRequestError(error);
        if (spent) throw new RequestError("no_upstream", { cause: error });
        await clock.sleep(RETRY_DELAY_MILLISECONDS, context.signal);
      }
    }
  };

  /// Sends a claimed call, moving on to another replica only while nothing
  /// has gone out. Settles when the call has ended, also after the caller
  /// was told that the outcome is unknown.
  const sendClaimed = async (
    request: ServiceRequest,
    claim: Claim,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const excluded = new Set<string>();
    const late = new AbortController();
    const limit = context.deadline.remaining() + LATE_ANSWER_MILLISECONDS;
    const timer = clock.schedule(
      limit,
      () => late.abort(new RequestError("deadline_exceeded")),
    );
    const { open } = context;
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
          const signal = late.signal;
          const answer = await sendOnce(request, excluded, { open, signal });
          ledger.finish(claim, toOutcome(answer));
          return answer;
        } catch (error) {
          const notSent = error instanceof ServiceNotReachedError ||
            error instanceof RequestError && error.code === "no_upstream";
          if (!notSent) {
            ledger.finish(claim, undefined);
            throw unknownOutcome(request, "upstream_lost", error);
          }
          ledger.markUnsent(claim);
          if (error instanceof ServiceNotReachedError) continue;
          ledger.abandon(claim);
          throw error;
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
    const latest = clock.wallTime() + KEY_SKEW_MILLISECONDS;
    const fromFuture = parsedKey?.kind === "caller" && parsedKey.time > latest;
    if (!parsedKey || fromFuture) throw new RequestError("key_invalid");
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
        const retryAfterSeconds = FULL_RETRY_AFTER_SECONDS;
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
