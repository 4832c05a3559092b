import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { SheetHead } from "./sheet_head.ts";
import type { SheetStore } from "./sheet_store.ts";

/// Receives new heads from the store. Two VMs of each data centre watch it. The
/// others read the head at long intervals, in case the links deliver nothing.

/// VMs of a data centre that watch the store.
const WATCHERS_PER_DATA_CENTRE = 2;
const ROLE_CHECK_INTERVAL_MILLISECONDS = 1_000;
/// Delay before a failed watch is restarted.
const RETRY_DELAY_MILLISECONDS = 300;
/// Interval at which a watcher also reads the head, in case its watch delivers
/// nothing.
const WATCHER_READ_INTERVAL_MILLISECONDS = 2_000;
/// Shortest interval at which other VMs read the head. A random part of up to
/// the same length is added.
const MINIMUM_NON_WATCHER_READ_INTERVAL_MILLISECONDS = 30_000;

export interface SheetWatchOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly sheets: SheetStore;
  /// Ends the watch.
  readonly signal: AbortSignal;
  readonly onHead: (head: SheetHead) => void;
}

export interface SheetWatch {
  /// Whether a read of the store has been attempted.
  readonly attempted: boolean;
  /// Whether a read of the store has succeeded.
  readonly replied: boolean;
}

export function startSheetWatch(options: SheetWatchOptions): SheetWatch {
  const { clock, random, log, links, sheets, signal, onHead } = options;
  const state = { attempted: false, replied: false };

  const sleep = (delay: Milliseconds) =>
    clock.sleep(delay, signal).catch(() => {});

  const isWatcher = () => {
    const { self } = links;
    const local = links.peers()
      .filter(({ dataCentre }) => dataCentre === self.dataCentre)
      .map(({ vm }) => vm);
    const ranked = rankByRendezvous("sheet.watch", [...local, self.vm]);
    return ranked.slice(0, WATCHERS_PER_DATA_CENTRE).includes(self.vm);
  };

  const readHead = async () => {
    try {
      const head = await sheets.readHead();
      if (head) onHead(head);
      state.replied = true;
    } catch (error) {
      log.warn("sheet head unreadable", { reason: (error as Error).message });
    }
    state.attempted = true;
  };

  const watch = async (ended: AbortSignal) => {
    while (!ended.aborted) {
      try {
        for await (const head of sheets.watchHeads(ended)) onHead(head);
      } catch (error) {
        log.warn("sheet watch failed", { reason: (error as Error).message });
      }
      await sleep(RETRY_DELAY_MILLISECONDS);
    }
  };

  const watchUntilRoleEnds = async () => {
    const roleEnded = new AbortController();
    const watching = watch(AbortSignal.any([signal, roleEnded.signal]));
    while (!signal.aborted && isWatcher()) {
      await sleep(ROLE_CHECK_INTERVAL_MILLISECONDS);
    }
    roleEnded.abort(new Error("this VM is no longer a watcher"));
    await watching;
  };

  const runWatcherRole = async () => {
    while (!signal.aborted) {
      if (isWatcher()) await watchUntilRoleEnds();
      await sleep(ROLE_CHECK_INTERVAL_MILLISECONDS);
    }
  };

  const readPeriodically = async () => {
    while (!signal.aborted) {
      await readHead();
      let waited = 0;
      const maximumWait = MINIMUM_NON_WATCHER_READ_INTERVAL_MILLISECONDS *
        (1 + random.next());
      while (!signal.aborted && waited < maximumWait) {
        await sleep(WATCHER_READ_INTERVAL_MILLISECONDS);
        waited += WATCHER_READ_INTERVAL_MILLISECONDS;
        if (isWatcher() || !state.replied) break;
      }
    }
  };

  void runWatcherRole();
  void readPeriodically();
  return state;
}
