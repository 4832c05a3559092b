import { type Static, Type } from "@sinclair/typebox";

/// The small value that says which sheet is in force. It names the root of
/// the sheet's chunks, so that one guarded write accepts a whole sheet.

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
  /// Revision that it replaced.
  base: Type.Integer({ minimum: 0 }),
  /// Earlier acceptances, the newest first, up to `HISTORY_LIMIT`.
  history: Type.Array(Acceptance),
});
export type SheetHead = Static<typeof SheetHead>;

/// Earlier acceptances that a head names.
export const MAXIMUM_HISTORY_ENTRIES = 64;

/// Every acceptance that the head names, the newest first.
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

/// What a head tells of an apply that replaced revision `base`.
export type ApplyOutcome = "accepted" | "pending" | "lost" | "forgotten";

/// Finds out what became of an apply. An accepted one has revision `base + 1`,
/// so whoever holds that revision decided it: "pending" means that nobody
/// does, "lost" that another apply does, "forgotten" that the head no longer
/// says who did.
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
