import {
  type Comparison,
  type KeyValueStore,
  type StoredValue,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
  type TransactionResult,
  type WatchEvent,
  type WriteOperation,
} from "../src/infrastructure/key_value_store.ts";
import type { Clock, Timer } from "../src/support/clock.ts";

/// In-memory stand-in for the platform's key-value service, with failures that
/// tests enable.

export interface StoreCounters {
  reads: number;
  writes: number;
  watches: number;
  largestValueBytes: number;
}

export interface MemoryStore {
  readonly counters: StoreCounters;
  /// Returns a client of the store. A store may have several clients.
  connect(): KeyValueStore;
  /// While down, every call fails; open watches fail at once.
  setDown(down: boolean): void;
  /// Delays every call by this time.
  setLatency(milliseconds: number): void;
  /// The next `count` writes take effect, but their responses are lost.
  loseAnswers(count: number): void;
  /// The next `count` writes are refused without effect.
  refuseWrites(count: number): void;
  /// Limits the writes per second; writes over the limit are refused.
  setWriteLimit(writesPerSecond: number): void;
  /// While enabled, reads return the values as of the time of enabling.
  setStaleReads(stale: boolean): void;
  /// Returns the current value of a key, without latency or failures.
  peek(key: string): StoredValue | undefined;
}

interface Watcher {
  readonly prefix: string;
  pending: WatchEvent[];
  wake: () => void;
  broken: boolean;
}

interface LeaseRecord {
  readonly seconds: number;
  timer: Timer;
}

const MAXIMUM_VALUE_BYTES = 1_048_576;
const MAXIMUM_HISTORY_EVENTS = 10_000;

