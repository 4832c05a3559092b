import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { SheetHead } from "./sheet_head.ts";
import type { SheetStore } from "./sheet_store.ts";

/// Takes new heads from the store. Two VMs of each data centre watch it; the
/// others only read the head now and then, should the links be mute.

/// VMs of a data centre that watch the store.
const WATCHERS_PER_DATA_CENTRE = 2;
const ROLE_CHECK_MILLISECONDS = 1_000;
/// Pause before a broken watch is started again.
const RETRY_MILLISECONDS = 300;
/// Interval at which a watcher also reads the head, should its watch be mute.
const WATCHER_READ_MILLISECONDS = 2_000;
const OTHER_READ_MILLISECONDS = 30_000;

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
  /// Whether the store was asked at least once, and whether it answered.
  readonly asked: boolean;
  readonly answered: boolean;
}

export function startSheetWatch(options: SheetWatchOptions): SheetWatch {
  const { clock, random, log, links, sheets, signal, onHead } = options;
  const state = { asked: false, answered: false };

  const pause = (delay: Milliseconds) =>
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
      state.answered = true;
    } catch (error) {
      log.warn("sheet head unreadable", { reason: (error as Error).message });
    }
    state.asked = true;
  };

  const watch = async (ended: AbortSignal) => {
    while (!ended.aborted) {
      try {
        for await (const head of sheets.watchHeads(ended)) onHead(head);
      } catch (error) {
        log.warn("sheet watch broke", { reason: (error as Error).message });
      }
      await pause(RETRY_MILLISECONDS);
    }
  };

  const watchWhileChosen = async () => {
    const dismissed = new AbortController();
    const watching = watch(AbortSignal.any([signal, dismissed.signal]));
    while (!signal.aborted && isWatcher()) {
      await pause(ROLE_CHECK_MILLISECONDS);
    }
    dismissed.abort(new Error("no watcher any more"));
    await watching;
  };

  const followRole = async () => {
    while (!signal.aborted) {
      if (isWatcher()) await watchWhileChosen();
      await pause(ROLE_CHECK_MILLISECONDS);
    }
  };

  const readRegularly = async () => {
    while (!signal.aborted) {
      await readHead();
      let waited = 0;
      const longest = OTHER_READ_MILLISECONDS * (1 + random.next());
      while (!signal.aborted && waited < longest) {
        await pause(WATCHER_READ_MILLISECONDS);
        waited += WATCHER_READ_MILLISECONDS;
        if (isWatcher() || !state.answered) break;
      }
    }
  };

  void followRole();
  void readRegularly();
  return state;
}
