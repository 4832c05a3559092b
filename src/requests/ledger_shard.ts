import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../infrastructure/key_value_store.ts";
import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { withTimeout } from "../support/timeout.ts";
import type { WriteBudget } from "./write_rate_limiter.ts";
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

/// Group commit of one shard: operations that wait together share one guarded
/// write.

export interface LedgerShardOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: KeyValueStore;
  /// Key of the shard's value.
  readonly key: string;
  readonly limits: RetentionLimits;
  readonly budget: WriteBudget;
  /// Whether no other VM is expected to write, so that the value need not be
  /// read before each write.
  readonly isSoleWriter: () => boolean;
  /// Counts a write that lost against another one.
  readonly onConflict: () => void;
}

export interface LedgerShard {
  /// Resolves once the operation's effect is confirmed. Throws the store's
  /// errors and `LedgerBusyError`; the effect may then still come about.
  submit(operation: LedgerOperation): Promise<LedgerReply>;
  /// Operations that wait or are being written.
  pending(): number;
}

/// Too many operations wait for the shard.
export class LedgerBusyError extends Error {
  override readonly name = "LedgerBusyError";
}

const QUEUE_LIMIT = 4_096;
const BATCH_LIMIT = 512;
const MAXIMUM_TRIES = 6;
/// Longest pause after a lost write.
const CONFLICT_DELAY_MILLISECONDS = 200;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
/// Mean time between two writes.
const WRITE_INTERVAL_MILLISECONDS = 500;
/// How long operations that nobody waits for may be held for company.
const COMPANY_MILLISECONDS = 250;
/// Age of keys that a shard without a value vouches for.
const FIRST_KEY_AGE_MILLISECONDS = 3_600_000;

interface Waiting {
  readonly operation: LedgerOperation;
  readonly resolve: (reply: LedgerReply) => void;
  readonly reject: (error: unknown) => void;
}

interface ReadState {
  readonly state: LedgerState;
  readonly revision: number;
}

function isUrgent({ kind }: LedgerOperation): boolean {
  return kind === "claim" || kind === "read" || kind.endsWith("Stream");
}

export function createLedgerShard(options: LedgerShardOptions): LedgerShard {
  const { clock, random, store, key, limits } = options;
  const queue: Waiting[] = [];
  let writing = 0;
  let running = false;
  /// The value as last confirmed. Guards refuse a write based on an old one.
  let confirmed: ReadState | undefined;
  /// When the next write is due at the mean rate. One write that somebody
  /// waits for may be made an interval early.
  let paceAt = -Infinity;
  let urgent = 0;
  let nextDueAt = Infinity;
  let wake = () => {};

  const read = async (): Promise<ReadState> => {
    const stored = await withTimeout(
      store.get(key, { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS }),
      {
        clock,
        limit: CALL_TIMEOUT_MILLISECONDS,
        onTimeout: () => new StoreUnavailableError("the read took too long"),
      },
    );
    if (stored) {
      const { value, modifiedRevision } = stored;
      return { state: decodeState(value), revision: modifiedRevision };
    }
    const oldest = clock.wallTime() - FIRST_KEY_AGE_MILLISECONDS;
    return { state: emptyState(oldest), revision: 0 };
  };

  /// Returns the revision written, or undefined after a conflict.
  const write = async (state: LedgerState, revision: number) => {
    const put = { kind: "put", key, value: encodeState(state) } as const;
    paceAt = Math.max(paceAt, clock.now()) + WRITE_INTERVAL_MILLISECONDS;
    const result = await withTimeout(
      store.transact([{ key, modifiedRevision: revision }], [put], {
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      }),
      {
        clock,
        limit: CALL_TIMEOUT_MILLISECONDS,
        onTimeout: () => new StoreOutcomeUnknownError("no answer in time"),
      },
    );
    return result.succeeded ? result.revision : undefined;
  };

  const applyAll = (state: LedgerState, batch: readonly Waiting[]) => {
    const draft = copyState(pruneState(state, limits, clock.wallTime()));
    const results = batch.map(({ operation }) =>
      applyOperation(draft, operation, limits)
    );
    return { draft, results, changed: results.some((item) => item.changed) };
  };

  const allowedAt = (isUrgent: boolean) =>
    isUrgent ? paceAt - WRITE_INTERVAL_MILLISECONDS : paceAt;

  const untilAllowed = async () => {
    const wait = allowedAt(true) - clock.now();
    if (wait > 0) await clock.sleep(wait);
    await options.budget.take();
  };

  const commit = async (batch: readonly Waiting[]): Promise<LedgerReply[]> => {
    const mustRead = batch.some(({ operation }) => operation.kind === "read");
    if (mustRead || !options.isSoleWriter()) confirmed = undefined;
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      const base = confirmed ?? await read();
      confirmed = base;
      const { draft, results, changed } = applyAll(base.state, batch);
      if (!changed) return results.map((result) => result.reply);
      await untilAllowed();
      confirmed = undefined;
      try {
        const revision = await write(draft, base.revision);
        if (revision !== undefined) {
          confirmed = { state: draft, revision };
          return results.map((result) => result.reply);
        }
        options.onConflict();
        await clock.sleep(random.next() * CONFLICT_DELAY_MILLISECONDS);
      } catch (error) {
        // The next turn reads the shard back: the write is there, or its
        // guard fails once ours has gone through.
        if (!(error instanceof StoreOutcomeUnknownError)) throw error;
      }
    }
    throw new StoreOutcomeUnknownError("too many tries");
  };

  const commitNext = async () => {
    const batch = queue.splice(0, BATCH_LIMIT);
    urgent = queue.filter((item) => isUrgent(item.operation)).length;
    nextDueAt = queue.length > 0 ? clock.now() : Infinity;
    writing = batch.length;
    try {
      const replies = await commit(batch);
      batch.forEach(({ resolve }, index) => resolve(replies[index]!));
    } catch (thrown) {
      const error = thrown instanceof LedgerUnreadableError
        ? new StoreUnavailableError(thrown.message, { cause: thrown })
        : thrown;
      batch.forEach(({ reject }) => reject(error));
    } finally {
      writing = 0;
    }
  };

  /// Resolves when the next write is allowed and one is due.
  const untilDue = () =>
    new Promise<void>((resolve) => {
      let timer = { cancel: () => {} };
      const check = () => {
        timer.cancel();
        const dueAt = Math.max(allowedAt(urgent > 0), nextDueAt);
        const wait = dueAt - clock.now();
        if (wait > 0) timer = clock.schedule(wait, check);
        else {
          wake = () => {};
          resolve();
        }
      };
      wake = check;
      check();
    });

  const run = async () => {
    running = true;
    while (queue.length > 0) {
      await untilDue();
      await commitNext();
    }
    running = false;
  };

  return {
    submit(operation) {
      if (queue.length >= QUEUE_LIMIT) {
        return Promise.reject(new LedgerBusyError("too many wait"));
      }
      const delay = isUrgent(operation) ? 0 : COMPANY_MILLISECONDS;
      if (isUrgent(operation)) urgent++;
      nextDueAt = Math.min(nextDueAt, clock.now() + delay);
      return new Promise((resolve, reject) => {
        queue.push({ operation, resolve, reject });
        if (running) wake();
        else void run();
      });
    },
    pending: () => queue.length + writing,
  };
}
