import {
  type KeyValueStore,
  StoreCompactedError,
} from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { StoreReplica } from "./store_replica.ts";

/// Keeps the mirror up to date from the store: reads everything once, then
/// follows the changes, and starts over when it missed some. It may rest while
/// other VMs tell of the changes.

/// Pause after a failed call. The first tries come soon, since a single lost
/// answer is common; an outage is met with fewer calls.
const FIRST_PAUSE_MILLISECONDS: Milliseconds = 50;
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 500;
/// Outage after which the entries of living upstreams may have lapsed.
const LAPSE_MILLISECONDS: Milliseconds = 1_000;
/// Time without a change from the watch after which it may have gone silent. A
/// watch that brings changes is only late when others are ahead of it, and to
/// read everything again would make it later still.
const SILENT_WATCH_MILLISECONDS: Milliseconds = 1_500;
/// Every key that this VM follows: one watch serves them all.
const EVERY_KEY = "";

export interface StoreWatcherOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly mirror: StoreReplica;
  readonly onConnected: (isConnected: boolean) => void;
  /// Called when the store answers again after an outage in which entries may
  /// have lapsed.
  readonly onReconnected: () => void;
}

export interface StoreWatcher {
  /// Whether changes come from the store, as far as this VM knows.
  isConnected(): boolean;
  /// Whether this VM follows the store itself. One that rested reads
  /// everything again.
  setActive(isActive: boolean): void;
  /// Drops the current watch and asks the store anew if it may have gone
  /// silent, because another VM knows of changes that it has not brought.
  refresh(): void;
  close(): void;
}

export function startStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  const { clock, log, store, mirror } = options;
  const stop = new AbortController();
  let current = new AbortController();
  /// Store revision up to which changes have been followed; undefined if
  /// everything has to be read.
  let followed: number | undefined;
  let isConnected = false;
  let lostAt: Milliseconds | undefined = clock.now();
  let pause = FIRST_PAUSE_MILLISECONDS;
  let heardAt: Milliseconds = clock.now();
  let isActive = true;
  let wake = () => {};

  const noteAnswer = () => {
    heardAt = clock.now();
    pause = FIRST_PAUSE_MILLISECONDS;
    if (isConnected) return;
    isConnected = true;
    const away = lostAt === undefined ? 0 : clock.now() - lostAt;
    lostAt = undefined;
    if (away > LAPSE_MILLISECONDS) options.onReconnected();
    log.info("store connected", { away: Math.round(away) });
    options.onConnected(true);
  };

  const noteFailure = (error: Error) => {
    if (isConnected) {
      isConnected = false;
      lostAt = clock.now();
      options.onConnected(false);
      log.warn("store lost", { reason: error.message, followed });
    }
  };

  const readAll = async (signal: AbortSignal) => {
    const range = await store.range(EVERY_KEY, { signal });
    noteAnswer();
    mirror.replaceContents(range, "store");
    followed = range.revision;
    log.info("store read", {
      revision: range.revision,
      values: range.values.length,
    });
  };

  const follow = async () => {
    current = new AbortController();
    const signal = AbortSignal.any([stop.signal, current.signal]);
    if (followed === undefined) await readAll(signal);
    for await (const event of store.watch(EVERY_KEY, followed!, signal)) {
      noteAnswer();
      const revision = event.value.modifiedRevision;
      followed = Math.max(followed ?? 0, revision);
      mirror.applyChanges([event], "store");
      mirror.advanceRevision(revision);
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      if (!isActive) await new Promise<void>((resolve) => (wake = resolve));
      if (stop.signal.aborted) return;
      try {
        await follow();
      } catch (error) {
        if (stop.signal.aborted) return;
        if (!isActive) continue;
        // A watch that broke may have been silent about changes before, so
        // the state is read as a whole.
        followed = undefined;
        if (error instanceof StoreCompactedError) {
          log.info("store dropped its history");
          continue;
        }
        if (current.signal.aborted) continue;
        noteFailure(error as Error);
        await clock.sleep(pause, stop.signal).catch(() => {
          // Closed while waiting; the loop ends.
        });
        pause = Math.min(LONGEST_PAUSE_MILLISECONDS, pause * 2);
      }
    }
  };

  void run();
  return {
    isConnected: () => isConnected,
    refresh() {
      if (clock.now() - heardAt < SILENT_WATCH_MILLISECONDS) return;
      // One new try at a time, however many VMs are ahead.
      heardAt = clock.now();
      current.abort(new Error("other VMs know of more"));
    },
    setActive(next) {
      if (next === isActive) return;
      isActive = next;
      const revision = mirror.revision();
      if (!isActive) {
        log.info("store left to others", { revision });
        current.abort(new Error("other VMs follow the store"));
        isConnected = false;
        lostAt = undefined;
        return;
      }
      log.info("following the store", { revision });
      lostAt = clock.now();
      heardAt = clock.now();
      pause = FIRST_PAUSE_MILLISECONDS;
      followed = undefined;
      wake();
    },
    close() {
      stop.abort(new Error("closed"));
      wake();
    },
  };
}
