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

/// The platform's key-value service in memory, with its faults.

export interface StoreCounters {
  reads: number;
  writes: number;
  watches: number;
  largestValueBytes: number;
}

export interface MemoryStore {
  readonly counters: StoreCounters;
  /// A client of the store. Several may share one store.
  connect(): KeyValueStore;
  /// Refuses every call until restored.
  setDown(down: boolean): void;
  /// Delays every call.
  setLatency(milliseconds: number): void;
  /// The next `count` writes take effect but their answers are lost.
  loseAnswers(count: number): void;
  /// The next `count` writes are refused without effect.
  refuseWrites(count: number): void;
  /// Writes allowed in each second; more are refused.
  setWriteLimit(writesPerSecond: number): void;
  /// While on, reads answer with what the store held when it was turned on.
  setStaleReads(stale: boolean): void;
  /// Current value of a key, without going through a client.
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
const KEPT_EVENTS = 10_000;

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
  let down = false;
  let latency = 0;
  let answersToLose = 0;
  let writesToRefuse = 0;
  let writeLimit = Infinity;
  let windowStart = 0;
  let windowWrites = 0;

  const emit = (event: WatchEvent) => {
    history.push(event);
    if (history.length > KEPT_EVENTS) history.shift();
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
    const holds = comparisons.every((comparison) => {
      const current = values.get(comparison.key)?.modifiedRevision ?? 0;
      return current === comparison.modifiedRevision;
    });
    if (!holds) return { succeeded: false, revision };
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

  const enter = async () => {
    if (latency > 0) await clock.sleep(latency);
    else await Promise.resolve();
    if (down) throw new StoreUnavailableError("the store is down");
  };

  const read = async () => {
    counters.reads++;
    await enter();
  };

  const enterWrite = async () => {
    counters.writes++;
    await enter();
    if (writesToRefuse > 0) {
      writesToRefuse--;
      throw new StoreUnavailableError("write refused");
    }
    if (clock.now() - windowStart >= 1_000) {
      windowStart = clock.now();
      windowWrites = 0;
    }
    if (++windowWrites > writeLimit) {
      throw new StoreUnavailableError("too many writes");
    }
  };

  const loseAnswer = () => {
    if (answersToLose === 0) return;
    answersToLose--;
    throw new StoreOutcomeUnknownError("the answer was lost");
  };

  const requireFitting = (operations: readonly WriteOperation[]) => {
    const oversize = operations.some((operation) =>
      operation.kind === "put" && operation.value.length > MAXIMUM_VALUE_BYTES
    );
    if (oversize) throw new StoreUnavailableError("value too large");
  };

  async function* watch(prefix: string, after: number, signal: AbortSignal) {
    counters.watches++;
    await read();
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
      await read();
      return (staleReads ?? values).get(key);
    },
    async range(prefix) {
      await read();
      const found = [...(staleReads ?? values).values()]
        .filter((value) => value.key.startsWith(prefix))
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return { values: found, revision };
    },
    async transact(comparisons, operations) {
      await enterWrite();
      requireFitting(operations);
      const result = commit(comparisons, operations);
      loseAnswer();
      return result;
    },
    async grantLease(seconds) {
      await enterWrite();
      const id = String(nextLease++);
      leases.set(id, { seconds, timer: scheduleExpiry(id, seconds) });
      return { id, timeToLiveSeconds: seconds };
    },
    async keepAlive(leaseId) {
      await enterWrite();
      const lease = leases.get(leaseId);
      if (!lease) return false;
      lease.timer.cancel();
      lease.timer = scheduleExpiry(leaseId, lease.seconds);
      return true;
    },
    async revokeLease(leaseId) {
      await enterWrite();
      leases.get(leaseId)?.timer.cancel();
      expire(leaseId);
    },
    watch,
  });

  return {
    counters,
    connect,
    setDown(value) {
      down = value;
      if (!down) return;
      for (const watcher of watchers) {
        watcher.broken = true;
        watcher.wake();
      }
    },
    setLatency: (milliseconds) => void (latency = milliseconds),
    loseAnswers: (count) => void (answersToLose = count),
    refuseWrites: (count) => void (writesToRefuse = count),
    setWriteLimit: (writes) => void (writeLimit = writes),
    setStaleReads: (stale) =>
      void (staleReads = stale ? new Map(values) : undefined),
    peek: (key) => values.get(key),
  };
}
