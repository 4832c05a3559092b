import type {
  RangeResult,
  StoredValue,
  WatchEvent,
} from "../infrastructure/key_value_store.ts";

/// This VM's replica of the store's contents, kept up to date from the store
/// and from other VMs. Each key has the revision of its last change, so that
/// changes may arrive more than once, out of order and from several sources.

/// Deletions that are kept. A VM that is further behind is sent the full
/// contents.
const MAXIMUM_TOMBSTONES = 1_024;
const EMPTY_VALUE = new Uint8Array();

/// Where changes come from: the store itself, or another VM.
export type ChangeSource = "store" | { readonly peer: string };

/// The changes after one revision, up to another.
export interface ReplicaChanges {
  readonly from: number;
  readonly to: number;
  /// Whether these are the full contents, so that all other keys were deleted.
  readonly isWhole: boolean;
  readonly events: readonly WatchEvent[];
}

export interface StoreReplica {
  /// Revision up to which every change has been applied; 0 if the replica is
  /// empty.
  revision(): number;
  /// Applies changes. Earlier changes may be missing.
  applyChanges(events: readonly WatchEvent[], source: ChangeSource): void;
  /// Records that every change up to `revision` has been applied.
  advanceRevision(revision: number): void;
  /// Applies the full contents of the store at one revision. Newer changes that
  /// were applied before are kept.
  replaceContents(range: RangeResult, source: ChangeSource): void;
  /// Returns the last change of each key that changed after `revision`, or the
  /// full contents if deletions since then are no longer kept.
  changesSince(revision: number): ReplicaChanges;
  /// Calls `listener` with new changes, before the revision is advanced.
  onChange(
    listener: (events: readonly WatchEvent[], source: ChangeSource) => void,
  ): void;
}

export function createStoreReplica(): StoreReplica {
  const values = new Map<string, StoredValue>();
  /// Revision of each deletion by key, with the earliest entry first.
  const tombstones = new Map<string, number>();
  const listeners:
    ((events: readonly WatchEvent[], source: ChangeSource) => void)[] = [];
  let revision = 0;
  /// Revision after which every deletion is kept.
  let tombstonesSince = 0;

  const lastRevision = (key: string) =>
    values.get(key)?.modifiedRevision ?? tombstones.get(key) ?? 0;

  const addTombstone = (key: string, deletedAt: number) => {
    tombstones.delete(key);
    tombstones.set(key, deletedAt);
    if (tombstones.size <= MAXIMUM_TOMBSTONES) return;
    const [firstKey, firstDeletedAt] = tombstones.entries().next().value!;
    tombstones.delete(firstKey);
    tombstonesSince = Math.max(tombstonesSince, firstDeletedAt);
  };

  /// Returns whether the change altered the contents.
  const applyChange = ({ kind, value }: WatchEvent): boolean => {
    const { key, modifiedRevision } = value;
    if (modifiedRevision <= lastRevision(key)) return false;
    if (kind === "put") {
      tombstones.delete(key);
      values.set(key, value);
      return true;
    }
    addTombstone(key, modifiedRevision);
    return values.delete(key);
  };

  const notify = (events: readonly WatchEvent[], source: ChangeSource) => {
    if (events.length === 0) return;
    for (const listener of listeners) listener(events, source);
  };

  const deleteEvent = (key: string, deletedAt: number): WatchEvent => ({
    kind: "delete",
    value: { key, value: EMPTY_VALUE, modifiedRevision: deletedAt, lease: "0" },
  });

  return {
    revision: () => revision,
    applyChanges: (events, source) =>
      notify(events.filter(applyChange), source),
    advanceRevision: (to) => void (revision = Math.max(revision, to)),
    replaceContents(range, source) {
      const storedKeys = new Set(range.values.map(({ key }) => key));
      const puts = range.values.map((value): WatchEvent => ({
        kind: "put",
        value,
      }));
      const deletes = [...values.values()]
        .filter(({ key, modifiedRevision }) =>
          !storedKeys.has(key) && modifiedRevision <= range.revision
        )
        .map(({ key }) => deleteEvent(key, range.revision));
      const applied = [...puts, ...deletes].filter(applyChange);
      // Deletions of keys that this replica never held have no tombstone.
      if (range.revision > revision) tombstonesSince = range.revision;
      notify(applied, source);
      revision = Math.max(revision, range.revision);
    },
    changesSince(from) {
      const isWhole = from < tombstonesSince;
      const puts = [...values.values()]
        .filter(({ modifiedRevision }) => isWhole || modifiedRevision > from)
        .map((value): WatchEvent => ({ kind: "put", value }));
      const deletes = isWhole ? [] : [...tombstones]
        .filter(([, deletedAt]) => deletedAt > from)
        .map(([key, deletedAt]) => deleteEvent(key, deletedAt));
      return { from, to: revision, isWhole, events: [...puts, ...deletes] };
    },
    onChange: (listener) => void listeners.push(listener),
  };
}
