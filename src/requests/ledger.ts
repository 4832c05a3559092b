import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import type { Links } from "../links/links.ts";
import { withTimeout } from "../support/timeout.ts";
import { createClaimFollower } from "./claim_resolver.ts";
import { type ClaimState, createClaimRegister } from "./claim_registry.ts";
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

/// The record of one-time actions. A key is claimed before its request is
/// sent; only a confirmed claim is sent, and a key is never run twice.

export interface Ledger {
  /// Claims the key, or follows the claim that is running until its end or
  /// the signal. Throws `LedgerUnavailableError` and the signal's reason;
  /// then the claim is abandoned and nothing may be sent.
  claim(claim: Claim, signal: AbortSignal): Promise<ClaimResult>;
  /// To be called before the first byte is sent. Returns false when the claim
  /// may not be sent.
  markSent(claim: Claim): boolean;
  /// Takes `markSent` back after no byte went out.
  markUnsent(claim: Claim): void;
  /// Gives back a claim of which nothing was sent.
  abandon(claim: Claim): void;
  /// Records how the request ended, or that this can't be known.
  finish(claim: Claim, outcome: RecordedOutcome | undefined): void;
  /// Resolves when every outcome is recorded.
  whenIdle(): Promise<void>;
}

export interface LedgerOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly router: LedgerRouter;
  readonly issuedKeys: IssuedKeys;
}

/// Delays between tries to record an outcome.
const RECORD_RETRY_MILLISECONDS = [500, 2_000, 10_000];
const RECORD_TRIES = 60;
const RELEASE_TRIES = 3;

export function createLedger(options: LedgerOptions): Ledger {
  const { clock, links, router: home, issuedKeys } = options;
  const { self } = links;
  const register = createClaimRegister(clock);
  let backgroundWrites = 0;
  let idleWaiters: (() => void)[] = [];

  const submit = ({ parsedKey }: Claim, operation: LedgerOperation) =>
    parsedKey.kind === "issued"
      ? issuedKeys.submit(parsedKey, operation)
      : home.submit(operation);

  /// Submits an operation that somebody waits for.
  const submitNow = (
    claim: Claim,
    operation: LedgerOperation,
    signal: AbortSignal,
  ): Promise<LedgerReply> => {
    const bounded = withTimeout(submit(claim, operation), {
      clock,
      limit: LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
      onTimeout: () => new LedgerUnavailableError("no confirmation in time"),
    });
    return raceAbort(bounded, signal);
  };

  const submitInBackground = async (
    claim: Claim,
    operation: LedgerOperation,
    limit: number,
  ) => {
    backgroundWrites++;
    for (let tries = 0; tries < limit; tries++) {
      try {
        await submit(claim, operation);
        break;
      } catch (error) {
        if (!(error instanceof LedgerUnavailableError)) break;
        const delays = RECORD_RETRY_MILLISECONDS;
        await clock.sleep(delays[Math.min(tries, delays.length - 1)]!);
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

  const follower = createClaimFollower({ clock, links, register, submitNow });

  const claimOnce = async (claim: Claim, signal: AbortSignal) => {
    const operation = toOperation(claim);
    const reply = await submitNow(claim, operation, signal);
    return await follower.follow({ claim, operation, signal }, reply);
  };

  /// What this VM knows by itself while the record can't be read.
  const recall = (claim: Claim): ClaimResult | undefined => {
    const sent = register.sentFor(claim.key);
    if (!sent) return undefined;
    if (sent.fingerprint !== claim.fingerprint) {
      return { kind: "differentRequest" };
    }
    return toRecalled(sent.state);
  };

  const abandon = (claim: Claim) => {
    register.abandon(claim.claimId);
    const { key, claimId } = claim;
    const operation = { kind: "release", key, claimId } as const;
    void submitInBackground(claim, operation, RELEASE_TRIES);
  };

  return {
    async claim(claim, signal) {
      register.open(claim);
      try {
        const result = await claimOnce(claim, signal);
        if (result.kind !== "claimed") register.abandon(claim.claimId);
        else signal.throwIfAborted();
        return result;
      } catch (error) {
        abandon(claim);
        if (error instanceof IssuerLostError) return { kind: "unknown" };
        const recalled = error instanceof LedgerUnavailableError
          ? recall(claim)
          : undefined;
        if (recalled) return recalled;
        throw error;
      }
    },
    markSent: ({ claimId }) => register.markSent(claimId),
    markUnsent: ({ claimId }) => register.markNotReached(claimId),
    abandon,
    finish(claim, outcome) {
      const { key, claimId } = claim;
      register.end(claimId, outcome);
      if (!outcome) return;
      const operation = { kind: "record", key, claimId, outcome } as const;
      void submitInBackground(claim, operation, RECORD_TRIES);
    },
    whenIdle: () =>
      backgroundWrites === 0
        ? Promise.resolve()
        : new Promise((resolve) => idleWaiters.push(resolve)),
  };
}

function toRecalled(state: ClaimState): ClaimResult {
  return state.kind === "finished"
    ? { kind: "recorded", outcome: state.outcome }
    : { kind: "unknown" };
}
