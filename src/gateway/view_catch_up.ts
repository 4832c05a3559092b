import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { StoreReplica } from "./store_replica.ts";
import {
  packReply,
  toEvent,
  unpackReply,
  viewReadCall,
  type ViewReply,
} from "./view_messages.ts";

/// Asks other VMs for what they know of the store and this one lacks, and
/// answers them.

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

export interface ViewCatchUpOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly mirror: StoreReplica;
  /// Whether this VM hears changes from the store itself.
  readonly isConnected: () => boolean;
  /// Pause that this VM makes between its calls to the store.
  readonly callPause: () => Milliseconds;
  /// Called when a peer has been ahead for a while.
  readonly onBehind: () => void;
  /// Time left within which upstreams may list themselves again.
  readonly relisting: () => Milliseconds;
  readonly onRelisting: (left: Milliseconds) => void;
}

export interface ViewCatchUp {
  /// Notes the revision that another VM has told of.
  noteReportedRevision(vm: string, revision: number): void;
  /// VMs that have told of this revision or a later one.
  countVmsAtRevision(revision: number): number;
  close(): void;
}

export function startViewCatchUp(options: ViewCatchUpOptions): ViewCatchUp {
  const { clock, random, log, links, mirror } = options;
  const { self } = links;
  const stop = new AbortController();
  /// The latest revision that each VM has told of.
  const told = new Map<string, number>();
  let checking: Timer | undefined;
  let isCatchingUp = false;
  let caughtUpAt: Milliseconds = -Infinity;
  let lastReply:
    | { from: number; to: number; reply: ViewReply }
    | undefined;

  const isBehind = () => Math.max(0, ...told.values()) > mirror.revision();

  const takeReply = (reply: ViewReply) => {
    const events = unpackReply(reply).map(toEvent);
    if (reply.relisting > 0) options.onRelisting(reply.relisting);
    const { revision } = reply;
    if (reply.isWhole) {
      const values = events.map(({ value }) => value);
      return mirror.replaceContents({ values, revision }, "peer");
    }
    mirror.applyChanges(events, "peer");
    mirror.advanceRevision(revision);
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
      const reply = await links.call(vm, viewReadCall, {
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

  links.onCall(viewReadCall, ({ revision: from }) => {
    const to = mirror.revision();
    // Many ask for the same at the same time.
    if (lastReply?.from !== from || lastReply.to !== to) {
      const reply = packReply(mirror.changesSince(from), options.relisting());
      lastReply = { from, to, reply };
    }
    return Promise.resolve(lastReply.reply);
  });

  links.onPeersChange(() => {
    const linked = new Set(links.peers().map(({ vm }) => vm));
    for (const vm of told.keys()) if (!linked.has(vm)) told.delete(vm);
  });

  return {
    noteReportedRevision(vm, revision) {
      told.set(vm, revision);
      if (!isBehind()) return;
      scheduleCheck(
        options.isConnected() ? LAG_MILLISECONDS + options.callPause() : 0,
      );
    },
    countVmsAtRevision: (revision) =>
      [...told.values()].filter((each) => each >= revision).length,
    close() {
      stop.abort(new Error("closed"));
      checking?.cancel();
    },
  };
}