export function createMemoryStore(clock: Clock): MemoryStore {
  const values = new Map<string, StoredValue>();
  const leases = new Map<string, LeaseRecord>();
  const watchers = new Set<Watcher>();
  const history: WatchEvent[] = [];
  const counters: StoreCounters = {
    reads: 0,
    writes: 0,
    watches: 0,
    largestValueBytes: 0,
  };
  let revision = 0;
  let staleReads: ReadonlyMap<string, StoredValue> | undefined;
  let nextLease = 1;
  let isDown = false;
  let latencyMilliseconds = 0;
  let answersToLose = 0;
  let writesToRefuse = 0;
  let writeLimit = Infinity;
  let writeWindowStart = 0;
  let writesInWindow = 0;

  const emit = (event: WatchEvent) => {
    history.push(event);
    if (history.length > MAXIMUM_HISTORY_EVENTS) history.shift();
    for (const watcher of watchers) {
      if (!event.value.key.startsWith(watcher.prefix)) continue;
      watcher.pending.push(event);
      watcher.wake();
    }
  };

  const remove = (key: string) => {
    const value = values.get(key);
    if (!value) return;
    values.delete(key);
    emit({ kind: "delete", value: { ...value, modifiedRevision: revision } });
  };

  const expire = (lease: string) => {
    leases.delete(lease);
    revision++;
    for (const value of [...values.values()]) {
      if (value.lease === lease) remove(value.key);
    }
  };

  const scheduleExpiry = (lease: string, seconds: number) =>
    clock.schedule(seconds * 1_000, () => expire(lease));

  const commit = (
    comparisons: readonly Comparison[],
    operations: readonly WriteOperation[],
  ): TransactionResult => {
    const conditionsHold = comparisons.every((comparison) => {
      const current = values.get(comparison.key)?.modifiedRevision ?? 0;
      return current === comparison.modifiedRevision;
    });
    if (!conditionsHold) return { succeeded: false, revision };
    revision++;
    for (const operation of operations) apply(operation);
    return { succeeded: true, revision };
  };

  const apply = (operation: WriteOperation) => {
    const { key } = operation;
    if (operation.kind === "delete") return remove(key);
    const lease = operation.lease ?? "0";
    const { value } = operation;
    counters.largestValueBytes = Math.max(
      counters.largestValueBytes,
      value.length,
    );
    const stored = { key, value, modifiedRevision: revision, lease };
    values.set(key, stored);
    emit({ kind: "put", value: stored });
  };

  const beginCall = async () => {
    if (latencyMilliseconds > 0) await clock.sleep(latencyMilliseconds);
    else await Promise.resolve();
    if (isDown) throw new StoreUnavailableError("the store is down");
  };

  const beginRead = async () => {
    counters.reads++;
    await beginCall();
  };

  const beginWrite = async () => {
    counters.writes++;
    await beginCall();
    if (writesToRefuse > 0) {
      writesToRefuse--;
      throw new StoreUnavailableError("write refused");
    }
    if (clock.now() - writeWindowStart >= 1_000) {
      writeWindowStart = clock.now();
      writesInWindow = 0;
    }
    if (++writesInWindow > writeLimit) {
      throw new StoreUnavailableError("too many writes");
    }
  };

  const failIfAnswerLost = () => {
    if (answersToLose === 0) return;
    answersToLose--;
    throw new StoreOutcomeUnknownError("the answer was lost");
  };

  const checkValueSizes = (operations: readonly WriteOperation[]) => {
    const oversize = operations.some((operation) =>
      operation.kind === "put" && operation.value.length > MAXIMUM_VALUE_BYTES
    );
    if (oversize) throw new StoreUnavailableError("value too large");
  };

  async function* watch(prefix: string, after: number, signal: AbortSignal) {
    counters.watches++;
    await beginRead();
    const watcher: Watcher = {
      prefix,
      pending: history.filter((event) =>
        event.value.modifiedRevision > after &&
        event.value.key.startsWith(prefix)
      ),
      wake: () => {},
      broken: false,
    };
    watchers.add(watcher);
    const wake = () => watcher.wake();
    signal.addEventListener("abort", wake);
    try {
      while (!signal.aborted) {
        if (watcher.broken) throw new StoreUnavailableError("watch broken");
        const events = watcher.pending;
        watcher.pending = [];
        yield* events;
        if (watcher.pending.length > 0) continue;
        await new Promise<void>((resolve) => {
          watcher.wake = resolve;
          if (signal.aborted || watcher.broken) resolve();
        });
      }
    } finally {
      signal.removeEventListener("abort", wake);
      watchers.delete(watcher);
    }
  }

  const connect = (): KeyValueStore => ({
    async get(key) {
      await beginRead();
      return (staleReads ?? values).get(key);
    },
    async range(prefix) {
      await beginRead();
      const matching = [...(staleReads ?? values).values()]
        .filter((value) => value.key.startsWith(prefix))
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return { values: matching, revision };
    },
    async transact(comparisons, operations) {
      await beginWrite();
      checkValueSizes(operations);
      const result = commit(comparisons, operations);
      failIfAnswerLost();
      return result;
    },
    async grantLease(seconds) {
      await beginWrite();
      const id = String(nextLease++);
      leases.set(id, { seconds, timer: scheduleExpiry(id, seconds) });
      return { id, timeToLiveSeconds: seconds };
    },
    async keepAlive(leaseId) {
      await beginWrite();
      const lease = leases.get(leaseId);
      if (!lease) return false;
      lease.timer.cancel();
      lease.timer = scheduleExpiry(leaseId, lease.seconds);
      return true;
    },
    async revokeLease(leaseId) {
      await beginWrite();
      leases.get(leaseId)?.timer.cancel();
      expire(leaseId);
    },
    watch,
  });

  return {
    counters,
    connect,
    setDown(value) {
      isDown = value;
      if (!isDown) return;
      for (const watcher of watchers) {
        watcher.broken = true;
        watcher.wake();
      }
    },
    setLatency: (milliseconds) => void (latencyMilliseconds = milliseconds),
    loseAnswers: (count) => void (answersToLose = count),
    refuseWrites: (count) => void (writesToRefuse = count),
    setWriteLimit: (writes) => void (writeLimit = writes),
    setStaleReads: (stale) =>
      void (staleReads = stale ? new Map(values) : undefined),
    peek: (key) => values.get(key),
  };
}
