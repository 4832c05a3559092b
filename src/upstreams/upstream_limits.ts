import { type Static, Type } from "@sinclair/typebox";
import { type Links, UnknownCallError } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import {
  createPermitSchedule,
  type PermitSchedule,
} from "./permit_schedule.ts";

/// Limits that upstreams state in their responses: how many requests a second
/// they accept from all VMs together. VMs tell each other of limits. Each request
/// to a limited upstream needs a permit from the upstream's owner, a VM chosen by
/// rendezvous hashing among the linked VMs. VMs of builds that know no limits own
/// none.

/// Rate at which an upstream that states a lower limit still gets requests:
/// only its responses show that the limit has ended.
const MINIMUM_RATE = 0.2;
/// Time in which an owner replies.
const REPLY_TIMEOUT_MILLISECONDS: Milliseconds = 200;
/// Time for which an upstream gets no requests after its owner hasn't replied.
const UNREACHABLE_OWNER_MILLISECONDS: Milliseconds = 300;

const limitMessage = defineMessage(
  "upstream.limit",
  Type.Object({
    upstream: Type.String(),
    /// Requests per second; absent if the upstream has no limit any more.
    limit: Type.Optional(Type.Number()),
  }),
  { replaceKey: ({ upstream }) => upstream },
);

/// The owner of an upstream has no permit left for some milliseconds.
const exhaustedMessage = defineMessage(
  "upstream.limit.exhausted",
  Type.Object({ upstream: Type.String(), delay: Type.Number() }),
  { replaceKey: ({ upstream }) => upstream },
);

const permitCall = defineCall("upstream.limit.permit", {
  /// The owner may not have heard of the limit yet.
  request: Type.Object({
    upstream: Type.String(),
    limit: Type.Number(),
    isUrgent: Type.Boolean(),
  }),
  reply: Type.Object({
    isGranted: Type.Boolean(),
    /// Milliseconds until the next permit.
    delay: Type.Number(),
  }),
});

type PermitRequest = Static<typeof permitCall["request"]>;

/// What a response states about the limit of its upstream.
export interface StatedLimit {
  /// Requests per second; undefined if the response names no limit.
  readonly limit: number | undefined;
  /// When the request was sent.
  readonly sentAt: Milliseconds;
}

export interface UpstreamLimits {
  /// Records what a response of an upstream states.
  record(upstream: string, stated: StatedLimit): void;
  /// Whether an upstream states a limit.
  isLimited(upstream: string): boolean;
  /// Time in milliseconds until an upstream has a permit again, as far as this VM
  /// knows; 0 if it may have one.
  delayOf(upstream: string): Milliseconds;
  /// Takes a permit for one request. Resolves to false if the limit is reached.
  /// Urgent requests are granted permits before others.
  take(upstream: string, isUrgent?: boolean): Promise<boolean>;
  /// Number of upstreams that have a limit.
  count(): number;
  /// Forgets an upstream.
  remove(upstream: string): void;
}

export interface UpstreamLimitsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly links: Links;
  /// Number of VMs that send to the same upstreams, linked or not.
  readonly vmCount: () => number;
  /// Called with the result of each request for a permit.
  readonly onPermit?: (isGranted: boolean) => void;
}

interface KnownLimit {
  readonly limit: number;
  readonly learnedAt: Milliseconds;
  exhaustedUntil: Milliseconds;
}

const keyOf = ({ vm, incarnation }: VmIdentity) => `${vm} ${incarnation}`;

