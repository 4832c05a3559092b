import { createHash } from "node:crypto";
import type { Contracts } from "../contracts/contract_book.ts";
import {
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../platform/key_value_store.ts";
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
import { timeOfKey } from "./idempotency_key.ts";
import type { Claim, Ledger, RecordedOutcome } from "./ledger.ts";
import { RequestError, toRequestError } from "./request_error.ts";

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
/// Bytes of an answer that the ledger keeps.
const RECORDED_BODY_BYTES = 2_048;
const CLAIM_ID_BYTES = 12;
/// How far ahead of this VM's clock a key's time may be.
const KEY_SKEW_MILLISECONDS = 60_000;

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
    contentType: answer.contentType,
    body: answer.body.subarray(0, RECORDED_BODY_BYTES).toString("base64"),
  };
}

function toAnswer(outcome: RecordedOutcome): ServiceAnswer {
  const body = Buffer.from(outcome.body, "base64");
  return { status: outcome.status, contentType: outcome.contentType, body };
}

export function createServiceRunner(
  options: ServiceRunnerOptions,
): ServiceRunner {
  const { clock, services, ledger } = options;

  const sendOnce = async (
    request: ServiceRequest,
    excluded: Set<string>,
    context: RunContext,
  ) => {
    const replica = services.choose(request.service, excluded);
    if (!replica) throw new RequestError("no_upstream");
    const { name } = replica.upstream;
    excluded.add(name);
    const attempt = excluded.size;
    context.open.update({ state: "sent", attempt, upstream: name });
    const done = services.recordCall(name);
    try {
      const sent = replica.client.send(request.call, context.signal);
      return await raceAbort(sent, context.signal);
    } finally {
      done();
    }
  };

  const runIdempotent = async (
    request: ServiceRequest,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const excluded = new Set<string>();
    while (true) {
      try {
        return await sendOnce(request, excluded, context);
      } catch (error) {
        if (context.signal.aborted) throw context.signal.reason;
        const lost = error instanceof ServiceLostError ||
          error instanceof ServiceNotReachedError;
        if (!lost) throw toRequestError(error);
        if (excluded.size >= MAXIMUM_ATTEMPTS) {
          throw new RequestError("upstream_lost", { executed: "unknown" });
        }
        await clock.sleep(RETRY_DELAY_MILLISECONDS, context.signal);
      }
    }
  };

  const claimKey = async (claim: Claim) => {
    try {
      return await ledger.claim(claim);
    } catch (error) {
      const storeFault = error instanceof StoreUnavailableError ||
        error instanceof StoreOutcomeUnknownError;
      if (!storeFault) throw error;
      const retryAfterSeconds = 1;
      const problem = { retryAfterSeconds, cause: error };
      throw new RequestError("store_unavailable", problem);
    }
  };

  /// Sends a claimed call, moving on to another replica only while nothing
  /// has gone out.
  const sendClaimed = async (
    request: ServiceRequest,
    claim: Claim,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const excluded = new Set<string>();
    while (true) {
      try {
        const answer = await sendOnce(request, excluded, context);
        await ledger.record(claim, toOutcome(answer)).catch(() => {});
        return answer;
      } catch (error) {
        if (error instanceof ServiceNotReachedError) continue;
        if (error instanceof RequestError && error.code === "no_upstream") {
          await ledger.withdraw(claim).catch(() => {});
          throw error;
        }
        const reason = context.signal.aborted
          ? toRequestError(context.signal.reason).code
          : "upstream_lost";
        const problem = { executed: "unknown", cause: error } as const;
        throw new RequestError(reason, problem);
      }
    }
  };

  const runOnce = async (
    request: ServiceRequest,
    context: RunContext,
  ): Promise<ServiceAnswer> => {
    const key = request.call.idempotencyKey;
    if (!key) throw new RequestError("key_missing");
    const keyTime = timeOfKey(key);
    const fromFuture = keyTime !== undefined &&
      keyTime > clock.wallTime() + KEY_SKEW_MILLISECONDS;
    if (keyTime === undefined || fromFuture) {
      throw new RequestError("key_invalid");
    }
    const claim: Claim = {
      key: `${request.customer}/${key}`,
      claimId: options.random.hex(CLAIM_ID_BYTES),
      fingerprint: fingerprintOf(request),
    };
    const result = await claimKey(claim);
    if (result.kind === "recorded") return toAnswer(result.outcome);
    if (result.kind === "differentRequest") {
      throw new RequestError("key_reused");
    }
    if (result.kind === "claimedByOther") {
      throw new RequestError("outcome_unknown", { executed: "unknown" });
    }
    return await sendClaimed(request, claim, context);
  };

  return {
    async run(request, context) {
      const { method, path } = request.call;
      const operation = request.contracts.operation(
        request.service,
        method,
        path,
      );
      return operation?.idempotent
        ? await runIdempotent(request, context)
        : await runOnce(request, context);
    },
  };
}
