import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { ContractBook } from "./contract_book.ts";
import type { SheetHead } from "./sheet_head.ts";
import { createSheetLoader } from "./sheet_loader.ts";
import { ChunksCall, HeadCall, RevisionMessage } from "./sheet_messages.ts";
import type { AppliedSheet, SheetStore } from "./sheet_store.ts";

/// Keeps this VM on the newest accepted sheet. Two VMs of each data centre
/// watch the store; the others hear of a new revision over the links and pull
/// it. What is known only ever grows.

const RETRY_MILLISECONDS = 300;
/// Pauses in which a VM that heard of a sheet waits for a peer to hold it
/// before it reads the store itself.
const PATIENT_TRIES = 3;
const ROLE_CHECK_MILLISECONDS = 1_000;
/// VMs of a data centre that watch the store.
const WATCHERS_PER_DATA_CENTRE = 2;
/// Interval at which a watcher also reads the head, should its watch be mute.
const WATCHER_READ_MILLISECONDS = 2_000;
/// Interval at which the other VMs read the head, should the links be mute.
const OTHER_READ_MILLISECONDS = 30_000;
/// Interval at which a VM tells its revision to a few random peers.
const GOSSIP_MILLISECONDS = 1_000;
const GOSSIP_PEERS = 2;
/// Time a starting VM waits for a first peer before the store's word is enough.
const FIRST_PEER_MILLISECONDS = 500;
const START_CHECK_MILLISECONDS = 50;

export interface SheetFollowerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly sheets: SheetStore;
  readonly book: ContractBook;
}

export interface SheetFollower {
  /// Whether the newest head known to the store or to peers is in force.
  isCurrent(): boolean;
  /// The newest head known here.
  newest(): SheetHead | undefined;
  /// Learns of a sheet that was just accepted; resolves when it, or a newer
  /// one, is in force here.
  accept(applied: AppliedSheet): Promise<void>;
  /// Revision in force at each connected VM, as last heard.
  revisions(): ReadonlyMap<string, number>;
  close(): void;
}

/// The newest revision that a VM knows and the one in force there.
interface PeerState {
  readonly newest: number;
  readonly inForce: number;
}

