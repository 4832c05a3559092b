import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { pack, unpack } from "msgpackr";
import type { WatchEvent } from "../infrastructure/key_value_store.ts";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { MirrorChanges, StoreMirror } from "./store_mirror.ts";

/// VMs tell each other of the store's changes. In each data centre a few of
/// them follow the store; the others take the changes from those, and follow
/// it themselves when they hear from too few. A VM that the store turns away,
/// or whose watch is silent, so hears of changes too.

/// VMs that follow the store in each data centre with many. If a third of all
/// VMs lose it at once, all readers of three data centres do so once in 700
/// times, and the rest then read late.
const READERS_PER_DATA_CENTRE = 2;
/// Up to this many VMs of a data centre all follow the store, since fewer
/// readers are asked to notice sooner that the store has gone silent.
const FEW_VMS = 3;
/// Readers that a VM must have heard lately to leave the store to them.
const ENOUGH_READERS = 1;
/// How often a reader says that it follows the store.
const WORD_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Age from which a reader's word counts no more: three of them missed.
const WORD_AGE_MILLISECONDS: Milliseconds = 1_600;

/// Longest time in which changes are gathered before others hear of them. Each
/// VM waits for another part of it, so that most find that others have spoken.
const GATHER_MILLISECONDS: Milliseconds = 40;
/// VMs whose word of a change is enough for the rest to keep silent.
const ENOUGH_ANNOUNCERS = 2;
/// Values above this size aren't sent along with changes: each VM fetches them
/// once, while a broadcast may reach it from several sides.
const LARGE_VALUE_BYTES = 8_192;
/// Time that the store's own news may take longer than a peer's word of it,
/// beside the pause that this VM makes between its calls.
const LAG_MILLISECONDS: Milliseconds = 250;

/// Time after which a second VM is asked beside the first: a link of 14 Mbit/s,
/// the platform's slowest, carries a configuration of 150 kB in 90 ms.
const HEDGE_MILLISECONDS: Milliseconds = 400;
/// VMs asked for one state before the others' next word is awaited.
const MOST_ASKED = 5;
const RETRY_MILLISECONDS: Milliseconds = 500;
/// Least time between two such rounds of questions, so that configurations that
/// follow each other fast don't fill the links; a quarter of the shortest bound.
const CATCH_UP_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Time over which VMs that lack the same thing spread their questions.
const CATCH_UP_SPREAD_MILLISECONDS: Milliseconds = 100;
/// Replies from this size on are compressed, once for all that ask the same. At
/// the fastest level that takes about 2 ms for 150 kB.
const COMPRESSED_BYTES = 4_096;
const COMPRESSION = { level: constants.Z_BEST_SPEED };

const wordMessage = defineMessage(
  "gateway.view.word",
  Type.Object({
    /// Revision up to which the sender knows every change.
    revision: Type.Number(),
    /// Whether it hears changes from the store itself.
    isReader: Type.Boolean(),
  }),
  { replaceKey: () => "word" },
);

const Change = Type.Object({
  key: Type.String(),
  revision: Type.Number(),
  /// Absent for a key that is gone.
  value: Type.Optional(Type.Uint8Array()),
});
type Change = Static<typeof Change>;

const changesMessage = defineMessage(
  "gateway.view.changes",
  Type.Object({
    from: Type.Number(),
    to: Type.Number(),
    /// Time within which upstreams may list themselves again after an outage.
    relisting: Type.Number(),
    /// Whether all changes after `from` are among these.
    isComplete: Type.Boolean(),
    changes: Type.Array(Change),
  }),
);

const readCall = defineCall("gateway.view.read", {
  /// Revision up to which the caller knows every change.
  request: Type.Object({ revision: Type.Number() }),
  reply: Type.Object({
    revision: Type.Number(),
    relisting: Type.Number(),
    isWhole: Type.Boolean(),
    isCompressed: Type.Boolean(),
    /// The packed changes.
    body: Type.Uint8Array(),
  }),
});
const areChanges = TypeCompiler.Compile(Type.Array(Change));
type Reply = Static<typeof readCall["reply"]>;

export interface ViewSharingOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly mirror: StoreMirror;
  /// Whether this VM hears changes from the store itself.
  readonly isConnected: () => boolean;
  /// Called with whether this VM is to follow the store, and how many do as far
  /// as it knows; undefined if that may be all.
  readonly setActive: (isActive: boolean, followers?: number) => void;
  /// Pause that this VM makes between its calls to the store.
  readonly callPause: () => Milliseconds;
  /// Called when a peer has been ahead for a while.
  readonly onBehind: () => void;
  /// Time left within which upstreams may list themselves again.
  readonly relisting: () => Milliseconds;
  readonly onRelisting: (left: Milliseconds) => void;
}

