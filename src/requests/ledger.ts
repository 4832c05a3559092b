import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import type { Links } from "../links/links.ts";
import { withTimeout } from "../support/timeout.ts";
import { createClaimResolver } from "./claim_resolver.ts";
import { type ClaimState, createClaimRegistry } from "./claim_registry.ts";
import type { Claim, ClaimResult } from "./claim.ts";
import { type IssuedKeys, IssuerLostError } from "./issued_keys.ts";
import {
  LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
  type LedgerRouter,
  LedgerUnavailableError,
} from "./ledger_router.ts";
import type {
  ClaimOperation,
  LedgerOperation,
  LedgerReply,
} from "./ledger_operation.ts";
import type { RecordedOutcome } from "./ledger_state.ts";

/// Ensures that a request with an idempotency key runs at most once. The key is
/// claimed before the request is sent, and only a request whose claim is
/// confirmed is sent.

export interface Ledger {
  /// Claims the key. If another claim holds it, waits until that claim ends or
  /// the signal aborts. Throws `LedgerUnavailableError` or the signal's reason;
  /// then the claim is abandoned and the request must not be sent.
  claim(claim: Claim, signal: AbortSignal): Promise<ClaimResult>;
  /// Must be called before the first byte is sent. Returns false when the
  /// request must not be sent.
  markSent(claim: Claim): boolean;
  /// Reverts `markSent` when no byte was sent.
  markUnsent(claim: Claim): void;
  /// Releases a claim whose request was not sent.
  abandon(claim: Claim): void;
  /// Records the outcome of the request; undefined if it can't be determined.
  finish(claim: Claim, outcome: RecordedOutcome | undefined): void;
  /// Resolves when no outcome or release is left to be recorded.
  whenIdle(): Promise<void>;
}

export interface LedgerOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly router: LedgerRouter;
  readonly issuedKeys: IssuedKeys;
}

/// Delays between attempts to record an outcome or a release. The last delay
/// applies to all further attempts.
const RECORD_RETRY_DELAYS_MILLISECONDS = [500, 2_000, 10_000];
const MAXIMUM_RECORD_ATTEMPTS = 60;
const MAXIMUM_RELEASE_ATTEMPTS = 3;

export function createLedger(options: LedgerOptions): Ledger {
  const { clock, links, router, issuedKeys } = options;
  const { self } = links;
  const registry = createClaimRegistry(clock);
  let backgroundWrites = 0;
  let idleWaiters: (() => void)[] = [];

  const submit = ({ parsedKey }: Claim, operation: LedgerOperation) =>
    parsedKey.kind === "issued"
      ? issuedKeys.submit(parsedKey, operation)
      : router.submit(operation);

  /// Submits an operation whose reply a request waits for. The issuers of keys
  /// have a time limit of their own.
  const submitWithTimeout = (
    claim: Claim,
    operation: LedgerOperation,
    signal: AbortSignal,
  ): Promise<LedgerReply> => {
    const submitted = submit(claim, operation);
    if (claim.parsedKey.kind === "issued") return raceAbort(submitted, signal);
    const bounded = withTimeout(submitted, {
      clock,
      limit: LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
      onTimeout: () => new LedgerUnavailableError("confirmation timed out"),
    });
    return raceAbort(bounded, signal);
  };

  const submitInBackground = async (
    claim: Claim,
    operation: LedgerOperation,
    maximumAttempts: number,
  ) => {
    backgroundWrites++;
    for (let attempts = 0; attempts < maximumAttempts; attempts++) {
      try {
        await submit(claim, operation);
        break;
      } catch (error) {
        if (!(error instanceof LedgerUnavailableError)) break;
        const delays = RECORD_RETRY_DELAYS_MILLISECONDS;
        await clock.sleep(delays[Math.min(attempts, delays.length - 1)]!);
      }
    }
    if (--backgroundWrites > 0) return;
    idleWaiters.forEach((resolve) => resolve());
    idleWaiters = [];
  };

  const toOperation = (claim: Claim): ClaimOperation => {
    const { key, claimId, fingerprint, parsedKey } = claim;
    const { vm, incarnation } = self;
    const holder = { claimId, vm, incarnation };
    return { kind: "claim", key, keyTime: parsedKey.time, fingerprint, holder };
  };

  const resolver = createClaimResolver({
    clock,
    links,
    registry,
    submitWithTimeout,
  });

  const claimOnce = async (claim: Claim, signal: AbortSignal) => {
    const operation = toOperation(claim);
    const reply = await submitWithTimeout(claim, operation, signal);
    return await resolver.resolve({ claim, operation, signal }, reply);
  };

  /// Result from the claims that this VM sent, for when the ledger is
  /// unavailable.
  const lookUpLocally = (claim: Claim): ClaimResult | undefined => {
    const sent = registry.sentClaimOf(claim.key);
    if (!sent) return undefined;
    if (sent.fingerprint !== claim.fingerprint) {
      return { kind: "differentRequest" };
    }
    return toClaimResult(sent.state);
  };

  const abandon = (claim: Claim) => {
    registry.abandon(claim.claimId);
    const { key, claimId } = claim;
    const operation = { kind: "release", key, claimId } as const;
    void submitInBackground(claim, operation, MAXIMUM_RELEASE_ATTEMPTS);
  };

  return {
    async claim(claim, signal) {
      registry.add(claim);
      try {
        const result = await claimOnce(claim, signal);
        if (result.kind !== "claimed") registry.abandon(claim.claimId);
        else signal.throwIfAborted();
        return result;
      } catch (error) {
        abandon(claim);
        if (error instanceof IssuerLostError) return { kind: "unknown" };
        const localResult = error instanceof LedgerUnavailableError
          ? lookUpLocally(claim)
          : undefined;
        if (localResult) return localResult;
        throw error;
      }
    },
    markSent: ({ claimId }) => registry.markSent(claimId),
    markUnsent: ({ claimId }) => registry.markUnsent(claimId),
    abandon,
    finish(claim, outcome) {
      const { key, claimId } = claim;
      registry.end(claimId, outcome);
      if (!outcome) return;
      const operation = { kind: "record", key, claimId, outcome } as const;
      void submitInBackground(claim, operation, MAXIMUM_RECORD_ATTEMPTS);
    },
    whenIdle: () =>
      backgroundWrites === 0
        ? Promise.resolve()
        : new Promise((resolve) => idleWaiters.push(resolve)),
  };
}

function toClaimResult(state: ClaimState): ClaimResult {
  return state.kind === "finished"
    ? { kind: "recorded", outcome: state.outcome }
    : { kind: "unknown" };
}
