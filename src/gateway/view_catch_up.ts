import { splitEra } from "../infrastructure/store_revision.ts";
import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { ChangeSource, StoreReplica } from "./store_replica.ts";
import {
  packReply,
  toEvent,
  unpackReply,
  viewReadCall,
  type ViewReply,
} from "./view_messages.ts";

/// Requests from other VMs the store changes that this VM is missing, and
/// answers such requests.

/// Time by which a change from the store may arrive later than a peer's report
/// of it, in addition to the pause between this VM's calls to the store.
const STORE_LAG_MILLISECONDS: Milliseconds = 250;
/// Time after which the next VM is called in parallel. A link of 14 Mbit/s, the
/// slowest of the platform, transfers a configuration of 150 kB in 90 ms.
const HEDGE_DELAY_MILLISECONDS: Milliseconds = 400;
/// VMs called in one round of catch-up, before the retry delay.
const MAXIMUM_CALLED_VMS = 5;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 500;
/// Minimum time between two rounds of catch-up: a quarter of the shortest time
/// in which a change has to take effect. It keeps configurations that change in
/// quick succession from saturating the links.
const MINIMUM_CATCH_UP_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Random delay by which VMs that miss the same change spread their calls.
const CATCH_UP_JITTER_MILLISECONDS: Milliseconds = 100;

export interface ViewCatchUpOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly replica: StoreReplica;
  /// Whether this VM receives changes from the store itself.
  readonly isConnected: () => boolean;
  /// Pause between this VM's calls to the store.
  readonly callPause: () => Milliseconds;
  /// Called when this VM watches the store but has been behind a peer for
  /// longer than the expected lag.
  readonly onBehind: () => void;
  /// Remaining time for upstreams to list themselves again after an outage.
  readonly relisting: () => Milliseconds;
  /// Called with the remaining time that a peer sent.
  readonly onRelisting: (timeLeft: Milliseconds) => void;
}

export interface ViewCatchUp {
  /// Records the revision that another VM reported.
  recordReportedRevision(vm: string, revision: number): void;
  /// Returns the number of VMs that reported this revision or a later one.
  countVmsAtRevision(revision: number): number;
  close(): void;
}

export function startViewCatchUp(options: ViewCatchUpOptions): ViewCatchUp {
  const { clock, random, log, links, replica } = options;
  const { self } = links;
  const stop = new AbortController();
  /// The latest revision that each VM reported.
  const reported = new Map<string, number>();
  let checkTimer: Timer | undefined;
  let isCatchingUp = false;
  let lastCatchUpAt: Milliseconds = -Infinity;
  let lastReply:
    | { from: number; to: number; reply: ViewReply }
    | undefined;

  const isBehind = () => Math.max(0, ...reported.values()) > replica.revision();

  const applyReply = (reply: ViewReply, source: ChangeSource) => {
    const events = unpackReply(reply).map(toEvent);
    if (reply.relisting > 0) options.onRelisting(reply.relisting);
    const { revision } = reply;
    if (reply.isWhole) {
      const values = events.map(({ value }) => value);
      return replica.replaceContents({ values, revision }, source);
    }
    replica.applyChanges(events, source);
    replica.advanceRevision(revision);
  };

  /// VMs that may have a newer revision, in the order in which they are called.
  /// VMs that reported one come first but alternate with others: where many VMs
  /// call the few that reported it, others that have already caught up reply
  /// sooner.
  const candidates = () => {
    // With hubs, the others are reached over the VMs that have a link.
    const called = links.hubs() ? links.neighbours() : links.peers();
    const peers = called.map(({ vm, dataCentre }) => ({
      vm,
      isAhead: (reported.get(vm) ?? 0) > replica.revision(),
      order: random.next() + (dataCentre === self.dataCentre ? 0 : 1),
    })).sort((left, right) => left.order - right.order);
    const ahead = peers.filter(({ isAhead }) => isAhead);
    const others = peers.filter(({ isAhead }) => !isAhead);
    const interleaved = ahead.flatMap((peer, index) =>
      index < others.length ? [peer, others[index]!] : [peer]
    );
    return interleaved.map(({ vm }) => vm).slice(0, MAXIMUM_CALLED_VMS);
  };

  const requestChanges = async (vm: string) => {
    try {
      const reply = await links.call(vm, viewReadCall, {
        revision: replica.revision(),
      });
      applyReply(reply, { peer: vm });
      log.info("view taken from a peer", {
        peer: vm,
        ...splitEra(replica.revision()),
      });
    } catch (error) {
      const reason = (error as Error).message;
      log.warn("view not taken from a peer", { peer: vm, reason });
    }
  };

  const catchUp = async () => {
    isCatchingUp = true;
    lastCatchUpAt = clock.now();
    for (const vm of candidates()) {
      await Promise.race([
        requestChanges(vm),
        clock.sleep(HEDGE_DELAY_MILLISECONDS),
      ]);
      if (!isBehind() || stop.signal.aborted) break;
    }
    isCatchingUp = false;
    if (isBehind()) scheduleCheck(RETRY_DELAY_MILLISECONDS);
  };

  const scheduleCheck = (minimumDelay: Milliseconds) => {
    if (isCatchingUp || stop.signal.aborted) return;
    const sinceLast = clock.now() - lastCatchUpAt;
    const delay = Math.max(
      minimumDelay,
      MINIMUM_CATCH_UP_INTERVAL_MILLISECONDS - sinceLast,
    ) + random.next() * CATCH_UP_JITTER_MILLISECONDS;
    checkTimer ??= clock.schedule(delay, () => {
      checkTimer = undefined;
      if (!isBehind()) return;
      if (options.isConnected()) options.onBehind();
      void catchUp();
    });
  };

  links.onCall(viewReadCall, ({ revision: from }) => {
    const to = replica.revision();
    // Many VMs call for the same changes at the same time, so the last reply is
    // reused.
    if (lastReply?.from !== from || lastReply.to !== to) {
      const reply = packReply(replica.changesSince(from), options.relisting());
      lastReply = { from, to, reply };
    }
    return Promise.resolve(lastReply.reply);
  });

  links.onPeersChange(() => {
    const linked = new Set(links.peers().map(({ vm }) => vm));
    for (const vm of reported.keys()) if (!linked.has(vm)) reported.delete(vm);
  });

  return {
    recordReportedRevision(vm, revision) {
      reported.set(vm, revision);
      if (!isBehind()) return;
      scheduleCheck(
        options.isConnected()
          ? STORE_LAG_MILLISECONDS + options.callPause()
          : 0,
      );
    },
    countVmsAtRevision: (revision) =>
      [...reported.values()].filter((each) => each >= revision).length,
    close() {
      stop.abort(new Error("closed"));
      checkTimer?.cancel();
    },
  };
}
