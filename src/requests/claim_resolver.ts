import { Type } from "@sinclair/typebox";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "../links/links.ts";
import { defineCall } from "../links/message.ts";
import { raceAbort } from "../support/abort.ts";
import type { Clock } from "../support/clock.ts";
import type { Claim, ClaimResult } from "./claim.ts";
import type { ClaimRegister } from "./claim_registry.ts";
import { IssuerLostError } from "./issued_keys.ts";
import { LedgerUnavailableError } from "./ledger_router.ts";
import type {
  ClaimOperation,
  LedgerOperation,
  LedgerReply,
} from "./ledger_operation.ts";
import { type ClaimHolder, RecordedOutcome } from "./ledger_state.ts";

/// Follows a claim that another try holds until its outcome is known. It is
/// taken over only when its own entry says that it will never be sent.

export interface ClaimFollowerOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// The claims of this VM, which other VMs may ask after.
  readonly register: ClaimRegister;
  readonly submitNow: (
    claim: Claim,
    operation: LedgerOperation,
    signal: AbortSignal,
  ) => Promise<LedgerReply>;
}

export interface FollowedClaim {
  readonly claim: Claim;
  readonly operation: ClaimOperation;
  readonly signal: AbortSignal;
}

export interface ClaimFollower {
  /// Turns the ledger's reply into a result, waiting for another try if need
  /// be.
  follow(followed: FollowedClaim, reply: LedgerReply): Promise<ClaimResult>;
}

const ASK_WAIT_MILLISECONDS = 1_000;
const ASK_TIMEOUT_MILLISECONDS = 2_000;
/// How long an entry that can't be reached may still record an outcome.
const UNREACHABLE_WAIT_MILLISECONDS = 3_000;
const REREAD_INTERVAL_MILLISECONDS = 500;

const HolderState = Type.Union([
  Type.Object({ kind: Type.Literal("running") }),
  Type.Object({ kind: Type.Literal("abandoned") }),
  Type.Object({ kind: Type.Literal("finished"), outcome: RecordedOutcome }),
  /// It was sent and its outcome is unknown, or it has been forgotten.
  Type.Object({ kind: Type.Literal("unknown") }),
]);
type HolderState =
  | { readonly kind: "running" | "abandoned" | "unknown" }
  | { readonly kind: "finished"; readonly outcome: RecordedOutcome };

const AskHolder = defineCall("ledger.askHolder", {
  request: Type.Object({ claimId: Type.String(), incarnation: Type.String() }),
  reply: HolderState,
});

export function createClaimFollower(
  options: ClaimFollowerOptions,
): ClaimFollower {
  const { clock, links, register, submitNow } = options;

  const stateHere = async (claimId: string): Promise<HolderState> => {
    const state = await register.whenFinal(claimId, ASK_WAIT_MILLISECONDS);
    switch (state?.kind) {
      case "pending":
      case "sent":
        return { kind: "running" };
      case "abandoned":
        return { kind: "abandoned" };
      case "finished":
        return { kind: "finished", outcome: state.outcome };
      default:
        return { kind: "unknown" };
    }
  };

  links.onCall(
    AskHolder,
    ({ claimId, incarnation }) =>
      incarnation === links.self.incarnation
        ? stateHere(claimId)
        : Promise.resolve({ kind: "unknown" }),
  );

  /// Undefined when the holder's entry can't be reached.
  const askHolder = async (holder: ClaimHolder, signal: AbortSignal) => {
    const { claimId, vm, incarnation } = holder;
    if (vm === links.self.vm) {
      return incarnation === links.self.incarnation
        ? await raceAbort(stateHere(claimId), signal)
        : { kind: "unknown" } as const;
    }
    try {
      const limits = { timeoutMilliseconds: ASK_TIMEOUT_MILLISECONDS };
      const asked = links.call(vm, AskHolder, { claimId, incarnation }, limits);
      return await raceAbort(asked, signal);
    } catch (error) {
      const lost = error instanceof LinkUnreachableError ||
        error instanceof LinkUnansweredError;
      if (!lost) throw error;
      return undefined;
    }
  };

  const followHolder = async (
    { claim, operation, signal }: FollowedClaim,
    first: ClaimHolder,
  ): Promise<ClaimResult> => {
    let holder = first;
    let unreachableSince: number | undefined;
    while (true) {
      const state = await askHolder(holder, signal);
      if (state?.kind === "finished") {
        return { kind: "recorded", outcome: state.outcome };
      }
      if (state?.kind === "running") {
        unreachableSince = undefined;
        continue;
      }
      const next: LedgerOperation = state?.kind === "abandoned"
        ? { ...operation, abandonedClaimId: holder.claimId }
        : { kind: "read", key: claim.key };
      let reply = await submitNow(claim, next, signal);
      if (reply.kind === "held" && reply.released) {
        reply = await submitNow(claim, operation, signal);
      }
      if (reply.kind !== "held") return toResult(reply);
      const sameHolder = reply.holder.claimId === holder.claimId;
      holder = reply.holder;
      if (!sameHolder) continue;
      if (state) return { kind: "unknown" };
      unreachableSince ??= clock.now();
      const waited = clock.now() - unreachableSince;
      if (waited >= UNREACHABLE_WAIT_MILLISECONDS) return { kind: "unknown" };
      await clock.sleep(REREAD_INTERVAL_MILLISECONDS, signal);
    }
  };

  return {
    async follow(followed, reply) {
      if (reply.kind !== "held") return toResult(reply);
      try {
        return await followHolder(followed, reply.holder);
      } catch (error) {
        const lost = error instanceof LedgerUnavailableError ||
          error instanceof IssuerLostError;
        if (lost) return { kind: "unknown" };
        throw error;
      }
    },
  };
}

function toResult(reply: LedgerReply): ClaimResult {
  switch (reply.kind) {
    case "claimed":
    case "full":
    case "differentRequest":
      return { kind: reply.kind };
    case "recorded":
      return { kind: "recorded", outcome: reply.outcome };
    default:
      return { kind: "unknown" };
  }
}
