import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { ContractBook } from "./contract_book.ts";
import type { SheetHead } from "./sheet_head.ts";
import { repeatWhile } from "./repeat_while.ts";
import { createSheetLoader } from "./sheet_loader.ts";
import {
  ChunksCall,
  HeadCall,
  RevisionCall,
  RevisionMessage,
  type RevisionState,
} from "./sheet_messages.ts";
import type { AppliedSheet, SheetStore } from "./sheet_store.ts";
import { startSheetWatch } from "./sheet_watch.ts";

/// Keeps this VM on the newest accepted sheet, from the store or from peers.
/// What is known only ever grows.

const RETRY_MILLISECONDS = 300;
/// Pauses in which a VM that heard of a sheet waits for a peer to hold it
/// before it reads the store itself.
const PATIENT_TRIES = 3;
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
  /// Whether this VM has caught up since its start with the newest head known
  /// to the store or to peers.
  isCurrent(): boolean;
  /// The newest head known here.
  newest(): SheetHead | undefined;
  /// Learns of a sheet that was just accepted; resolves when it, or a newer
  /// one, is in force here.
  accept(applied: AppliedSheet): Promise<void>;
  /// Asks every connected VM for the revision in force there. One that does
  /// not answer is left out.
  fetchRevisions(): Promise<ReadonlyMap<string, number>>;
  close(): void;
}

/// Where a head came from: the store or an apply here, or else a peer.
interface Origin {
  readonly isFirstHand: boolean;
}

export function startSheetFollower(
  options: SheetFollowerOptions,
): SheetFollower {
  const { clock, random, log, links, book } = options;
  const loader = createSheetLoader(options);
  const stop = new AbortController();
  /// What each connected VM said last.
  const peerStates = new Map<string, RevisionState>();
  /// Incarnations that were asked at the start.
  const askedPeers = new Set<string>();
  const startedAt = clock.now();
  let newest: SheetHead | undefined;
  let newestIsFirstHand = false;
  let patience = 0;
  let pendingQuestions = 0;
  let answeredByPeer = false;
  let started = false;

  const newestRevision = () => newest?.revision ?? 0;

  const pause = (delay: Milliseconds) =>
    clock.sleep(delay, stop.signal).catch(() => {});

  const ownState = (): RevisionState => ({
    newest: newestRevision(),
    inForce: book.current().revision,
  });

  /// Peers that hold a revision's chunks, those of this data centre first.
  const holdersOf = (revision: number): readonly string[] => {
    const isNear = ({ dataCentre }: VmIdentity) =>
      dataCentre === links.self.dataCentre;
    return links.peers()
      .filter(({ vm }) => (peerStates.get(vm)?.inForce ?? 0) >= revision)
      .sort((left, right) => Number(isNear(right)) - Number(isNear(left)))
      .map(({ vm }) => vm);
  };

  const loadOnce = async (head: SheetHead) => {
    const holders = holdersOf(head.revision);
    if (holders.length === 0 && patience > 0) {
      patience--;
      return await pause(RETRY_MILLISECONDS);
    }
    try {
      const accepted = await loader.load(head, holders);
      if (stop.signal.aborted || !book.adopt(accepted)) return;
      log.info("sheet in force", { revision: accepted.revision });
      // The others hear it from those that had it from the store.
      if (newestIsFirstHand) links.broadcast(RevisionMessage, ownState());
    } catch (error) {
      const reason = (error as Error).message;
      log.warn("sheet unreadable", { revision: head.revision, reason });
      await pause(RETRY_MILLISECONDS);
    }
  };

  /// Puts the newest head in force, however often that changes meanwhile.
  const loading = repeatWhile(
    () => !stop.signal.aborted && book.current().revision < newestRevision(),
    () => loadOnce(newest!),
  );

  const learn = (head: SheetHead, { isFirstHand }: Origin) => {
    if (head.revision <= newestRevision()) return;
    newest = head;
    newestIsFirstHand = isFirstHand;
    patience = isFirstHand ? 0 : PATIENT_TRIES;
    void loading.run();
  };

  const askHead = async (vm: string) => {
    try {
      const { head } = await links.call(vm, HeadCall, {});
      if (head) learn(head, { isFirstHand: false });
    } catch {
      // A peer tells its revision again when it can be reached.
    }
  };

  const findPeerAhead = () =>
    [...peerStates].find(([, state]) => state.newest > newestRevision());

  /// Asks peers, one at a time, until none is known to know more.
  const pulling = repeatWhile(
    () => !stop.signal.aborted && findPeerAhead() !== undefined,
    async () => {
      const [vm, { newest: told }] = findPeerAhead()!;
      await askHead(vm);
      if (newestRevision() < told) peerStates.delete(vm);
    },
  );

  /// The revision in force at `vm`, or undefined without an answer.
  const askRevision = async (vm: string): Promise<number | undefined> => {
    pendingQuestions++;
    try {
      const { current, ...state } = await links.call(vm, RevisionCall, {});
      peerStates.set(vm, state);
      await pulling.run();
      if (current) answeredByPeer = true;
      return state.inForce;
    } catch {
      return undefined;
    } finally {
      pendingQuestions--;
    }
  };

  const askRevisions = async () => {
    const vms = links.peers().map(({ vm }) => vm);
    const answers = await Promise.all(vms.map(askRevision));
    const revisions = new Map<string, number>();
    for (const [index, vm] of vms.entries()) {
      const revision = answers[index];
      if (revision !== undefined) revisions.set(vm, revision);
    }
    return revisions;
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
    if (started || stop.signal.aborted) return;
    for (const { vm, incarnation } of peers) {
      if (askedPeers.has(incarnation)) continue;
      askedPeers.add(incarnation);
      void askRevision(vm);
    }
  };

  const watch = startSheetWatch({
    ...options,
    signal: stop.signal,
    onHead: (head) => learn(head, { isFirstHand: true }),
  });

  /// Whether everyone who can be asked has answered and the newest sheet that
  /// they know is in force.
  const hasStarted = () => {
    if (pendingQuestions > 0 || !watch.asked) return false;
    const waited = clock.now() - startedAt >= FIRST_PEER_MILLISECONDS;
    const known = answeredByPeer ||
      (watch.answered && (waited || askedPeers.size > 0));
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
      void askRevisions();
    }
  };

  const answerHead = () => Promise.resolve({ head: newest });
  const answerRevision = () =>
    Promise.resolve({ ...ownState(), current: isCurrent() });

  links.onMessage(RevisionMessage, (state, from) => {
    peerStates.set(from.vm, state);
    void pulling.run();
  });
  links.onCall(HeadCall, answerHead);
  links.onCall(RevisionCall, answerRevision);
  links.onCall(ChunksCall, ({ hashes }) => {
    const chunks = loader.held(hashes);
    return Promise.resolve({ chunks });
  });
  links.onPeersChange(meetPeers);
  meetPeers();
  void start();
  void gossip();

  return {
    isCurrent,
    newest: () => newest,
    async accept({ head, chunks }) {
      loader.add(chunks);
      learn(head, { isFirstHand: true });
      await loading.run();
    },
    fetchRevisions: askRevisions,
    close: () => stop.abort(new Error("closed")),
  };
}
