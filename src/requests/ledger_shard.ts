import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../infrastructure/key_value_store.ts";
import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { withTimeout } from "../support/timeout.ts";
import type { WriteRateLimiter } from "./write_rate_limiter.ts";
import {
  applyOperation,
  type LedgerOperation,
  type LedgerReply,
} from "./ledger_operation.ts";
import {
  copyState,
  decodeState,
  emptyState,
  encodeState,
  type LedgerState,
  LedgerUnreadableError,
  pruneState,
  type RetentionLimits,
} from "./ledger_state.ts";

/// Group commit of one shard: operations that are queued at the same time share
/// one guarded write.

export interface LedgerShardOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: KeyValueStore;
  /// Key of the shard's value in the store.
  readonly key: string;
  readonly limits: RetentionLimits;
  readonly rateLimiter: WriteRateLimiter;
  /// Whether no other VM is expected to write, so that the value is not read
  /// before each write.
  readonly isSoleWriter: () => boolean;
  /// Called when a write fails because of a concurrent write.
  readonly onConflict: () => void;
}

export interface LedgerShard {
  /// Resolves once the operation's effect is confirmed. Throws the store's
  /// errors and `LedgerBusyError`; the operation may still take effect later.
  submit(operation: LedgerOperation): Promise<LedgerReply>;
  /// Number of operations that are queued or being written.
  pending(): number;
}

/// The shard's queue is full.
export class LedgerBusyError extends Error {
  override readonly name = "LedgerBusyError";
}

const MAXIMUM_QUEUED_OPERATIONS = 4_096;
const MAXIMUM_BATCH_OPERATIONS = 512;
const MAXIMUM_COMMIT_ATTEMPTS = 6;
/// Maximum of the random delay after a write conflict.
const MAXIMUM_CONFLICT_DELAY_MILLISECONDS = 200;
const STORE_TIMEOUT_MILLISECONDS = 1_000;
/// Minimum mean time between two writes.
const WRITE_INTERVAL_MILLISECONDS = 500;
/// Time for which operations that no request waits for are held back, so that
/// one write commits more of them.
const BATCH_DELAY_MILLISECONDS = 250;
/// Maximum age of the keys that a shard without a stored value accepts.
const EMPTY_SHARD_KEY_AGE_MILLISECONDS = 3_600_000;

interface QueuedOperation {
  readonly operation: LedgerOperation;
  readonly resolve: (reply: LedgerReply) => void;
  readonly reject: (error: unknown) => void;
}

interface RevisionedState {
  readonly state: LedgerState;
  readonly revision: number;
}

function isUrgent({ kind }: LedgerOperation): boolean {
  return kind === "claim" || kind === "read" || kind.endsWith("Stream");
}

