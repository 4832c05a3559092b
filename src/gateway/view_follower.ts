import {
  type KeyValueStore,
  StoreCompactedError,
  type WatchEvent,
} from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { FleetDocuments } from "./dialect.ts";
import type { FleetView } from "./fleet_view.ts";
import type { VmDirectory } from "./vm_directory.ts";

/// Keeps the view up to date from the store: reads everything once, then
/// follows the changes, and starts over when it missed some.

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

export interface ViewFollowerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly documents: FleetDocuments;
  readonly view: FleetView;
  readonly vms: VmDirectory;
  readonly onConnected: (isConnected: boolean) => void;
}

export interface ViewFollower {
  isConnected(): boolean;
  /// Drops the current watch and asks the store anew if it may have gone
  /// silent, because another VM knows of changes that it has not brought.
  refresh(): void;
  close(): void;
}

export function startViewFollower(options: ViewFollowerOptions): ViewFollower {
  const { clock, log, store, documents, view, vms } = options;
  const stop = new AbortController();
  let current = new AbortController();
  /// Store revision up to which changes have been followed; undefined if
  /// everything has to be read.
  let followed: number | undefined;
  let isConnected = false;
  let lostAt: Milliseconds | undefined = clock.now();
  let pause = FIRST_PAUSE_MILLISECONDS;
  let heardAt: Milliseconds = clock.now();

  const noteAnswer = () => {
    heardAt = clock.now();
    pause = FIRST_PAUSE_MILLISECONDS;
    if (isConnected) return;
    isConnected = true;
    const away = lostAt === undefined ? 0 : clock.now() - lostAt;
    lostAt = undefined;
    if (away > LAPSE_MILLISECONDS) view.noteStoreReturn();
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

  const takeValue = (key: string, value: Uint8Array, revision: number) => {
    const source = { kind: "store" as const, revision };
    if (key === documents.configurationKey) {
      try {
        view.setConfiguration(documents.readConfiguration(value), source);
      } catch (error) {
        log.warn("configuration not readable", {
          reason: (error as Error).message,
          revision,
        });
      }
      return;
    }
    if (vms.take(key, value)) return;
    if (!key.startsWith(documents.upstreamPrefix)) return;
    const upstream = documents.readUpstream(key, value);
    if (upstream) return view.setUpstream(upstream, source);
    log.warn("entry names no upstream", { key, revision });
    view.removeUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  const takeEvent = ({ kind, value }: WatchEvent) => {
    const { key, modifiedRevision: revision } = value;
    followed = Math.max(followed ?? 0, revision);
    // A peer may have told of a later state already.
    if (revision > view.revision()) {
      if (kind === "put") takeValue(key, value.value, revision);
      else if (key.startsWith(documents.upstreamPrefix)) {
        const id = key.slice(documents.upstreamPrefix.length);
        view.removeUpstream(id, { kind: "store", revision });
      }
      if (isShared(key)) view.advance(revision);
    } else if (kind === "put") vms.take(key, value.value);
    if (kind === "delete") vms.remove(key);
  };

  const isShared = (key: string) =>
    key === documents.configurationKey ||
    key.startsWith(documents.upstreamPrefix);

  const readAll = async (signal: AbortSignal) => {
    const { values, revision } = await store.range(EVERY_KEY, { signal });
    noteAnswer();
    const shared = values.filter(({ key }) => isShared(key));
    const source = { kind: "store" as const, revision };
    if (revision >= view.revision()) {
      const upstreams = shared.flatMap(({ key, value }) => {
        if (key === documents.configurationKey) return [];
        return documents.readUpstream(key, value) ?? [];
      });
      const configuration = shared.find(({ key }) =>
        key === documents.configurationKey
      );
      if (configuration) {
        takeValue(
          configuration.key,
          configuration.value,
          configuration.modifiedRevision,
        );
      }
      view.setUpstreams(upstreams, source);
      view.advance(
        Math.max(0, ...shared.map(({ modifiedRevision }) => modifiedRevision)),
      );
    }
    vms.replaceAll(values);
    followed = revision;
    log.info("view read", { revision, upstreams: view.upstreams().length });
  };

  const follow = async () => {
    current = new AbortController();
    const signal = AbortSignal.any([stop.signal, current.signal]);
    if (followed === undefined) await readAll(signal);
    for await (const event of store.watch(EVERY_KEY, followed!, signal)) {
      noteAnswer();
      takeEvent(event);
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      try {
        await follow();
      } catch (error) {
        if (stop.signal.aborted) return;
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
    close: () => stop.abort(new Error("closed")),
  };
}
