import {
  type KeyValueStore,
  StoreCompactedError,
} from "../infrastructure/key_value_store.ts";
import { splitEra } from "../infrastructure/store_revision.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { StoreReplica } from "./store_replica.ts";

/// Keeps the replica up to date from the store: reads the full contents once,
/// then watches for changes, and starts again when it may have missed some. It
/// can be inactive while other VMs send the changes.

/// Delay after a failed call. The first retries follow quickly, since a single
/// lost response is common. The delay grows to limit the calls in an outage.
const INITIAL_RETRY_DELAY_MILLISECONDS: Milliseconds = 50;
const MAXIMUM_RETRY_DELAY_MILLISECONDS: Milliseconds = 500;
/// Outage after which the entries of running upstreams may have expired.
const ENTRY_EXPIRY_MILLISECONDS: Milliseconds = 1_000;
/// Time without a change after which the watch may have stalled. A watch that
/// delivers changes while other VMs are ahead of it is only late, and reading
/// the full contents again would delay it further.
const STALLED_WATCH_MILLISECONDS: Milliseconds = 1_500;
/// Pause between the first read and the first watch of a process. VMs that start
/// together each make a change, which would end all of their watches. A VM that
/// finds VMs that follow the store for it in this time needs no watch at all.
const FIRST_WATCH_DELAY_MILLISECONDS: Milliseconds = 1_000;
/// The prefix of all keys: one watch covers every key that this VM follows.
const ALL_KEYS_PREFIX = "";

export interface StoreWatcherOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly replica: StoreReplica;
  readonly onConnected: (isConnected: boolean) => void;
  /// Called when the store responds again after an outage in which entries may
  /// have expired, or after it was restored from a copy that lacks some.
  readonly onReconnected: () => void;
}

export interface StoreWatcher {
  /// Whether the last store call succeeded and the watcher is active.
  isConnected(): boolean;
  /// Sets whether this VM follows the store itself. When the watcher becomes
  /// active again, it reads the full contents again.
  setActive(isActive: boolean): void;
  /// Aborts the current watch and reads the store again if the watch may have
  /// stalled. Called when another VM has changes that the watch has not
  /// delivered.
  refresh(): void;
  close(): void;
}

export function startStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  const { clock, log, store, replica } = options;
  const stop = new AbortController();
  let watchAbort = new AbortController();
  /// Store revision up to which changes have been received; undefined if the
  /// full contents have to be read.
  let followed: number | undefined;
  let knownEra: number | undefined;
  let isConnected = false;
  let disconnectedAt: Milliseconds | undefined = clock.now();
  let retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
  let lastReceivedAt: Milliseconds = clock.now();
  let isActive = true;
  let wake = () => {};

  const recordSuccess = () => {
    lastReceivedAt = clock.now();
    retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
    if (isConnected) return;
    isConnected = true;
    const away = disconnectedAt === undefined
      ? 0
      : clock.now() - disconnectedAt;
    disconnectedAt = undefined;
    if (away > ENTRY_EXPIRY_MILLISECONDS) options.onReconnected();
    log.info("store connected", { away: Math.round(away) });
    options.onConnected(true);
  };

  const recordFailure = (error: Error) => {
    if (isConnected) {
      isConnected = false;
      disconnectedAt = clock.now();
      options.onConnected(false);
      log.warn("store lost", {
        reason: error.message,
        silentFor: Math.round(clock.now() - lastReceivedAt),
        ...splitEra(followed ?? replica.revision()),
      });
    }
  };

  const readContents = async (signal: AbortSignal) => {
    const range = await store.range(ALL_KEYS_PREFIX, { signal });
    recordSuccess();
    const { revision } = range;
    const { era } = splitEra(revision);
    if (knownEra !== undefined && era !== knownEra) {
      const known = splitEra(replica.revision());
      log.warn("store restored", {
        ...splitEra(revision),
        knownEra: known.era,
        knownRevision: known.revision,
      });
      options.onReconnected();
    }
    knownEra = era;
    replica.replaceContents(range, "store");
    followed = revision;
    log.info("store read", {
      ...splitEra(revision),
      values: range.values.length,
    });
  };

  const watchStore = async () => {
    watchAbort = new AbortController();
    const signal = AbortSignal.any([stop.signal, watchAbort.signal]);
    if (followed === undefined) {
      const isFirst = replica.revision() === 0;
      await readContents(signal);
      if (isFirst) await clock.sleep(FIRST_WATCH_DELAY_MILLISECONDS, signal);
    }
    for await (const event of store.watch(ALL_KEYS_PREFIX, followed!, signal)) {
      recordSuccess();
      const revision = event.value.modifiedRevision;
      followed = Math.max(followed ?? 0, revision);
      replica.applyChanges([event], "store");
      replica.advanceRevision(revision);
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      if (!isActive) await new Promise<void>((resolve) => (wake = resolve));
      if (stop.signal.aborted) return;
      try {
        await watchStore();
      } catch (error) {
        if (stop.signal.aborted) return;
        if (!isActive) continue;
        // A watch that failed may have missed changes before, so the full
        // contents are read again.
        followed = undefined;
        if (error instanceof StoreCompactedError) {
          log.info("store dropped its history");
          continue;
        }
        if (watchAbort.signal.aborted) continue;
        recordFailure(error as Error);
        await clock.sleep(retryDelay, stop.signal).catch(() => {
          // Aborted by close(); the loop ends.
        });
        retryDelay = Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, retryDelay * 2);
      }
    }
  };

  void run();
  return {
    isConnected: () => isConnected,
    refresh() {
      if (clock.now() - lastReceivedAt < STALLED_WATCH_MILLISECONDS) return;
      // Limits reads to one at a time, however many VMs are ahead.
      lastReceivedAt = clock.now();
      watchAbort.abort(new Error("other VMs have newer changes"));
    },
    setActive(next) {
      if (next === isActive) return;
      isActive = next;
      const known = splitEra(replica.revision());
      if (!isActive) {
        log.info("store left to others", { ...known });
        watchAbort.abort(new Error("other VMs follow the store"));
        isConnected = false;
        disconnectedAt = undefined;
        return;
      }
      log.info("following the store", { ...known });
      disconnectedAt = clock.now();
      lastReceivedAt = clock.now();
      retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
      followed = undefined;
      wake();
    },
    close() {
      stop.abort(new Error("closed"));
      wake();
    },
  };
}
