import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RecordedOutcome } from "./ledger_state.ts";

/// What became of the claims that this VM made. A claim that was sent is never
/// called abandoned, and an abandoned one is never sent.

export type ClaimState =
  /// Not sent yet, but it may be.
  | { readonly kind: "pending" }
  | { readonly kind: "sent" }
  /// It was not sent and never will be.
  | { readonly kind: "abandoned" }
  /// It was sent and its outcome is unknown.
  | { readonly kind: "lost" }
  | { readonly kind: "finished"; readonly outcome: RecordedOutcome };

export interface ClaimRegister {
  open(claim: RegisteredClaim): void;
  /// Returns false when the claim has been abandoned and may not be sent.
  markSent(claimId: string): boolean;
  /// Takes `markSent` back after no byte went out.
  markNotReached(claimId: string): void;
  /// Does nothing to a claim that was sent.
  abandon(claimId: string): void;
  end(claimId: string, outcome: RecordedOutcome | undefined): void;
  /// The state once it is final, or as it is after `limit`.
  whenFinal(
    claimId: string,
    limit: Milliseconds,
  ): Promise<ClaimState | undefined>;
  /// The claim of `key` that was sent from this VM.
  sentFor(key: string): SentClaim | undefined;
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

/// Final claims that are remembered.
const KEPT_CLAIMS = 20_000;

interface Entry {
  readonly claim: RegisteredClaim;
  state: ClaimState;
  waiters: (() => void)[];
}

function isFinal({ kind }: ClaimState): boolean {
  return kind !== "pending" && kind !== "sent";
}

export function createClaimRegister(clock: Clock): ClaimRegister {
  const entries = new Map<string, Entry>();
  const sentClaims = new Map<string, string>();

  const forgetOldest = () => {
    if (entries.size <= KEPT_CLAIMS) return;
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
    entry.waiters.forEach((wake) => wake());
    entry.waiters = [];
  };

  return {
    open(claim) {
      const state = { kind: "pending" } as const;
      entries.set(claim.claimId, { claim, state, waiters: [] });
      forgetOldest();
    },
    markSent(claimId) {
      const entry = entries.get(claimId);
      if (!entry || isFinal(entry.state)) return false;
      entry.state = { kind: "sent" };
      sentClaims.set(entry.claim.key, claimId);
      return true;
    },
    markNotReached(claimId) {
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
    sentFor(key) {
      const entry = entries.get(sentClaims.get(key) ?? "");
      if (!entry) return undefined;
      return { fingerprint: entry.claim.fingerprint, state: entry.state };
    },
  };
}
