/// The platform's key-value service as this program uses it: reads, guarded
/// writes, leases and watches.

/// A stored value with the revisions of its creation and last change.
export interface StoredValue {
  readonly key: string;
  readonly value: Uint8Array;
  /// Store-wide revision of the write that made this value.
  readonly modifiedRevision: number;
  /// Lease the key is attached to, or "0".
  readonly lease: string;
}

/// Guard of a transaction: the key must have been last modified at this
/// revision. Revision 0 means that the key must not exist.
export interface Comparison {
  readonly key: string;
  readonly modifiedRevision: number;
}

/// One write of a transaction.
export type WriteOperation =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: Uint8Array;
    readonly lease?: string;
  }
  | { readonly kind: "delete"; readonly key: string };

export interface TransactionResult {
  /// Whether every comparison held and the writes were made.
  readonly succeeded: boolean;
  /// Store-wide revision after the transaction.
  readonly revision: number;
}

export interface RangeResult {
  readonly values: readonly StoredValue[];
  readonly revision: number;
}

export interface WatchEvent {
  readonly kind: "put" | "delete";
  readonly value: StoredValue;
}

export interface Lease {
  readonly id: string;
  readonly timeToLiveSeconds: number;
}

/// Limits of a call. Every call ends at its timeout.
export interface CallOptions {
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

export interface KeyValueStore {
  /// The value of `key`, or undefined. Throws `StoreUnavailableError`.
  get(key: string, options?: CallOptions): Promise<StoredValue | undefined>;
  /// Every value whose key starts with `prefix`, in key order.
  range(prefix: string, options?: CallOptions): Promise<RangeResult>;
  /// Makes all writes if all comparisons hold, else none. Throws
  /// `StoreUnavailableError` if it certainly had no effect and
  /// `StoreOutcomeUnknownError` if it may have had.
  transact(
    comparisons: readonly Comparison[],
    operations: readonly WriteOperation[],
    options?: CallOptions,
  ): Promise<TransactionResult>;
  grantLease(seconds: number, options?: CallOptions): Promise<Lease>;
  /// Renews a lease. Resolves to false when the lease has lapsed.
  keepAlive(leaseId: string, options?: CallOptions): Promise<boolean>;
  revokeLease(leaseId: string, options?: CallOptions): Promise<void>;
  /// Changes under `prefix` after `revision`, until the signal aborts. Throws
  /// `StoreUnavailableError` when the watch breaks; the caller starts again
  /// from the last revision it saw.
  watch(
    prefix: string,
    revision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent>;
}

/// How often a store that is asked for changes is asked.
export interface WatchPace {
  /// Time for which the store may hold the next call while nothing changes.
  readonly callTimeout: () => number;
  /// Pause after changes before the store is asked for more.
  readonly pause: number;
}

/// A store whose calls are counted against the deployment, and whose watches
/// are calls.
export interface LongPollingStore extends KeyValueStore {
  /// Sets the pace of watches from their next call on.
  setWatchPace(pace: WatchPace): void;
}

/// The store refused or could not be reached, and the call had no effect.
export class StoreUnavailableError extends Error {
  override readonly name: string = "StoreUnavailableError";
}

/// The store no longer has the changes behind the revision asked for: what is
/// there now has to be read as a whole.
export class StoreCompactedError extends StoreUnavailableError {
  override readonly name = "StoreCompactedError";
}

/// A write was sent and its answer never came: it may or may not have taken
/// effect.
export class StoreOutcomeUnknownError extends Error {
  override readonly name: string = "StoreOutcomeUnknownError";
}
