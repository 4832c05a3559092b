import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// How upstreams have answered this VM lately. A health probe that passes says
/// little about requests, so results decide.

/// Weight of the newest result in an upstream's share of failures: about the
/// last seven results count.
const RESULT_WEIGHT = 0.15;
/// Time in which a share of failures halves without further results, so that
/// an upstream which is avoided gets another chance.
const HALF_LIFE_MILLISECONDS: Milliseconds = 3_000;
/// Suspension after the first failure that says an upstream is unreachable;
/// doubled by each further one.
const FIRST_SUSPENSION_MILLISECONDS: Milliseconds = 1_000;
const LONGEST_SUSPENSION_MILLISECONDS: Milliseconds = 8_000;

export interface UpstreamHealth {
  noteSuccess(id: string): void;
  /// A failed, broken or missing answer from an upstream that can be reached.
  noteFailure(id: string): void;
  /// The upstream takes no connections.
  noteUnreachable(id: string): void;
  /// Share of recent results that failed, 0 to 1.
  failureShare(id: string): number;
  /// Whether nothing should be sent while others are there. When a suspension
  /// ends, one request at a time tries the upstream until one succeeds.
  isSuspended(id: string): boolean;
  /// Notes that a request is sent, which may be such a try.
  noteSent(id: string): void;
  forget(id: string): void;
}

interface Record {
  failureShare: number;
  /// When the share was last brought up to date.
  sharedAt: Milliseconds;
  suspendedUntil: Milliseconds;
  suspension: Milliseconds;
}

export interface UpstreamHealthOptions {
  readonly clock: Clock;
  readonly log: Logger;
}

export function createUpstreamHealth(
  { clock, log }: UpstreamHealthOptions,
): UpstreamHealth {
  const records = new Map<string, Record>();

  const recordOf = (id: string): Record => {
    const record = records.get(id) ??
      {
        failureShare: 0,
        sharedAt: clock.now(),
        suspendedUntil: -Infinity,
        suspension: 0,
      };
    records.set(id, record);
    return record;
  };

  const shareOf = (record: Record): number => {
    const halvings = (clock.now() - record.sharedAt) / HALF_LIFE_MILLISECONDS;
    return record.failureShare * 0.5 ** halvings;
  };

  const add = (id: string, failed: number) => {
    const record = recordOf(id);
    const share = shareOf(record);
    record.failureShare = share + (failed - share) * RESULT_WEIGHT;
    record.sharedAt = clock.now();
    return record;
  };

  return {
    noteSuccess(id) {
      const record = add(id, 0);
      if (record.suspension > 0) {
        log.info("upstream regained", { upstream: id });
      }
      record.suspension = 0;
      record.suspendedUntil = -Infinity;
    },
    noteFailure: (id) => void add(id, 1),
    noteUnreachable(id) {
      const record = add(id, 1);
      const now = clock.now();
      // Several requests break together: that counts once.
      if (now < record.suspendedUntil) return;
      record.suspension = Math.min(
        LONGEST_SUSPENSION_MILLISECONDS,
        Math.max(FIRST_SUSPENSION_MILLISECONDS, 2 * record.suspension),
      );
      record.suspendedUntil = now + record.suspension;
      log.warn("upstream suspended", {
        upstream: id,
        milliseconds: record.suspension,
        failureShare: record.failureShare,
      });
    },
    failureShare(id) {
      const record = records.get(id);
      return record ? shareOf(record) : 0;
    },
    isSuspended(id) {
      const record = records.get(id);
      return record !== undefined && clock.now() < record.suspendedUntil;
    },
    noteSent(id) {
      const record = records.get(id);
      if (!record || record.suspension === 0) return;
      record.suspendedUntil = clock.now() + record.suspension;
    },
    forget: (id) => void records.delete(id),
  };
}
