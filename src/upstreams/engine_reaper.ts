import { setMaxListeners } from "node:events";
import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { EngineClient } from "./engine_client.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { createOwnerLiveness } from "./owner_liveness.ts";
import {
  announceCall,
  type EngineClaim,
  heldClaimsCall,
  type Incarnation,
  incarnationKey,
  ownerOfEngineId,
  reapersOf,
  withdrawMessage,
} from "./engine_reaper_messages.ts";
import {
  createReaperRecords,
  type TrackedClaim,
} from "./engine_reaper_records.ts";
import {
  MAXIMUM_CALL_DELAY_MILLISECONDS,
  releaseUntilConfirmed,
} from "./engine_release.ts";

/// Keeps engines from holding memory for owners that are gone: each engine
/// has two keepers, which know what was asked of it and give back what its
/// owner no longer can.

const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 1_000;
/// Checks between two comparisons with the streams that an engine lists.
const CHECKS_PER_LISTING = 5;
/// Time an engine may list a stream that nobody has announced.
const UNKNOWN_STREAM_GRACE_MILLISECONDS: Milliseconds = 10_000;
/// Time that claims of a living owner stay at a VM that is no keeper now.
const FORMER_KEEPER_MILLISECONDS: Milliseconds = 30_000;

export interface EngineReaper {
  /// Claims that this VM keeps for others.
  trackedClaims(): number;
  close(): void;
}

export interface EngineReaperOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly clientOf: (engine: string) => EngineClient | undefined;
  readonly engineNames: () => readonly string[];
  /// Whether this VM itself has claimed the id.
  readonly isHeldLocally: (id: string) => boolean;
}

interface OwnedIds {
  readonly owner: Incarnation;
  readonly ids: readonly string[];
}

/// Ids of another form than ours are left out: those are not ours to end.
function groupByOwner(ids: readonly string[]): readonly OwnedIds[] {
  const groups = new Map<string, OwnedIds>();
  for (const id of ids) {
    const owner = ownerOfEngineId(id);
    if (!owner) continue;
    const key = incarnationKey(owner);
    const group = groups.get(key) ?? { owner, ids: [] };
    groups.set(key, { owner, ids: [...group.ids, id] });
  }
  return [...groups.values()];
}

