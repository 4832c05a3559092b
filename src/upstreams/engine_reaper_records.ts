import type { Milliseconds } from "../support/clock.ts";
import {
  type EngineClaim,
  type Incarnation,
  incarnationKey,
} from "./engine_reaper_messages.ts";

/// What a keeper knows of the engine memory of others.

export interface TrackedClaim {
  readonly claim: EngineClaim;
  readonly owner: Incarnation;
  readonly receivedAt: Milliseconds;
  /// VMs that have confirmed the claim after its owner was lost.
  readonly confirmedBy: Set<string>;
}

export interface ReaperRecords {
  announce(
    owner: Incarnation,
    claims: readonly EngineClaim[],
    options: { all: boolean; now: Milliseconds },
  ): void;
  withdraw(owner: Incarnation, ids: readonly string[]): void;
  owners(): readonly Incarnation[];
  claimsOf(owner: Incarnation): readonly TrackedClaim[];
  isKnown(id: string): boolean;
  /// Owners that have announced this id.
  ownersOf(id: string): readonly Incarnation[];
  size(): number;
}

interface OwnerRecord {
  readonly owner: Incarnation;
  readonly claims: Map<string, TrackedClaim>;
}

export function createReaperRecords(): ReaperRecords {
  const records = new Map<string, OwnerRecord>();

  const recordOf = (owner: Incarnation) => {
    const key = incarnationKey(owner);
    const record = records.get(key) ?? { owner, claims: new Map() };
    records.set(key, record);
    return record;
  };

  const dropIfEmpty = ({ owner, claims }: OwnerRecord) => {
    if (claims.size === 0) records.delete(incarnationKey(owner));
  };

  return {
    announce(owner, claims, { all, now }) {
      const record = recordOf(owner);
      if (all) record.claims.clear();
      for (const claim of claims) {
        if (record.claims.has(claim.id)) continue;
        const handedTo = new Set<string>();
        record.claims.set(claim.id, {
          claim,
          owner,
          receivedAt: now,
          confirmedBy: handedTo,
        });
      }
      dropIfEmpty(record);
    },
    withdraw(owner, ids) {
      const record = records.get(incarnationKey(owner));
      if (!record) return;
      for (const id of ids) record.claims.delete(id);
      dropIfEmpty(record);
    },
    owners: () => [...records.values()].map((record) => record.owner),
    claimsOf(owner) {
      const record = records.get(incarnationKey(owner));
      return record ? [...record.claims.values()] : [];
    },
    isKnown: (id) =>
      [...records.values()].some((record) => record.claims.has(id)),
    ownersOf: (id) =>
      [...records.values()]
        .filter((record) => record.claims.has(id))
        .map((record) => record.owner),
    size: () =>
      [...records.values()].reduce(
        (total, record) => total + record.claims.size,
        0,
      ),
  };
}