export interface ViewSharing {
  close(): void;
}

function toChange({ kind, value }: WatchEvent): Change {
  const { key, modifiedRevision: revision } = value;
  return kind === "put"
    ? { key, revision, value: value.value }
    : { key, revision };
}

function toEvent({ key, revision, value }: Change): WatchEvent {
  return {
    kind: value ? "put" : "delete",
    value: {
      key,
      value: value ?? new Uint8Array(),
      modifiedRevision: revision,
      lease: "0",
    },
  };
}

/// Those of the VMs of one data centre that are to follow the store.
function readersAmong(vms: readonly string[]): readonly string[] {
  if (vms.length <= FEW_VMS) return vms;
  return rankByRendezvous("reader", vms).slice(0, READERS_PER_DATA_CENTRE);
}

export function startViewSharing(options: ViewSharingOptions): ViewSharing {
  const { clock, random, log, links, mirror } = options;
  const { self } = links;
  const stop = new AbortController();
  let known = new Set<string>();
  /// When each VM last said that it follows the store.
  const readers = new Map<string, Milliseconds>();
  /// The latest revision that each VM has told of.
  const told = new Map<string, number>();
  let announcing: Timer | undefined;
  /// Revision before the changes that others are to hear of.
  let announceFrom: number | undefined;
  let checking: Timer | undefined;
  let isCatchingUp = false;
  let caughtUpAt: Milliseconds = -Infinity;

  const furthest = () => Math.max(0, ...told.values());
  const isBehind = () => furthest() > mirror.revision();

  const takeChanges = (
    changes: readonly Change[],
    { to, isComplete }: { to: number; isComplete: boolean },
  ) => {
    mirror.take(changes.map(toEvent), "peer");
    if (isComplete) mirror.advance(to);
  };

  const takeReply = (reply: Reply) => {
    const bytes = reply.isCompressed ? inflateRawSync(reply.body) : reply.body;
    const changes: unknown = unpack(bytes);
    if (!areChanges.Check(changes)) throw new TypeError("no list of changes");
    if (reply.relisting > 0) options.onRelisting(reply.relisting);
    const { revision } = reply;
    if (!reply.isWhole) {
      return takeChanges(changes, { to: revision, isComplete: true });
    }
    const values = changes.map((change) => toEvent(change).value);
    mirror.replace({ values, revision }, "peer");
  };

  /// VMs that may know more, in the order in which they are to be asked. Those
  /// that told of it come first, but where many ask these few, others that have
  /// had an answer already are sooner to give one.
  const candidates = () => {
    const peers = links.peers().map(({ vm, dataCentre }) => ({
      vm,
      isAhead: (told.get(vm) ?? 0) > mirror.revision(),
      order: random.next() + (dataCentre === self.dataCentre ? 0 : 1),
    })).sort((left, right) => left.order - right.order);
    const ahead = peers.filter(({ isAhead }) => isAhead);
    const others = peers.filter(({ isAhead }) => !isAhead);
    const turns = ahead.flatMap((peer, index) =>
      index < others.length ? [peer, others[index]!] : [peer]
    );
    return turns.map(({ vm }) => vm).slice(0, MOST_ASKED);
  };

  const ask = async (vm: string) => {
    try {
      const reply = await links.call(vm, readCall, {
        revision: mirror.revision(),
      });
      takeReply(reply);
      log.info("view taken from a peer", {
        peer: vm,
        revision: mirror.revision(),
      });
    } catch (error) {
      const reason = (error as Error).message;
      log.warn("view not taken from a peer", { peer: vm, reason });
    }
  };

  const catchUp = async () => {
    isCatchingUp = true;
    caughtUpAt = clock.now();
    for (const vm of candidates()) {
      await Promise.race([ask(vm), clock.sleep(HEDGE_MILLISECONDS)]);
      if (!isBehind() || stop.signal.aborted) break;
    }
    isCatchingUp = false;
    if (isBehind()) scheduleCheck(RETRY_MILLISECONDS);
  };

  const scheduleCheck = (wait: Milliseconds) => {
    if (isCatchingUp || stop.signal.aborted) return;
    const sinceLast = clock.now() - caughtUpAt;
    const pause = Math.max(wait, CATCH_UP_INTERVAL_MILLISECONDS - sinceLast) +
      random.next() * CATCH_UP_SPREAD_MILLISECONDS;
    checking ??= clock.schedule(pause, () => {
      checking = undefined;
      if (!isBehind()) return;
      if (options.isConnected()) options.onBehind();
      void catchUp();
    });
  };

  /// Notes how far another VM is.
  const noteTold = (vm: string, revision: number) => {
    told.set(vm, revision);
    if (!isBehind()) return;
    const store = options.isConnected()
      ? LAG_MILLISECONDS + options.callPause()
      : 0;
    scheduleCheck(store);
  };

  links.onMessage(wordMessage, ({ revision, isReader }, { vm }) => {
    if (isReader) readers.set(vm, clock.now());
    else if (readers.delete(vm)) decide();
    noteTold(vm, revision);
  });

  links.onMessage(changesMessage, (message, { vm }) => {
    const { from, to, changes, relisting } = message;
    if (relisting > 0) options.onRelisting(relisting);
    const isComplete = message.isComplete && from <= mirror.revision();
    takeChanges(changes, { to, isComplete });
    noteTold(vm, to);
  });

  let lastReply:
    | { from: number; to: number; reply: Reply }
    | undefined;
  const createReply = ({ to, isWhole, events }: MirrorChanges): Reply => {
    const packed = pack(events.map(toChange));
    const isCompressed = packed.length >= COMPRESSED_BYTES;
    return {
      revision: to,
      relisting: options.relisting(),
      isWhole,
      isCompressed,
      body: isCompressed ? deflateRawSync(packed, COMPRESSION) : packed,
    };
  };
  links.onCall(readCall, ({ revision: from }) => {
    const to = mirror.revision();
    // Many ask for the same at the same time.
    if (lastReply?.from !== from || lastReply.to !== to) {
      lastReply = { from, to, reply: createReply(mirror.since(from)) };
    }
    return Promise.resolve(lastReply.reply);
  });

  const announce = () => {
    announcing = undefined;
    const from = announceFrom!;
    announceFrom = undefined;
    const to = mirror.revision();
    const announcers = [...told.values()].filter((each) => each >= to);
    if (announcers.length >= ENOUGH_ANNOUNCERS) return;
    const { isWhole, events } = mirror.since(from);
    const small = events.filter(({ value }) =>
      value.value.length <= LARGE_VALUE_BYTES
    );
    links.broadcast(changesMessage, {
      from,
      to,
      relisting: options.relisting(),
      isComplete: !isWhole && small.length === events.length,
      changes: isWhole ? [] : small.map(toChange),
    });
  };

  mirror.onChange((_events, source) => {
    if (source !== "store") return;
    announceFrom ??= mirror.revision();
    announcing ??= clock.schedule(
      random.next() * GATHER_MILLISECONDS,
      announce,
    );
  });

  const word = () => ({
    revision: mirror.revision(),
    isReader: options.isConnected(),
  });

  /// Names of the VMs that can be reached, and this one, by data centre.
  const vmsByDataCentre = () => {
    const names = new Map([[self.dataCentre, [self.vm]]]);
    for (const { vm, dataCentre } of links.peers()) {
      names.set(dataCentre, [...names.get(dataCentre) ?? [], vm]);
    }
    return names;
  };

  const decide = () => {
    const names = vmsByDataCentre();
    const here = readersAmong(names.get(self.dataCentre)!);
    const now = clock.now();
    const heard = here.filter((vm) =>
      now - (readers.get(vm) ?? -Infinity) < WORD_AGE_MILLISECONDS
    );
    const isLeft = mirror.revision() > 0 && heard.length >= ENOUGH_READERS;
    const followers = [...names.values()].reduce(
      (sum, vms) => sum + readersAmong(vms).length,
      0,
    );
    options.setActive(
      here.includes(self.vm) || !isLeft,
      isLeft ? followers : undefined,
    );
  };

  /// Whether peers hold this VM for a reader.
  let isKnownReader = false;
  const tellOfReading = () => {
    const { isReader } = word();
    if (!isReader && !isKnownReader) return;
    isKnownReader = isReader;
    for (const { vm, dataCentre } of links.peers()) {
      if (dataCentre === self.dataCentre) links.send(vm, wordMessage, word());
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      decide();
      tellOfReading();
      await clock.sleep(WORD_INTERVAL_MILLISECONDS, stop.signal).catch(() => {
        // Closed while waiting; the loop ends.
      });
    }
  };

  links.onPeersChange(() => {
    const runs = links.peers().map(({ vm, incarnation }) => ({
      vm,
      run: `${vm} ${incarnation}`,
    }));
    for (const { vm, run } of runs) {
      if (!known.has(run)) links.send(vm, wordMessage, word());
    }
    known = new Set(runs.map(({ run }) => run));
    const linked = new Set(runs.map(({ vm }) => vm));
    for (const vm of told.keys()) if (!linked.has(vm)) told.delete(vm);
    for (const vm of readers.keys()) if (!linked.has(vm)) readers.delete(vm);
  });

  void run();
  return {
    close() {
      stop.abort(new Error("closed"));
      checking?.cancel();
      announcing?.cancel();
    },
  };
}
