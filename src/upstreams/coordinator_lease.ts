import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
} from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { VmIdentity } from "../vms/identity.ts";

/// Makes one VM of a region the steward for as long as its lease lasts. The
/// revision of the write that made it steward is its fencing number.

export const LEASE_SECONDS = 15;
const RENEW_INTERVAL_MILLISECONDS = 4_000;
const CAMPAIGN_INTERVAL_MILLISECONDS = 2_000;

/// One VM's time as the steward.
export interface CoordinatorTerm {
  /// Grows with each tenure of the region.
  readonly fencing: number;
  readonly since: Milliseconds;
  /// End of the lease on this VM's clock; not after its end at the store.
  readonly leaseEnd: Milliseconds;
}

export interface CoordinatorLeaseOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly self: VmIdentity;
  readonly region: string;
  /// Whether this VM may be the steward now.
  readonly isCandidate: () => boolean;
}

export interface CoordinatorLease {
  /// The tenure, unless its lease has ended.
  current(): CoordinatorTerm | undefined;
  /// Gives a tenure up, because a newer one is known to exist.
  abandon(tenure: CoordinatorTerm): void;
  close(): void;
}

/// Key that names the steward of a region.
export function coordinatorKey(region: string): string {
  return `stewards/${region}`;
}

export function startCoordinatorLease(
  options: CoordinatorLeaseOptions,
): CoordinatorLease {
  const { clock, log, store, self, region } = options;
  const key = coordinatorKey(region);
  const stop = new AbortController();
  let tenure: CoordinatorTerm | undefined;
  let attempts = 0;

  const readBack = async (value: string): Promise<number | undefined> => {
    const found = await store.get(key);
    const isOurs = found && Buffer.from(found.value).toString() === value;
    return isOurs ? found.modifiedRevision : undefined;
  };

  /// Writes the key if it is free. Returns the fencing number, or undefined.
  const claim = async (lease: string): Promise<number | undefined> => {
    const { vm, incarnation } = self;
    const value = JSON.stringify({ vm, incarnation, attempt: attempts++ });
    const put = { kind: "put" as const, key, value: Buffer.from(value), lease };
    try {
      const free = [{ key, modifiedRevision: 0 }];
      const result = await store.transact(free, [put]);
      return result.succeeded ? result.revision : undefined;
    } catch (error) {
      if (!(error instanceof StoreOutcomeUnknownError)) throw error;
      return await readBack(value);
    }
  };

  const renew = async (
    lease: string,
    held: CoordinatorTerm,
  ): Promise<CoordinatorTerm> => {
    const startedAt = clock.now();
    if (!await store.keepAlive(lease)) throw new Error("the lease has lapsed");
    return { ...held, leaseEnd: startedAt + LEASE_SECONDS * 1_000 };
  };

  /// Keeps the lease until it is lost, given up or no longer wanted.
  const hold = async (lease: string, first: CoordinatorTerm) => {
    tenure = first;
    log.info("steward", { region, fencing: first.fencing });
    while (tenure && clock.now() < tenure.leaseEnd) {
      await clock.sleep(RENEW_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
      if (stop.signal.aborted || !options.isCandidate()) break;
      try {
        if (tenure) tenure = await renew(lease, tenure);
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("steward lease not renewed", { region, reason });
      }
    }
    tenure = undefined;
    log.info("no longer steward", { region, fencing: first.fencing });
  };

  const campaign = async () => {
    if (!options.isCandidate() || await store.get(key)) return;
    const since = clock.now();
    const lease = await store.grantLease(LEASE_SECONDS);
    try {
      const fencing = await claim(lease.id);
      const leaseEnd = since + LEASE_SECONDS * 1_000;
      if (fencing !== undefined) {
        await hold(lease.id, { fencing, since, leaseEnd });
      }
    } finally {
      await store.revokeLease(lease.id).catch(() => {});
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await campaign().catch((error: Error) =>
        log.warn("steward campaign failed", { region, reason: error.message })
      );
      await clock.sleep(CAMPAIGN_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  void run();
  return {
    current: () => tenure && clock.now() < tenure.leaseEnd ? tenure : undefined,
    abandon(old) {
      if (tenure?.fencing === old.fencing) tenure = undefined;
    },
    close: () => stop.abort(new Error("closed")),
  };
}
