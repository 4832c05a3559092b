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
import type { ClaimRegistry } from "./claim_registry.ts";
import { IssuerLostError } from "./issued_keys.ts";
import { LedgerUnavailableError } from "./ledger_router.ts";
import type {
  ClaimOperation,
  LedgerOperation,
  LedgerReply,
} from "./ledger_operation.ts";
import { type ClaimHolder, RecordedOutcome } from "./ledger_state.ts";

/// Resolves a claim of a key that another claim already holds, by waiting until
/// the outcome of the holding claim is known. The key is taken over only when
/// the holder's own VM reports that the holding claim will never be sent.

export interface ClaimResolverOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// The claims of this VM. Other VMs query their states.
  readonly registry: ClaimRegistry;
  readonly submitWithTimeout: (
    claim: Claim,
    operation: LedgerOperation,
    signal: AbortSignal,
  ) => Promise<LedgerReply>;
}

export interface SubmittedClaim {
  readonly claim: Claim;
  readonly operation: ClaimOperation;
  readonly signal: AbortSignal;
}

export interface ClaimResolver {
  /// Converts the ledger's reply to a result. If another claim holds the key,
  /// waits for its outcome.
  resolve(submitted: SubmittedClaim, reply: LedgerReply): Promise<ClaimResult>;
}

/// Time for which a query of a claim's state waits for the final state.
const LONG_POLL_MILLISECONDS = 1_000;
const HOLDER_CALL_TIMEOUT_MILLISECONDS = 2_000;
/// Time for which an unreachable holder may still record an outcome.
const HOLDER_TIMEOUT_MILLISECONDS = 3_000;
const REREAD_INTERVAL_MILLISECONDS = 500;

const HolderState = Type.Union([
  Type.Object({ kind: Type.Literal("running") }),
  Type.Object({ kind: Type.Literal("abandoned") }),
  Type.Object({ kind: Type.Literal("finished"), outcome: RecordedOutcome }),
  /// It was sent and its outcome is unknown, or the holder's VM has no entry
  /// for it any more.
  Type.Object({ kind: Type.Literal("unknown") }),
]);
type HolderState =
  | { readonly kind: "running" | "abandoned" | "unknown" }
  | { readonly kind: "finished"; readonly outcome: RecordedOutcome };

const HolderQuery = defineCall("ledger.askHolder", {
  request: Type.Object({ claimId: Type.String(), incarnation: Type.String() }),
  reply: HolderState,
});

export function createClaimResolver(
  options: ClaimResolverOptions,
): ClaimResolver {
  const { clock, links, registry, submitWithTimeout } = options;

  const localState = async (claimId: string): Promise<HolderState> => {
    const state = await registry.whenFinal(claimId, LONG_POLL_MILLISECONDS);
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
    HolderQuery,
    ({ claimId, incarnation }) =>
      incarnation === links.self.incarnation
        ? localState(claimId)
        : Promise.resolve({ kind: "unknown" }),
  );

  /// Resolves to undefined when the holder's VM is unreachable.
  const queryHolder = async (holder: ClaimHolder, signal: AbortSignal) => {
    const { claimId, vm, incarnation } = holder;
    if (vm === links.self.vm) {
      return incarnation === links.self.incarnation
        ? await raceAbort(localState(claimId), signal)
        : { kind: "unknown" } as const;
    }
    try {
      const limits = { timeoutMilliseconds: HOLDER_CALL_TIMEOUT_MILLISECONDS };
      const call = links.call(
        vm,
        HolderQuery,
        { claimId, incarnation },
        limits,
      );
      return await raceAbort(call, signal);
    } catch (error) {
      const isUnreachable = error instanceof LinkUnreachableError ||
        error instanceof LinkUnansweredError;
      if (!isUnreachable) throw error;
      return undefined;
    }
  };

  const awaitHolder = async (
    { claim, operation, signal }: SubmittedClaim,
    first: ClaimHolder,
  ): Promise<ClaimResult> => {
    let holder = first;
    let unreachableSince: number | undefined;
    while (true) {
      const state = await queryHolder(holder, signal);
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
      let reply = await submitWithTimeout(claim, next, signal);
      if (reply.kind === "held" && reply.released) {
        reply = await submitWithTimeout(claim, operation, signal);
      }
      if (reply.kind !== "held") return toResult(reply);
      const sameHolder = reply.holder.claimId === holder.claimId;
      holder = reply.holder;
      if (!sameHolder) continue;
      if (state) return { kind: "unknown" };
      unreachableSince ??= clock.now();
      const waited = clock.now() - unreachableSince;
      if (waited >= HOLDER_TIMEOUT_MILLISECONDS) return { kind: "unknown" };
      await clock.sleep(REREAD_INTERVAL_MILLISECONDS, signal);
    }
  };

  return {
    async resolve(submitted, reply) {
      if (reply.kind !== "held") return toResult(reply);
      try {
        return await awaitHolder(submitted, reply.holder);
      } catch (error) {
        const isUnavailable = error instanceof LedgerUnavailableError ||
          error instanceof IssuerLostError;
        if (isUnavailable) return { kind: "unknown" };
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
