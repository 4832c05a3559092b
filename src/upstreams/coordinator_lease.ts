import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
} from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { VmIdentity } from "../vms/identity.ts";

/// Makes one VM of a region the coordinator while it holds a lease at the
/// store. The fencing number is the revision of the write that made it the
/// coordinator.

/// Time after which the lease expires unless it is renewed.
export const LEASE_SECONDS = 15;
const RENEW_INTERVAL_MILLISECONDS = 4_000;
const CAMPAIGN_INTERVAL_MILLISECONDS = 2_000;

/// The period for which one VM is the coordinator.
export interface CoordinatorTerm {
  /// Increases with each term of the region.
  readonly fencing: number;
  readonly since: Milliseconds;
  /// End of the lease on this VM's clock; not later than its end at the store.
  readonly leaseEnd: Milliseconds;
}

export interface CoordinatorLeaseOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly self: VmIdentity;
  readonly region: string;
  /// Whether this VM may be the coordinator now.
  readonly isCandidate: () => boolean;
}

export interface CoordinatorLease {
  /// The current term of this VM, unless its lease has ended.
  current(): CoordinatorTerm | undefined;
  /// Ends a term of this VM early, for use when a newer term exists.
  abandon(term: CoordinatorTerm): void;
  close(): void;
}

/// Store key under which the coordinator of a region is written.
export function coordinatorKey(region: string): string {
  return `stewards/${region}`;
}

/// Tries to become the coordinator at each interval while there is none, until
/// `close`.
export function startCoordinatorLease(
  options: CoordinatorLeaseOptions,
): CoordinatorLease {
  const { clock, log, store, self, region } = options;
  const key = coordinatorKey(region);
  const stop = new AbortController();
  let term: CoordinatorTerm | undefined;
  let attempts = 0;

  /// Returns the fencing number after a write with an unknown outcome, or
  /// undefined if the key holds another value.
  const readBack = async (value: string): Promise<number | undefined> => {
    const found = await store.get(key);
    const isOwnValue = found && Buffer.from(found.value).toString() === value;
    return isOwnValue ? found.modifiedRevision : undefined;
  };

  /// Writes the key if it is free. Returns the fencing number, or undefined if
  /// the write had no effect.
  const claim = async (lease: string): Promise<number | undefined> => {
    const { vm, incarnation } = self;
    // The number of the attempt makes the value unique for `readBack`.
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
    if (!await store.keepAlive(lease)) throw new Error("the lease has expired");
    return { ...held, leaseEnd: startedAt + LEASE_SECONDS * 1_000 };
  };

  /// Renews the lease until it ends, the term is given up, this VM is no longer
  /// a candidate or `close` is called.
  const hold = async (lease: string, first: CoordinatorTerm) => {
    term = first;
    log.info("steward", { region, fencing: first.fencing });
    while (term && clock.now() < term.leaseEnd) {
      await clock.sleep(RENEW_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
      if (stop.signal.aborted || !options.isCandidate()) break;
      try {
        if (term) term = await renew(lease, term);
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("coordinator lease not renewed", { region, reason });
      }
    }
    term = undefined;
    log.info("no longer coordinator", { region, fencing: first.fencing });
  };

  /// Tries to become the coordinator unless there is one. Resolves when the
  /// attempt has failed or the term has ended.
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
        log.warn("coordinator campaign failed", {
          region,
          reason: error.message,
        })
      );
      await clock.sleep(CAMPAIGN_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  void run();
  return {
    current: () => term && clock.now() < term.leaseEnd ? term : undefined,
    abandon(old) {
      if (term?.fencing === old.fencing) term = undefined;
    },
    close: () => stop.abort(new Error("closed")),
  };
}