export function createUpstreamLimits(
  options: UpstreamLimitsOptions,
): UpstreamLimits {
  const { clock, log, links } = options;
  const { self } = links;
  const newPeers = createNewPeers(links);
  const limits = new Map<string, KnownLimit>();
  /// The permits that this VM grants as an owner.
  const schedules = new Map<string, PermitSchedule>();
  /// Upstreams of this owner, of which the VMs have been told that there is no
  /// permit left.
  const announced = new Set<string>();

  /// Processes that don't know the call for a permit.
  const unaware = new Set<string>();

  const ownerOf = (upstream: string) => {
    const peers = links.peers();
    const owners = unaware.size === 0
      ? peers
      : peers.filter((peer) => !unaware.has(keyOf(peer)));
    return rankByRendezvous(`limit ${upstream}`, [
      self.vm,
      ...owners.map(({ vm }) => vm),
    ])[0]!;
  };

  const remove = (upstream: string) => {
    limits.delete(upstream);
    schedules.delete(upstream);
    announced.delete(upstream);
  };

  /// Applies what this VM or another one has learned. Returns whether it is new.
  const learn = (upstream: string, limit: number | undefined): boolean => {
    const known = limits.get(upstream);
    if (limit === undefined) {
      if (known) log.info("upstream no longer limited", { upstream });
      remove(upstream);
      return known !== undefined;
    }
    if (!known) log.info("upstream limited", { upstream, limit });
    const exhaustedUntil = known?.exhaustedUntil ?? -Infinity;
    limits.set(upstream, { limit, learnedAt: clock.now(), exhaustedUntil });
    return known?.limit !== limit;
  };

  /// Each part of a network partition has an owner, and grants its share.
  const rateOf = (limit: number) => {
    const linkedRatio = (links.peers().length + 1) /
      Math.max(1, options.vmCount());
    return Math.max(limit, MINIMUM_RATE) * Math.min(1, linkedRatio);
  };

  const setExhausted = (upstream: string, delay: Milliseconds) => {
    const known = limits.get(upstream);
    if (known) known.exhaustedUntil = clock.now() + delay;
  };

  const grant = ({ upstream, limit, isUrgent }: PermitRequest) => {
    const rate = rateOf(limits.get(upstream)?.limit ?? limit);
    const schedule = schedules.get(upstream) ??
      createPermitSchedule(clock, rate);
    schedules.set(upstream, schedule);
    const isGranted = schedule.take(rate, isUrgent);
    const delay = schedule.delay();
    if (isGranted) announced.delete(upstream);
    else if (!announced.has(upstream)) {
      announced.add(upstream);
      setExhausted(upstream, delay);
      links.broadcast(exhaustedMessage, { upstream, delay });
    }
    return { isGranted, delay };
  };

  const requestPermit = async (
    request: PermitRequest,
  ): Promise<Static<typeof permitCall["reply"]>> => {
    const owner = ownerOf(request.upstream);
    if (owner === self.vm) return grant(request);
    const called = links.peers().find(({ vm }) => vm === owner);
    try {
      return await links.call(owner, permitCall, request, {
        timeoutMilliseconds: REPLY_TIMEOUT_MILLISECONDS,
      });
    } catch (error) {
      if (called && error instanceof UnknownCallError) {
        unaware.add(keyOf(called));
        return requestPermit(request);
      }
      return { isGranted: false, delay: UNREACHABLE_OWNER_MILLISECONDS };
    }
  };

  const delayOf = (upstream: string) => {
    const known = limits.get(upstream);
    return known ? Math.max(0, known.exhaustedUntil - clock.now()) : 0;
  };

  links.onCall(
    permitCall,
    (request) => Promise.resolve(grant(request)),
  );
  links.onMessage(
    limitMessage,
    ({ upstream, limit }) => void learn(upstream, limit),
  );
  links.onMessage(
    exhaustedMessage,
    ({ upstream, delay }) => setExhausted(upstream, delay),
  );
  links.onPeersChange(() => {
    const added = newPeers();
    if (unaware.size > 0) {
      const linked = new Set(links.peers().map(keyOf));
      for (const key of unaware) if (!linked.has(key)) unaware.delete(key);
    }
    // A new owner grants from a schedule of its own.
    for (const upstream of schedules.keys()) {
      if (ownerOf(upstream) === self.vm) continue;
      schedules.delete(upstream);
      announced.delete(upstream);
    }
    for (const { vm } of added) {
      for (const [upstream, { limit }] of limits) {
        links.send(vm, limitMessage, { upstream, limit });
      }
    }
  });

  return {
    record(upstream, { limit, sentAt }) {
      const known = limits.get(upstream);
      // The upstream may have responded before it named the limit.
      if (limit === undefined && (!known || sentAt < known.learnedAt)) return;
      if (learn(upstream, limit)) {
        links.broadcast(limitMessage, { upstream, limit });
      }
    },
    isLimited: (upstream) => limits.has(upstream),
    delayOf,
    async take(upstream, isUrgent = false) {
      const known = limits.get(upstream);
      if (!known) return true;
      if (!isUrgent && delayOf(upstream) > 0) return false;
      const { limit } = known;
      const request = { upstream, limit, isUrgent };
      const { isGranted, delay } = await requestPermit(request);
      if (!isGranted) setExhausted(upstream, delay);
      options.onPermit?.(isGranted);
      return isGranted;
    },
    count: () => limits.size,
    remove,
  };
}