export function createEngineReaper(options: EngineReaperOptions): EngineReaper {
  const { clock, links, clientOf } = options;
  const self = links.self.vm;
  const records = createReaperRecords();
  const liveness = createOwnerLiveness({ clock, links });
  const stop = new AbortController();
  const { signal } = stop;
  setMaxListeners(0, signal);
  const releasing = new Set<string>();
  const goneSince = new Map<string, Milliseconds>();
  const unknownSince = new Map<string, Milliseconds>();

  const keepersNow = ({ claim, owner }: TrackedClaim) => {
    const live = [self, ...links.peers().map((peer) => peer.vm)];
    return reapersOf(claim.engine, { live, owner: owner.vm });
  };

  /// An owner may have died before its last call reached the engine, so
  /// everything is released twice.
  const releaseTwice = async (claim: EngineClaim) => {
    await releaseUntilConfirmed(claim, { clock, clientOf, signal });
    await clock.sleep(MAXIMUM_CALL_DELAY_MILLISECONDS, signal);
    await releaseUntilConfirmed(claim, { clock, clientOf, signal });
  };

  const startRelease = async (claim: EngineClaim) => {
    if (releasing.has(claim.id)) return;
    releasing.add(claim.id);
    try {
      await releaseTwice(claim);
      const owners = records.owners();
      for (const owner of owners) records.withdraw(owner, [claim.id]);
      unknownSince.delete(claim.id);
    } catch {
      // The keeper was closed; another one takes over.
    } finally {
      releasing.delete(claim.id);
    }
  };

  /// Gives the claims of a lost owner to keepers that may lack them.
  const handOver = async (keeper: string, kept: readonly TrackedClaim[]) => {
    const { owner } = kept[0]!;
    const claims = kept.map(({ claim }) => claim);
    try {
      await links.call(keeper, announceCall, { owner, claims, all: false });
      for (const { confirmedBy: handedTo } of kept) handedTo.add(keeper);
    } catch {
      // The next check tries again.
    }
  };

  const shareOrphans = async (kept: readonly TrackedClaim[]) => {
    const missing = new Map<string, TrackedClaim[]>();
    for (const entry of kept) {
      for (const keeper of keepersNow(entry)) {
        if (keeper === self || entry.confirmedBy.has(keeper)) continue;
        missing.set(keeper, [...missing.get(keeper) ?? [], entry]);
      }
    }
    const calls = [...missing].map(([keeper, list]) => handOver(keeper, list));
    await Promise.all(calls);
  };

  /// Drops claims whose living owner has announced them to later keepers, and
  /// those of lost owners that the present keepers have confirmed.
  const dropFormer = (owner: Incarnation, isLinked: boolean) => {
    const former = records.claimsOf(owner).filter((kept) => {
      const keepers = keepersNow(kept);
      if (keepers.includes(self)) return false;
      if (!isLinked) return keepers.every((vm) => kept.confirmedBy.has(vm));
      return clock.now() - kept.receivedAt > FORMER_KEEPER_MILLISECONDS;
    });
    records.withdraw(owner, former.map((kept) => kept.claim.id));
  };

  /// Whether another VM has taken a lost owner's claim over.
  const isTakenOver = ({ claim }: TrackedClaim) =>
    options.isHeldLocally(claim.id) ||
    records.ownersOf(claim.id).some(liveness.isLinked);

  /// Releases what a lost owner had and nobody takes over.
  const releaseOrphans = (
    owner: Incarnation,
    kept: readonly TrackedClaim[],
  ) => {
    const now = clock.now();
    const since = goneSince.get(incarnationKey(owner)) ?? now;
    goneSince.set(incarnationKey(owner), since);
    for (const entry of kept) {
      const { claim } = entry;
      if (keepersNow(entry)[0] !== self) continue;
      if (isTakenOver(entry)) records.withdraw(owner, [claim.id]);
      else if (now - since >= (claim.graceMilliseconds ?? 0)) {
        void startRelease(claim);
      }
    }
  };

  const checkOwner = async (owner: Incarnation) => {
    const isGone = await liveness.hasFailed(owner);
    const isLinked = liveness.isLinked(owner);
    if (isLinked) return dropFormer(owner, isLinked);
    const kept = records.claimsOf(owner);
    await shareOrphans(kept);
    if (isGone) releaseOrphans(owner, kept);
    dropFormer(owner, isLinked);
    if (records.claimsOf(owner).length > 0) return;
    liveness.forget(owner);
    goneSince.delete(incarnationKey(owner));
  };

  /// Ids that their owner, if it can be asked, does not hold.
  const abandonedIds = async (owner: Incarnation, ids: readonly string[]) => {
    if (owner.vm === self && liveness.isLinked(owner)) return [];
    if (!liveness.isLinked(owner)) {
      return await liveness.hasFailed(owner) ? ids : [];
    }
    const { held } = await links.call(owner.vm, heldClaimsCall, {
      ids: [...ids],
    });
    return ids.filter((id) => !held.includes(id));
  };

  const noteUnknown = (ids: readonly string[]) => {
    const now = clock.now();
    for (const id of ids) {
      if (!unknownSince.has(id)) unknownSince.set(id, now);
    }
    return ids.filter((id) =>
      now - unknownSince.get(id)! >= UNKNOWN_STREAM_GRACE_MILLISECONDS
    );
  };

  const compareListing = async (engine: string) => {
    const streams = await clientOf(engine)?.listStreams() ?? [];
    const ids = streams.map((stream) => stream.streamId);
    const unknown = ids.filter((id) =>
      !records.isKnown(id) && !options.isHeldLocally(id)
    );
    for (const { owner, ids } of groupByOwner(noteUnknown(unknown))) {
      for (const id of await abandonedIds(owner, ids)) {
        void startRelease({ engine, kind: "span", id });
      }
    }
    return ids;
  };

  const compareListings = async () => {
    const live = [self, ...links.peers().map((peer) => peer.vm)];
    const kept = options.engineNames().filter((engine) =>
      rankByRendezvous(engine, live)[0] === self
    );
    const results = await Promise.allSettled(kept.map(compareListing));
    const listed = new Set(
      results.flatMap((result) =>
        result.status === "fulfilled" ? result.value : []
      ),
    );
    for (const id of unknownSince.keys()) {
      if (!listed.has(id)) unknownSince.delete(id);
    }
  };

  const keepChecking = async () => {
    for (let count = 1; !signal.aborted; count++) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal);
      await Promise.allSettled(records.owners().map(checkOwner));
      if (count % CHECKS_PER_LISTING === 0) await compareListings();
    }
  };

  links.onCall(announceCall, ({ owner, claims, all }) => {
    records.announce(owner, claims, { all, now: clock.now() });
    return Promise.resolve({});
  });
  links.onMessage(withdrawMessage, ({ ids }, from) => {
    records.withdraw(from, ids);
  });
  keepChecking().catch(() => {});

  return {
    trackedClaims: records.size,
    close: () => stop.abort(new Error("closed")),
  };
}
