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

/// Frees the memory that engines hold for failed owners. Each engine has two
/// reapers. They track the claims on its memory, and release those that the
/// owner can no longer release.

const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 1_000;
/// Checks between two comparisons with the streams that the engines list.
const CHECKS_PER_LISTING = 5;
/// Time for which an engine may list a stream that no VM has announced.
const UNKNOWN_STREAM_GRACE_MILLISECONDS: Milliseconds = 10_000;
/// Time for which a VM that is no longer a reaper of an engine keeps the claims
/// of a live owner.
const FORMER_REAPER_RETENTION_MILLISECONDS: Milliseconds = 30_000;

export interface EngineReaper {
  /// Number of claims that this VM tracks for other VMs.
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

/// Omits ids of another form: those streams belong to other systems and must
/// not be ended.
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
  const failedSince = new Map<string, Milliseconds>();
  const unknownSince = new Map<string, Milliseconds>();

  const currentReapers = ({ claim, owner }: TrackedClaim) => {
    const live = [self, ...links.peers().map((peer) => peer.vm)];
    return reapersOf(claim.engine, { live, owner: owner.vm });
  };

  /// Releases a claim twice, because the last call of a failed owner may reach
  /// the engine after the first release.
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
      // This reaper was closed; the other one takes over.
    } finally {
      releasing.delete(claim.id);
    }
  };

  /// Announces the claims of a disconnected owner to a reaper that may lack
  /// them.
  const forwardClaims = async (
    reaper: string,
    tracked: readonly TrackedClaim[],
  ) => {
    const { owner } = tracked[0]!;
    const claims = tracked.map(({ claim }) => claim);
    try {
      await links.call(reaper, announceCall, { owner, claims, all: false });
      for (const { confirmedBy } of tracked) confirmedBy.add(reaper);
    } catch {
      // The next check retries.
    }
  };

  /// Forwards the claims of a disconnected owner to all their current reapers.
  const forwardOrphans = async (tracked: readonly TrackedClaim[]) => {
    const missing = new Map<string, TrackedClaim[]>();
    for (const entry of tracked) {
      for (const reaper of currentReapers(entry)) {
        if (reaper === self || entry.confirmedBy.has(reaper)) continue;
        missing.set(reaper, [...missing.get(reaper) ?? [], entry]);
      }
    }
    const calls = [...missing].map(([reaper, list]) =>
      forwardClaims(reaper, list)
    );
    await Promise.all(calls);
  };

  /// Drops claims on engines that this VM is no longer a reaper of. A live
  /// owner announces its claims to the current reapers itself. Claims of a
  /// disconnected owner are dropped once the current reapers have confirmed
  /// them.
  const dropFormerClaims = (owner: Incarnation, isLinked: boolean) => {
    const former = records.claimsOf(owner).filter((tracked) => {
      const reapers = currentReapers(tracked);
      if (reapers.includes(self)) return false;
      if (!isLinked) return reapers.every((vm) => tracked.confirmedBy.has(vm));
      return clock.now() - tracked.receivedAt >
        FORMER_REAPER_RETENTION_MILLISECONDS;
    });
    records.withdraw(owner, former.map((tracked) => tracked.claim.id));
  };

  /// Whether a VM has taken over the claim of a failed owner.
  const isTakenOver = ({ claim }: TrackedClaim) =>
    options.isHeldLocally(claim.id) ||
    records.ownersOf(claim.id).some(liveness.isLinked);

  /// Releases the claims of a failed owner that no VM takes over.
  const releaseOrphans = (
    owner: Incarnation,
    tracked: readonly TrackedClaim[],
  ) => {
    const now = clock.now();
    const since = failedSince.get(incarnationKey(owner)) ?? now;
    failedSince.set(incarnationKey(owner), since);
    for (const entry of tracked) {
      const { claim } = entry;
      if (currentReapers(entry)[0] !== self) continue;
      if (isTakenOver(entry)) records.withdraw(owner, [claim.id]);
      else if (now - since >= (claim.graceMilliseconds ?? 0)) {
        void startRelease(claim);
      }
    }
  };

  const checkOwner = async (owner: Incarnation) => {
    const hasFailed = await liveness.hasFailed(owner);
    const isLinked = liveness.isLinked(owner);
    if (isLinked) return dropFormerClaims(owner, isLinked);
    const tracked = records.claimsOf(owner);
    await forwardOrphans(tracked);
    if (hasFailed) releaseOrphans(owner, tracked);
    dropFormerClaims(owner, isLinked);
    if (records.claimsOf(owner).length > 0) return;
    liveness.forget(owner);
    failedSince.delete(incarnationKey(owner));
  };

  /// Ids that their owner reports as not held, or all ids of a failed owner.
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

  /// Records ids that no VM has announced. Returns those whose grace time is
  /// over.
  const recordUnknown = (ids: readonly string[]) => {
    const now = clock.now();
    for (const id of ids) {
      if (!unknownSince.has(id)) unknownSince.set(id, now);
    }
    return ids.filter((id) =>
      now - unknownSince.get(id)! >= UNKNOWN_STREAM_GRACE_MILLISECONDS
    );
  };

  /// Releases streams of an engine that no VM holds. Returns the ids of all
  /// streams that the engine lists.
  const releaseUnheldStreams = async (engine: string) => {
    const streams = await clientOf(engine)?.listStreams() ?? [];
    const ids = streams.map((stream) => stream.streamId);
    const unknown = ids.filter((id) =>
      !records.isKnown(id) && !options.isHeldLocally(id)
    );
    for (const { owner, ids } of groupByOwner(recordUnknown(unknown))) {
      for (const id of await abandonedIds(owner, ids)) {
        void startRelease({ engine, kind: "span", id });
      }
    }
    return ids;
  };

  /// Checks the streams that engines list, for each engine for which this VM
  /// ranks first.
  const checkListings = async () => {
    const live = [self, ...links.peers().map((peer) => peer.vm)];
    const assigned = options.engineNames().filter((engine) =>
      rankByRendezvous(engine, live)[0] === self
    );
    const results = await Promise.allSettled(
      assigned.map(releaseUnheldStreams),
    );
    const listed = new Set(
      results.flatMap((result) =>
        result.status === "fulfilled" ? result.value : []
      ),
    );
    for (const id of unknownSince.keys()) {
      if (!listed.has(id)) unknownSince.delete(id);
    }
  };

  const runChecks = async () => {
    for (let count = 1; !signal.aborted; count++) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal);
      await Promise.allSettled(records.owners().map(checkOwner));
      if (count % CHECKS_PER_LISTING === 0) await checkListings();
    }
  };

  links.onCall(announceCall, ({ owner, claims, all }) => {
    records.announce(owner, claims, { all, now: clock.now() });
    return Promise.resolve({});
  });
  links.onMessage(withdrawMessage, ({ ids }, from) => {
    records.withdraw(from, ids);
  });
  runChecks().catch(() => {});

  return {
    trackedClaims: records.size,
    close: () => stop.abort(new Error("closed")),
  };
}
