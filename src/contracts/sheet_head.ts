import { type Static, Type } from "@sinclair/typebox";

/// The head is a small stored value that determines which sheet is in force. It
/// references the root of the sheet's chunks, so that one conditional write
/// accepts a whole sheet.

const Acceptance = Type.Object({
  revision: Type.Integer({ minimum: 1 }),
  /// Hash of the root chunk.
  root: Type.String(),
  applyId: Type.String(),
  author: Type.String(),
  /// Milliseconds since the Unix epoch on the accepting VM's clock.
  time: Type.Number(),
});
/// One accepted apply.
export type Acceptance = Static<typeof Acceptance>;

export const SheetHead = Type.Object({
  ...Acceptance.properties,
  /// The revision that this one replaced.
  base: Type.Integer({ minimum: 0 }),
  /// Earlier acceptances, the newest first, up to
  /// `MAXIMUM_HISTORY_ENTRIES` of them.
  history: Type.Array(Acceptance),
});
export type SheetHead = Static<typeof SheetHead>;

/// Length limit of a head's history.
export const MAXIMUM_HISTORY_ENTRIES = 64;

/// Every acceptance that the head records, the newest first.
export function acceptancesOf(head: SheetHead): readonly Acceptance[] {
  const { revision, root, applyId, author, time } = head;
  return [{ revision, root, applyId, author, time }, ...head.history];
}

/// The head that follows `previous` when `next` is accepted.
export function createNextHead(
  previous: SheetHead | undefined,
  next: Omit<Acceptance, "revision">,
): SheetHead {
  const base = previous?.revision ?? 0;
  const history = previous ? acceptancesOf(previous) : [];
  return {
    ...next,
    revision: base + 1,
    base,
    history: history.slice(0, MAXIMUM_HISTORY_ENTRIES),
  };
}

/// The outcome, according to a head, of an apply to replace revision `base`.
export type ApplyOutcome = "accepted" | "pending" | "lost" | "forgotten";

/// Determines the outcome of an apply. An accepted one has revision `base + 1`.
/// "pending" means that no apply has this revision yet, "lost" that another
/// apply has it, and "forgotten" that the head's history no longer has it.
export function applyOutcomeOf(
  head: SheetHead | undefined,
  apply: { readonly applyId: string; readonly base: number },
): ApplyOutcome {
  if ((head?.revision ?? 0) <= apply.base) return "pending";
  const decided = acceptancesOf(head!).find(({ revision }) =>
    revision === apply.base + 1
  );
  if (!decided) return "forgotten";
  return decided.applyId === apply.applyId ? "accepted" : "lost";
}
