import type {
  RangeResult,
  StoredValue,
  WatchEvent,
} from "../infrastructure/key_value_store.ts";

/// What this VM knows of the store's contents, whoever told it. Each key has
/// the revision of its last change, so that news may come twice, late and from
/// several sides.

/// Deletions that are remembered. A VM that lags further behind is sent
/// everything.
const REMEMBERED_DELETIONS = 1_024;
const NO_VALUE = new Uint8Array();

export type ChangeSource = "store" | "peer";

/// The changes after one revision, up to another.
export interface ReplicaChanges {
  readonly from: number;
  readonly to: number;
  /// Whether keys that aren't named are gone.
  readonly isWhole: boolean;
  readonly events: readonly WatchEvent[];
}

export interface StoreReplica {
  /// Revision up to which every change is known; 0 if nothing is.
  revision(): number;
  /// Takes single changes, without a claim that none is missing before them.
  applyChanges(events: readonly WatchEvent[], source: ChangeSource): void;
  /// Notes that every change up to `revision` has been taken.
  advanceRevision(revision: number): void;
  /// Takes everything that there is at one revision.
  replaceContents(range: RangeResult, source: ChangeSource): void;
  /// The last change of each key that changed after `revision`.
  changesSince(revision: number): ReplicaChanges;
  /// Calls `listener` with what is new, before the revision is advanced.
  onChange(
    listener: (events: readonly WatchEvent[], source: ChangeSource) => void,
  ): void;
}

export function createStoreReplica(): StoreReplica {
  const values = new Map<string, StoredValue>();
  const deletions = new Map<string, number>();
  const listeners:
    ((events: readonly WatchEvent[], source: ChangeSource) => void)[] = [];
  let revision = 0;
  /// Revision from which on every deletion is remembered.
  let deletionsSince = 0;

  const knownRevision = (key: string) =>
    values.get(key)?.modifiedRevision ?? deletions.get(key) ?? 0;

  const remember = (key: string, at: number) => {
    deletions.delete(key);
    deletions.set(key, at);
    if (deletions.size <= REMEMBERED_DELETIONS) return;
    const [oldest, oldestAt] = deletions.entries().next().value!;
    deletions.delete(oldest);
    deletionsSince = Math.max(deletionsSince, oldestAt);
  };

  /// Returns whether the change is news.
  const takeOne = ({ kind, value }: WatchEvent): boolean => {
    const { key, modifiedRevision } = value;
    if (modifiedRevision <= knownRevision(key)) return false;
    if (kind === "put") {
      deletions.delete(key);
      values.set(key, value);
      return true;
    }
    remember(key, modifiedRevision);
    return values.delete(key);
  };

  const tell = (events: readonly WatchEvent[], source: ChangeSource) => {
    if (events.length === 0) return;
    for (const listener of listeners) listener(events, source);
  };

  const deletion = (key: string, at: number): WatchEvent => ({
    kind: "delete",
    value: { key, value: NO_VALUE, modifiedRevision: at, lease: "0" },
  });

  return {
    revision: () => revision,
    applyChanges: (events, source) => tell(events.filter(takeOne), source),
    advanceRevision: (to) => void (revision = Math.max(revision, to)),
    replaceContents(range, source) {
      const listed = new Set(range.values.map(({ key }) => key));
      const puts = range.values.map((value): WatchEvent => ({
        kind: "put",
        value,
      }));
      const gone = [...values.values()]
        .filter(({ key, modifiedRevision }) =>
          !listed.has(key) && modifiedRevision <= range.revision
        )
        .map(({ key }) => deletion(key, range.revision));
      const news = [...puts, ...gone].filter(takeOne);
      // Deletions of keys that were never known here can't be told.
      if (range.revision > revision) deletionsSince = range.revision;
      tell(news, source);
      revision = Math.max(revision, range.revision);
    },
    changesSince(from) {
      const isWhole = from < deletionsSince;
      const puts = [...values.values()]
        .filter(({ modifiedRevision }) => isWhole || modifiedRevision > from)
        .map((value): WatchEvent => ({ kind: "put", value }));
      const gone = isWhole ? [] : [...deletions]
        .filter(([, at]) => at > from)
        .map(([key, at]) => deletion(key, at));
      return { from, to: revision, isWhole, events: [...puts, ...gone] };
    },
    onChange: (listener) => void listeners.push(listener),
  };
}
