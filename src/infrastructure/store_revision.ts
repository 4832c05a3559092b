/// Revisions over the store's restores. A store that is restored from a copy
/// gives out revisions again and counts up its era. Here each era has a range of
/// revisions of its own, after that of the era before, so that the revisions of
/// this program never go back.

/// More than the changes of an era. Products with eras stay exact integers up to
/// era 9,000.
const REVISIONS_PER_ERA = 1_000_000_000_000;

/// A revision of the store and the era that it belongs to.
export interface EraRevision {
  readonly era: number;
  readonly revision: number;
}

/// Returns the revision that stands for a revision of the store.
export function joinEra({ era, revision }: EraRevision): number {
  return era * REVISIONS_PER_ERA + revision;
}

/// Returns the era and the revision of the store that `joined` stands for.
export function splitEra(joined: number): EraRevision {
  const revision = joined % REVISIONS_PER_ERA;
  return { era: (joined - revision) / REVISIONS_PER_ERA, revision };
}
