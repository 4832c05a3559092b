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
/// The newest known revision only ever increases.

const RETRY_DELAY_MILLISECONDS = 300;
/// Number of retry delays for which a VM waits for a peer that holds the chunks
/// of a head received from a peer. After them it reads the store itself.
const MAXIMUM_HOLDER_WAITS = 3;
/// Interval at which a VM sends its revision to a few random peers.
const GOSSIP_INTERVAL_MILLISECONDS = 1_000;
const GOSSIP_PEERS = 2;
/// Time for which a starting VM waits for a first peer. After it, a reply of
/// the store alone suffices.
const FIRST_PEER_TIMEOUT_MILLISECONDS = 500;
const START_CHECK_INTERVAL_MILLISECONDS = 50;

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
  /// Handles a sheet that an apply on this VM wrote or found accepted; resolves
  /// when it, or a newer one, is in force here.
  accept(applied: AppliedSheet): Promise<void>;
  /// Queries every connected VM for the revision in force there. A VM that does
  /// not reply is left out.
  fetchRevisions(): Promise<ReadonlyMap<string, number>>;
  close(): void;
}

/// Where a head came from. It is authoritative if it came from the store or
/// from an apply on this VM rather than from a peer.
interface Origin {
  readonly isAuthoritative: boolean;
}