export function startSheetFollower(
  options: SheetFollowerOptions,
): SheetFollower {
  const { clock, random, log, links, sheets, book } = options;
  const loader = createSheetLoader(options);
  const stop = new AbortController();
  /// What each connected VM said last.
  const peerStates = new Map<string, PeerState>();
  /// Incarnations whose head was asked for at the start.
  const askedPeers = new Set<string>();
  const startedAt = clock.now();
  let newest: SheetHead | undefined;
  let loading: Promise<void> | undefined;
  let pulling = false;
  let patience = 0;
  let pendingQuestions = 0;
  let askedStore = false;
  let answeredByStore = false;
  let answeredByPeer = false;
  let started = false;

  const newestRevision = () => newest?.revision ?? 0;

  const pause = (delay: Milliseconds) =>
    clock.sleep(delay, stop.signal).catch(() => {});

  const ownState = () => ({
    newest: newestRevision(),
    inForce: book.current().revision,
  });

  /// Puts the newest head in force, however often that changes meanwhile.
  const loadNewest = async () => {
    while (!stop.signal.aborted) {
      const head = newest;
      if (!head || book.current().revision >= head.revision) return;
      const holders = [...peerStates]
        .filter(([, state]) => state.inForce >= head.revision)
        .map(([vm]) => vm);
      if (holders.length === 0 && patience > 0) {
        patience--;
        await pause(RETRY_MILLISECONDS);
        continue;
      }
      try {
        const accepted = await loader.load(head, holders);
        if (stop.signal.aborted) return;
        if (book.adopt(accepted)) {
          log.info("sheet in force", { revision: accepted.revision });
          links.broadcast(RevisionMessage, ownState());
        }
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("sheet unreadable", { revision: head.revision, reason });
        await pause(RETRY_MILLISECONDS);
      }
    }
  };

  const load = () =>
    loading ??= loadNewest().finally(() => {
      loading = undefined;
    });

  const learn = (head: SheetHead) => {
    if (head.revision <= newestRevision()) return;
    newest = head;
    links.broadcast(RevisionMessage, ownState());
    void load();
  };

  const askHead = async (vm: string) => {
    pendingQuestions++;
    try {
      const { head, current } = await links.call(vm, HeadCall, {});
      if (head && head.revision > newestRevision() && !isWatcher()) {
        patience = PATIENT_TRIES;
      }
      if (head) learn(head);
      if (current) answeredByPeer = true;
    } catch {
      // A peer tells its revision again when it can be reached.
    } finally {
      pendingQuestions--;
    }
  };

  /// Asks peers, one at a time, until none is known to know more.
  const pull = async () => {
    if (pulling) return;
    pulling = true;
    while (!stop.signal.aborted) {
      const ahead = [...peerStates].find(([, state]) =>
        state.newest > newestRevision()
      );
      if (!ahead) break;
      const [vm, { newest: told }] = ahead;
      await askHead(vm);
      if (newestRevision() < told) peerStates.delete(vm);
    }
    pulling = false;
  };

  const readHead = async () => {
    try {
      const head = await sheets.readHead();
      if (head) learn(head);
      answeredByStore = true;
    } catch (error) {
      log.warn("sheet head unreadable", { reason: (error as Error).message });
    }
    askedStore = true;
  };

  const isWatcher = () => {
    const { self } = links;
    const local = links.peers()
      .filter(({ dataCentre }) => dataCentre === self.dataCentre)
      .map(({ vm }) => vm);
    const ranked = rankByRendezvous("sheet.watch", [...local, self.vm]);
    return ranked.slice(0, WATCHERS_PER_DATA_CENTRE).includes(self.vm);
  };

  const watch = async () => {
    while (!stop.signal.aborted) {
      if (isWatcher()) await watchWhileChosen();
      await pause(ROLE_CHECK_MILLISECONDS);
    }
  };

  const watchWhileChosen = async () => {
    const ended = new AbortController();
    const check = async () => {
      while (!stop.signal.aborted && isWatcher()) {
        await pause(ROLE_CHECK_MILLISECONDS);
      }
      ended.abort(new Error("no watcher any more"));
    };
    void check();
    const signal = AbortSignal.any([stop.signal, ended.signal]);
    while (!signal.aborted) {
      try {
        for await (const head of sheets.watchHeads(signal)) learn(head);
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("sheet watch broke", { reason });
      }
      await pause(RETRY_MILLISECONDS);
    }
  };

  const readRegularly = async () => {
    let last = -Infinity;
    while (!stop.signal.aborted) {
      const interval = isWatcher() || !answeredByStore
        ? WATCHER_READ_MILLISECONDS
        : OTHER_READ_MILLISECONDS * (1 + random.next());
      if (clock.now() - last >= interval) {
        last = clock.now();
        await readHead();
      }
      await pause(WATCHER_READ_MILLISECONDS);
    }
  };

  const gossip = async () => {
    while (!stop.signal.aborted) {
      const peers = [...links.peers()];
      for (let count = 0; count < GOSSIP_PEERS && peers.length > 0; count++) {
        const [peer] = peers.splice(randomInteger(random, peers.length), 1);
        links.send(peer!.vm, RevisionMessage, ownState());
      }
      await pause(GOSSIP_MILLISECONDS);
    }
  };

  const meetPeers = () => {
    const peers = links.peers();
    const connected = new Set(peers.map(({ vm }) => vm));
    for (const vm of peerStates.keys()) {
      if (!connected.has(vm)) peerStates.delete(vm);
    }
    for (const { vm, incarnation } of peers) {
      if (askedPeers.has(incarnation)) continue;
      askedPeers.add(incarnation);
      void askHead(vm);
    }
    if (!stop.signal.aborted) links.broadcast(RevisionMessage, ownState());
  };

  /// Whether everyone who can be asked has answered and the newest sheet that
  /// they know is in force.
  const hasStarted = () => {
    if (pendingQuestions > 0 || !askedStore) return false;
    const waited = clock.now() - startedAt >= FIRST_PEER_MILLISECONDS;
    const known = answeredByPeer ||
      (answeredByStore && (waited || askedPeers.size > 0));
    return known && book.current().revision >= newestRevision();
  };

  const isCurrent = () => {
    started ||= hasStarted();
    return started;
  };

  /// Settles the start; peers that had not caught up are asked again.
  const start = async () => {
    let asked = clock.now();
    while (!stop.signal.aborted && !isCurrent()) {
      await pause(START_CHECK_MILLISECONDS);
      if (answeredByPeer || clock.now() - asked < GOSSIP_MILLISECONDS) continue;
      asked = clock.now();
      for (const { vm } of links.peers()) void askHead(vm);
    }
  };

  links.onMessage(RevisionMessage, (state, from) => {
    peerStates.set(from.vm, state);
    void pull();
  });
  links.onCall(
    HeadCall,
    () => Promise.resolve({ head: newest, current: isCurrent() }),
  );
  links.onCall(
    ChunksCall,
    ({ hashes }) => Promise.resolve({ chunks: loader.held(hashes) }),
  );
  links.onPeersChange(meetPeers);
  meetPeers();
  void start();
  void watch();
  void readRegularly();
  void gossip();

  return {
    isCurrent,
    newest: () => newest,
    async accept({ head, chunks }) {
      patience = 0;
      loader.add(chunks);
      learn(head);
      await load();
    },
    revisions: () =>
      new Map([...peerStates].map(([vm, { inForce }]) => [vm, inForce])),
    close: () => stop.abort(new Error("closed")),
  };
}
