import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RecordedOutcome } from "./ledger_state.ts";

/// States of the claims that this VM made. A claim that was sent is never
/// reported as abandoned, and an abandoned claim is never sent.

export type ClaimState =
  /// Not sent yet; it may still be sent.
  | { readonly kind: "pending" }
  | { readonly kind: "sent" }
  /// It was not sent and never will be sent.
  | { readonly kind: "abandoned" }
  /// It was sent and its outcome is unknown.
  | { readonly kind: "lost" }
  | { readonly kind: "finished"; readonly outcome: RecordedOutcome };

export interface ClaimRegistry {
  add(claim: RegisteredClaim): void;
  /// Returns false when the claim has been abandoned and may not be sent.
  markSent(claimId: string): boolean;
  /// Reverts `markSent` when no byte was sent.
  markUnsent(claimId: string): void;
  /// Has no effect on a claim that was sent.
  abandon(claimId: string): void;
  end(claimId: string, outcome: RecordedOutcome | undefined): void;
  /// Resolves to the state once it is final, or to the current state after
  /// `limit`.
  whenFinal(
    claimId: string,
    limit: Milliseconds,
  ): Promise<ClaimState | undefined>;
  /// The claim of `key` that this VM sent.
  sentClaimOf(key: string): SentClaim | undefined;
}

export interface RegisteredClaim {
  readonly claimId: string;
  readonly key: string;
  readonly fingerprint: string;
}

export interface SentClaim {
  readonly fingerprint: string;
  readonly state: ClaimState;
}

/// Number of claims above which the oldest final claim is removed.
const MAXIMUM_CLAIMS = 20_000;

interface ClaimEntry {
  readonly claim: RegisteredClaim;
  state: ClaimState;
  waiters: (() => void)[];
}

function isFinal({ kind }: ClaimState): boolean {
  return kind !== "pending" && kind !== "sent";
}

export function createClaimRegistry(clock: Clock): ClaimRegistry {
  const entries = new Map<string, ClaimEntry>();
  const sentClaims = new Map<string, string>();

  const removeOldestFinal = () => {
    if (entries.size <= MAXIMUM_CLAIMS) return;
    for (const [claimId, { claim: { key }, state }] of entries) {
      if (!isFinal(state)) continue;
      entries.delete(claimId);
      if (sentClaims.get(key) === claimId) sentClaims.delete(key);
      return;
    }
  };

  const finish = (claimId: string, state: ClaimState) => {
    const entry = entries.get(claimId);
    if (!entry || isFinal(entry.state)) return;
    entry.state = state;
    entry.waiters.forEach((notify) => notify());
    entry.waiters = [];
  };

  return {
    add(claim) {
      const state = { kind: "pending" } as const;
      entries.set(claim.claimId, { claim, state, waiters: [] });
      removeOldestFinal();
    },
    markSent(claimId) {
      const entry = entries.get(claimId);
      if (!entry || isFinal(entry.state)) return false;
      entry.state = { kind: "sent" };
      sentClaims.set(entry.claim.key, claimId);
      return true;
    },
    markUnsent(claimId) {
      const entry = entries.get(claimId);
      if (entry?.state.kind !== "sent") return;
      entry.state = { kind: "pending" };
      sentClaims.delete(entry.claim.key);
    },
    abandon(claimId) {
      const entry = entries.get(claimId);
      if (entry?.state.kind === "pending") {
        finish(claimId, { kind: "abandoned" });
      }
    },
    end(claimId, outcome) {
      finish(
        claimId,
        outcome ? { kind: "finished", outcome } : {
          kind: "lost",
        },
      );
    },
    async whenFinal(claimId, limit) {
      const entry = entries.get(claimId);
      if (!entry || isFinal(entry.state)) return entry?.state;
      await new Promise<void>((resolve) => {
        const timer = clock.schedule(limit, resolve);
        entry.waiters.push(() => {
          timer.cancel();
          resolve();
        });
      });
      return entry.state;
    },
    sentClaimOf(key) {
      const entry = entries.get(sentClaims.get(key) ?? "");
      if (!entry) return undefined;
      return { fingerprint: entry.claim.fingerprint, state: entry.state };
    },
  };
}