export function startSheetFollower(
  options: SheetFollowerOptions,
): SheetFollower {
  const { clock, random, log, links, book } = options;
  const loader = createSheetLoader(options);
  const stop = new AbortController();
  /// The last state that each connected VM reported.
  const peerStates = new Map<string, RevisionState>();
  /// Incarnations that were queried during the start.
  const queriedPeers = new Set<string>();
  const startedAt = clock.now();
  let newest: SheetHead | undefined;
  let newestIsAuthoritative = false;
  let remainingWaits = 0;
  let pendingQueries = 0;
  let currentPeerReplied = false;
  let started = false;

  const newestRevision = () => newest?.revision ?? 0;

  const sleep = (delay: Milliseconds) =>
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

  const attemptLoad = async (head: SheetHead) => {
    const holders = holdersOf(head.revision);
    if (holders.length === 0 && remainingWaits > 0) {
      remainingWaits--;
      return await sleep(RETRY_DELAY_MILLISECONDS);
    }
    try {
      const accepted = await loader.load(head, holders);
      if (stop.signal.aborted || !book.adopt(accepted)) return;
      log.info("sheet in force", { revision: accepted.revision });
      // A VM that has the head from a peer doesn't broadcast it: the others
      // receive it from the VMs that have it from the store.
      if (newestIsAuthoritative) links.broadcast(RevisionMessage, ownState());
    } catch (error) {
      const reason = (error as Error).message;
      log.warn("sheet unreadable", { revision: head.revision, reason });
      await sleep(RETRY_DELAY_MILLISECONDS);
    }
  };

  /// Puts the newest head in force, repeatedly if it changes meanwhile.
  const loading = repeatWhile(
    () => !stop.signal.aborted && book.current().revision < newestRevision(),
    () => attemptLoad(newest!),
  );

  const updateNewest = (head: SheetHead, { isAuthoritative }: Origin) => {
    if (head.revision <= newestRevision()) return;
    newest = head;
    newestIsAuthoritative = isAuthoritative;
    remainingWaits = isAuthoritative ? 0 : MAXIMUM_HOLDER_WAITS;
    void loading.run();
  };

  const fetchHead = async (vm: string) => {
    try {
      const { head } = await links.call(vm, HeadCall, {});
      if (head) updateNewest(head, { isAuthoritative: false });
    } catch {
      // A peer sends its revision again when it is reachable.
    }
  };

  const findPeerAhead = () =>
    [...peerStates].find(([, state]) => state.newest > newestRevision());

  /// Queries peers, one at a time, until none has reported a newer revision.
  const pulling = repeatWhile(
    () => !stop.signal.aborted && findPeerAhead() !== undefined,
    async () => {
      const [vm, { newest: reported }] = findPeerAhead()!;
      await fetchHead(vm);
      if (newestRevision() < reported) peerStates.delete(vm);
    },
  );

  /// The revision in force on `vm`, or undefined without a reply.
  const fetchRevision = async (vm: string): Promise<number | undefined> => {
    pendingQueries++;
    try {
      const { current, ...state } = await links.call(vm, RevisionCall, {});
      peerStates.set(vm, state);
      await pulling.run();
      if (current) currentPeerReplied = true;
      return state.inForce;
    } catch {
      return undefined;
    } finally {
      pendingQueries--;
    }
  };

  const fetchRevisions = async () => {
    const vms = links.peers().map(({ vm }) => vm);
    const replies = await Promise.all(vms.map(fetchRevision));
    const revisions = new Map<string, number>();
    for (const [index, vm] of vms.entries()) {
      const revision = replies[index];
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
      await sleep(GOSSIP_INTERVAL_MILLISECONDS);
    }
  };

  const updatePeers = () => {
    const peers = links.peers();
    const connected = new Set(peers.map(({ vm }) => vm));
    for (const vm of peerStates.keys()) {
      if (!connected.has(vm)) peerStates.delete(vm);
    }
    if (started || stop.signal.aborted) return;
    for (const { vm, incarnation } of peers) {
      if (queriedPeers.has(incarnation)) continue;
      queriedPeers.add(incarnation);
      void fetchRevision(vm);
    }
  };

  const watch = startSheetWatch({
    ...options,
    signal: stop.signal,
    onHead: (head) => updateNewest(head, { isAuthoritative: true }),
  });

  /// Whether no query is pending, the replies are conclusive, and the newest
  /// known sheet is in force. A reply of a peer that has caught up is
  /// conclusive. A reply of the store is conclusive once a peer was queried, or
  /// once the timeout for a first peer has passed.
  const hasStarted = () => {
    if (pendingQueries > 0 || !watch.attempted) return false;
    const timedOut = clock.now() - startedAt >= FIRST_PEER_TIMEOUT_MILLISECONDS;
    const isConclusive = currentPeerReplied ||
      (watch.replied && (timedOut || queriedPeers.size > 0));
    return isConclusive && book.current().revision >= newestRevision();
  };

  const isCurrent = () => {
    started ||= hasStarted();
    return started;
  };

  /// Waits for the end of the start. Peers are queried again until one that has
  /// caught up replies.
  const start = async () => {
    let queriedAt = clock.now();
    while (!stop.signal.aborted && !isCurrent()) {
      await sleep(START_CHECK_INTERVAL_MILLISECONDS);
      if (
        currentPeerReplied ||
        clock.now() - queriedAt < GOSSIP_INTERVAL_MILLISECONDS
      ) continue;
      queriedAt = clock.now();
      void fetchRevisions();
    }
  };

  const replyWithHead = () => Promise.resolve({ head: newest });
  const replyWithRevision = () =>
    Promise.resolve({ ...ownState(), current: isCurrent() });

  links.onMessage(RevisionMessage, (state, from) => {
    peerStates.set(from.vm, state);
    void pulling.run();
  });
  links.onCall(HeadCall, replyWithHead);
  links.onCall(RevisionCall, replyWithRevision);
  links.onCall(ChunksCall, ({ hashes }) => {
    const chunks = loader.held(hashes);
    return Promise.resolve({ chunks });
  });
  links.onPeersChange(updatePeers);
  updatePeers();
  void start();
  void gossip();

  return {
    isCurrent,
    newest: () => newest,
    async accept({ head, chunks }) {
      loader.add(chunks);
      updateNewest(head, { isAuthoritative: true });
      await loading.run();
    },
    fetchRevisions,
    close: () => stop.abort(new Error("closed")),
  };
}
