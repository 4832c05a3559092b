import { type Static, Type } from "@sinclair/typebox";
import {
  type ActionRecord,
  ClaimHolder,
  hasCapacity,
  type LedgerState,
  RecordedOutcome,
  RecordedPlacement,
  type RetentionLimits,
} from "./ledger_state.ts";

/// Operations on a ledger shard. Each is idempotent, because it may be
/// resubmitted after its reply was lost.

const Text = Type.String({ maxLength: 256 });

const Claim = Type.Object({
  kind: Type.Literal("claim"),
  key: Text,
  keyTime: Type.Number(),
  fingerprint: Text,
  holder: ClaimHolder,
  /// A claim that, as its own VM has reported, will never be sent.
  abandonedClaimId: Type.Optional(Text),
});
const Release = Type.Object({
  kind: Type.Literal("release"),
  key: Text,
  claimId: Text,
});
const Record = Type.Object({
  kind: Type.Literal("record"),
  key: Text,
  claimId: Text,
  outcome: RecordedOutcome,
});
const Read = Type.Object({ kind: Type.Literal("read"), key: Text });
const ClaimStream = Type.Object({
  kind: Type.Literal("claimStream"),
  key: Text,
  fingerprint: Text,
  claimId: Text,
  claimedAt: Type.Number(),
});
const PlaceStream = Type.Object({
  kind: Type.Literal("placeStream"),
  key: Text,
  placement: RecordedPlacement,
});
const FinishStream = Type.Object({
  kind: Type.Literal("finishStream"),
  key: Text,
  attempt: Type.Integer(),
});

export const LedgerOperation = Type.Union([
  Claim,
  Release,
  Record,
  Read,
  ClaimStream,
  PlaceStream,
  FinishStream,
]);
export type LedgerOperation = Static<typeof LedgerOperation>;
export type ClaimOperation = Static<typeof Claim>;
type StreamOperation = Static<
  typeof ClaimStream | typeof PlaceStream | typeof FinishStream
>;

const kindOnly = <Kind extends string>(kind: Kind) =>
  Type.Object({ kind: Type.Literal(kind) });

export const LedgerReply = Type.Union([
  kindOnly("claimed"),
  Type.Object({ kind: Type.Literal("recorded"), outcome: RecordedOutcome }),
  Type.Object({
    kind: Type.Literal("held"),
    holder: ClaimHolder,
    released: Type.Boolean(),
  }),
  kindOnly("differentRequest"),
  /// The key is older than the records that the ledger keeps.
  kindOnly("pruned"),
  kindOnly("full"),
  kindOnly("absent"),
  kindOnly("done"),
  Type.Object({ kind: Type.Literal("started"), attempt: Type.Integer() }),
  Type.Object({
    kind: Type.Literal("takenOver"),
    attempt: Type.Integer(),
    placement: Type.Optional(RecordedPlacement),
  }),
  /// An attempt with a larger number took over.
  kindOnly("superseded"),
]);
export type LedgerReply = Static<typeof LedgerReply>;

export interface OperationResult {
  readonly changed: boolean;
  readonly reply: LedgerReply;
}

const unchanged = (reply: LedgerReply): OperationResult => ({
  changed: false,
  reply,
});
const changed = (reply: LedgerReply): OperationResult => ({
  changed: true,
  reply,
});

/// Applies one operation to `state` and may modify it.
export function applyOperation(
  state: LedgerState,
  operation: LedgerOperation,
  limits: RetentionLimits,
): OperationResult {
  const { key } = operation;
  const found = state.actions.get(key);
  switch (operation.kind) {
    case "claim":
      return found
        ? applyFurtherClaim(state, found, operation)
        : applyFirstClaim(state, operation, limits);
    case "release":
      if (found?.holder.claimId !== operation.claimId || found.outcome) {
        return unchanged({ kind: "done" });
      }
      if (found.released) return unchanged({ kind: "done" });
      state.actions.set(key, { ...found, released: true });
      return changed({ kind: "done" });
    case "record":
      if (found?.holder.claimId !== operation.claimId || found.outcome) {
        return unchanged({ kind: "done" });
      }
      state.actions.set(key, { ...found, outcome: operation.outcome });
      return changed({ kind: "done" });
    case "read":
      return unchanged(found ? toRecordReply(found) : { kind: "absent" });
    default:
      return applyStreamOperation(state, operation, limits);
  }
}

function toRecordReply(record: ActionRecord): LedgerReply {
  const { outcome, holder, released = false } = record;
  if (outcome) return { kind: "recorded", outcome };
  return { kind: "held", holder, released };
}

function applyFirstClaim(
  state: LedgerState,
  operation: ClaimOperation,
  limits: RetentionLimits,
): OperationResult {
  const { key, keyTime, fingerprint, holder } = operation;
  if (keyTime < state.prunedBefore) return unchanged({ kind: "pruned" });
  if (!hasCapacity(state, limits)) return unchanged({ kind: "full" });
  state.actions.set(key, { holder, fingerprint, keyTime });
  return changed({ kind: "claimed" });
}

function applyFurtherClaim(
  state: LedgerState,
  found: ActionRecord,
  operation: ClaimOperation,
): OperationResult {
  const { key, keyTime, fingerprint, holder } = operation;
  if (found.fingerprint !== fingerprint) {
    return unchanged({ kind: "differentRequest" });
  }
  if (found.outcome) return unchanged(toRecordReply(found));
  const { claimId } = found.holder;
  const isAvailable = found.released || claimId === operation.abandonedClaimId;
  if (isAvailable && claimId !== holder.claimId) {
    state.actions.set(key, { holder, fingerprint, keyTime });
    return changed({ kind: "claimed" });
  }
  return unchanged(
    claimId === holder.claimId && !found.released
      ? { kind: "claimed" }
      : toRecordReply(found),
  );
}

function applyStreamOperation(
  state: LedgerState,
  operation: StreamOperation,
  limits: RetentionLimits,
): OperationResult {
  const { key } = operation;
  const found = state.streams.get(key);
  if (operation.kind === "claimStream") {
    const { fingerprint, claimId, claimedAt } = operation;
    if (found && found.fingerprint !== fingerprint) {
      return unchanged({ kind: "differentRequest" });
    }
    if (found?.claimId === claimId) return unchanged(toStreamReply(found));
    if (!found && !hasCapacity(state, limits)) {
      return unchanged({ kind: "full" });
    }
    const claimed = {
      fingerprint,
      claimId,
      attempt: (found?.attempt ?? 0) + 1,
      running: true,
      takenOver: found?.running ?? false,
      placement: found?.running ? found.placement : undefined,
      claimedAt,
    };
    state.streams.set(key, claimed);
    return changed(toStreamReply(claimed));
  }
  const attempt = operation.kind === "placeStream"
    ? operation.placement.attempt
    : operation.attempt;
  if (found?.attempt !== attempt) return unchanged({ kind: "superseded" });
  if (operation.kind === "placeStream") {
    state.streams.set(key, { ...found, placement: operation.placement });
    return changed({ kind: "done" });
  }
  if (!found.running) return unchanged({ kind: "done" });
  const { placement: _placement, ...rest } = found;
  state.streams.set(key, { ...rest, running: false });
  return changed({ kind: "done" });
}

function toStreamReply(
  record: { attempt: number; takenOver: boolean; placement?: unknown },
): LedgerReply {
  const { attempt, takenOver } = record;
  if (!takenOver) return { kind: "started", attempt };
  const placement = record.placement as
    | Static<typeof RecordedPlacement>
    | undefined;
  return { kind: "takenOver", attempt, placement };
}