export function createLedgerShard(options: LedgerShardOptions): LedgerShard {
  const { clock, random, store, key, limits } = options;
  const queue: QueuedOperation[] = [];
  let beingWritten = 0;
  let running = false;
  /// The last confirmed value. The guard rejects a write that is based on an
  /// outdated one.
  let confirmed: RevisionedState | undefined;
  /// Time of the next write at the mean rate. One write that a request waits
  /// for may be made one interval earlier.
  let nextWriteAt = -Infinity;
  let urgent = 0;
  let nextDueAt = Infinity;
  let recheckDue = () => {};

  const read = async (): Promise<RevisionedState> => {
    const stored = await withTimeout(
      store.get(key, { timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS }),
      {
        clock,
        limit: STORE_TIMEOUT_MILLISECONDS,
        onTimeout: () => new StoreUnavailableError("read timed out"),
      },
    );
    if (stored) {
      const { value, modifiedRevision } = stored;
      return { state: decodeState(value), revision: modifiedRevision };
    }
    const oldest = clock.wallTime() - EMPTY_SHARD_KEY_AGE_MILLISECONDS;
    return { state: emptyState(oldest), revision: 0 };
  };

  /// Resolves to the revision written, or to undefined after a conflict.
  const write = async (state: LedgerState, revision: number) => {
    const put = { kind: "put", key, value: encodeState(state) } as const;
    nextWriteAt = Math.max(nextWriteAt, clock.now()) +
      WRITE_INTERVAL_MILLISECONDS;
    const result = await withTimeout(
      store.transact([{ key, modifiedRevision: revision }], [put], {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      }),
      {
        clock,
        limit: STORE_TIMEOUT_MILLISECONDS,
        onTimeout: () => new StoreOutcomeUnknownError("write timed out"),
      },
    );
    return result.succeeded ? result.revision : undefined;
  };

  const applyAll = (state: LedgerState, batch: readonly QueuedOperation[]) => {
    const draft = copyState(pruneState(state, limits, clock.wallTime()));
    const results = batch.map(({ operation }) =>
      applyOperation(draft, operation, limits)
    );
    return { draft, results, changed: results.some((item) => item.changed) };
  };

  const allowedAt = (hasUrgent: boolean) =>
    hasUrgent ? nextWriteAt - WRITE_INTERVAL_MILLISECONDS : nextWriteAt;

  const waitUntilAllowed = async () => {
    const wait = allowedAt(true) - clock.now();
    if (wait > 0) await clock.sleep(wait);
    await options.rateLimiter.acquire();
  };

  const commit = async (
    batch: readonly QueuedOperation[],
  ): Promise<LedgerReply[]> => {
    const mustRead = batch.some(({ operation }) => operation.kind === "read");
    if (mustRead || !options.isSoleWriter()) confirmed = undefined;
    for (let attempts = 0; attempts < MAXIMUM_COMMIT_ATTEMPTS; attempts++) {
      const base = confirmed ?? await read();
      confirmed = base;
      const { draft, results, changed } = applyAll(base.state, batch);
      if (!changed) return results.map((result) => result.reply);
      await waitUntilAllowed();
      confirmed = undefined;
      try {
        const revision = await write(draft, base.revision);
        if (revision !== undefined) {
          confirmed = { state: draft, revision };
          return results.map((result) => result.reply);
        }
        options.onConflict();
        await clock.sleep(random.next() * MAXIMUM_CONFLICT_DELAY_MILLISECONDS);
      } catch (error) {
        // The next attempt reads the shard again. Either it contains this
        // write, or the next write's success makes this write's guard fail.
        if (!(error instanceof StoreOutcomeUnknownError)) throw error;
      }
    }
    throw new StoreOutcomeUnknownError("too many write attempts");
  };

  const commitNext = async () => {
    const batch = queue.splice(0, MAXIMUM_BATCH_OPERATIONS);
    urgent = queue.filter((item) => isUrgent(item.operation)).length;
    nextDueAt = queue.length > 0 ? clock.now() : Infinity;
    beingWritten = batch.length;
    try {
      const replies = await commit(batch);
      batch.forEach(({ resolve }, index) => resolve(replies[index]!));
    } catch (thrown) {
      const error = thrown instanceof LedgerUnreadableError
        ? new StoreUnavailableError(thrown.message, { cause: thrown })
        : thrown;
      batch.forEach(({ reject }) => reject(error));
    } finally {
      beingWritten = 0;
    }
  };

  /// Resolves when a write is due and the rate allows it.
  const waitUntilDue = () =>
    new Promise<void>((resolve) => {
      let timer = { cancel: () => {} };
      const check = () => {
        timer.cancel();
        const dueAt = Math.max(allowedAt(urgent > 0), nextDueAt);
        const wait = dueAt - clock.now();
        if (wait > 0) timer = clock.schedule(wait, check);
        else {
          recheckDue = () => {};
          resolve();
        }
      };
      recheckDue = check;
      check();
    });

  const processQueue = async () => {
    running = true;
    while (queue.length > 0) {
      await waitUntilDue();
      await commitNext();
    }
    running = false;
  };

  return {
    submit(operation) {
      if (queue.length >= MAXIMUM_QUEUED_OPERATIONS) {
        return Promise.reject(
          new LedgerBusyError("ledger shard queue is full"),
        );
      }
      const delay = isUrgent(operation) ? 0 : BATCH_DELAY_MILLISECONDS;
      if (isUrgent(operation)) urgent++;
      nextDueAt = Math.min(nextDueAt, clock.now() + delay);
      return new Promise((resolve, reject) => {
        queue.push({ operation, resolve, reject });
        if (running) recheckDue();
        else void processQueue();
      });
    },
    pending: () => queue.length + beingWritten,
  };
}
