/// The operations of the platform's key-value store that this program uses:
/// reads, conditional writes, leases and watches.

/// A stored value with the revision of its last change.
export interface StoredValue {
  readonly key: string;
  readonly value: Uint8Array;
  /// Store-wide revision of the write that set this value. Revisions also
  /// increase when the store is restored from an earlier copy.
  readonly modifiedRevision: number;
  /// Lease that the key is attached to, or "0" for none.
  readonly lease: string;
}

/// Condition of a transaction: the key's last change must have this revision.
/// Revision 0 requires that the key doesn't exist.
export interface Comparison {
  readonly key: string;
  readonly modifiedRevision: number;
}

/// A write of a transaction.
export type WriteOperation =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: Uint8Array;
    readonly lease?: string;
  }
  | { readonly kind: "delete"; readonly key: string };

export interface TransactionResult {
  /// Whether all comparisons succeeded, so that the writes were made.
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

/// Options of a call. A call without a timeout gets a default one.
export interface CallOptions {
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

export interface KeyValueStore {
  /// Returns the value of `key`, or undefined. Throws `StoreUnavailableError`.
  get(key: string, options?: CallOptions): Promise<StoredValue | undefined>;
  /// Returns all values whose keys start with `prefix`, in key order.
  range(prefix: string, options?: CallOptions): Promise<RangeResult>;
  /// Makes all writes if all comparisons succeed, otherwise none. Throws
  /// `StoreUnavailableError` if the transaction certainly had no effect and
  /// `StoreOutcomeUnknownError` if it may have had one.
  transact(
    comparisons: readonly Comparison[],
    operations: readonly WriteOperation[],
    options?: CallOptions,
  ): Promise<TransactionResult>;
  grantLease(seconds: number, options?: CallOptions): Promise<Lease>;
  /// Renews a lease. Resolves to false if the lease has expired.
  keepAlive(leaseId: string, options?: CallOptions): Promise<boolean>;
  revokeLease(leaseId: string, options?: CallOptions): Promise<void>;
  /// Yields the changes under `prefix` after `revision`, until the signal
  /// aborts. Throws `StoreUnavailableError` if the watch fails; the caller then
  /// starts a new watch from the last revision that it received.
  watch(
    prefix: string,
    revision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent>;
}

/// Timing of the calls of a watch, which are long polls.
export interface WatchPace {
  /// Returns the time in milliseconds after which the store responds to the next
  /// call if nothing has changed.
  readonly watchTimeout: () => number;
  /// Pause in milliseconds between a response with changes and the next call.
  readonly callPause: number;
}

/// A store whose watches are long polls. The platform counts all calls of the
/// deployment, including these polls.
export interface LongPollingStore extends KeyValueStore {
  /// Sets the timing of watches from their next call on.
  setWatchPace(pace: WatchPace): void;
}

/// The store rejected the call or was unreachable, and the call had no effect.
export class StoreUnavailableError extends Error {
  override readonly name: string = "StoreUnavailableError";
}

/// The store no longer has the changes after the requested revision. The caller
/// has to read the current contents in full.
export class StoreCompactedError extends StoreUnavailableError {
  override readonly name = "StoreCompactedError";
}

/// A write was sent and no response was received. It may or may not have taken
/// effect.
export class StoreOutcomeUnknownError extends Error {
  override readonly name: string = "StoreOutcomeUnknownError";
}
