import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";

/// Health of upstreams according to recent results. A successful health probe
/// indicates little about requests, so the results of requests decide: those of
/// this VM, and those that the other VMs report, since one VM of many sends to
/// an upstream too seldom for its own failures to suffice. An upstream may fail
/// for some VMs only. A VM's own results therefore take precedence, and those
/// of the others count only if most of them agree.

/// Weight of the newest result in an upstream's failure share: about the last
/// seven results count.
const RESULT_WEIGHT = 0.15;
/// Time in which a failure share halves without further results, so that an
/// avoided upstream gets requests again.
const FAILURE_HALF_LIFE_MILLISECONDS: Milliseconds = 3_000;
/// Suspension after the first failure that shows an upstream to be unreachable;
/// each further one doubles it.
const FIRST_SUSPENSION_MILLISECONDS: Milliseconds = 1_000;
/// Time for which other upstreams are preferred while no VM opens a tunnel.
const NO_PATH_SUSPENSION_MILLISECONDS: Milliseconds = 300;
const MAXIMUM_SUSPENSION_MILLISECONDS: Milliseconds = 8_000;
/// Suspensions after broken responses or reports of other VMs last up to this
/// share longer, and end at a different time on each VM: the first VM that
/// sends to the upstream again reports the result to the others.
const SUSPENSION_JITTER_RATIO = 1;

/// Time for which a VM's report on an upstream counts.
const MAXIMUM_REPORT_AGE_MILLISECONDS: Milliseconds = 4_000;
/// Minimum time between two reports of one VM on one upstream.
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Number of requests of this VM, or number of VMs, that an upstream must have
/// failed recently to be suspended. A single VM may have a fault of its own.
const MINIMUM_FAILURES = 2;
/// Age up to which this VM's own success outweighs the failures of others.
const MAXIMUM_SUCCESS_AGE_MILLISECONDS: Milliseconds = 1_000;

/// Cause of a suspension that results only from reports of other VMs.
const OTHER_VMS = "other VMs";

const healthMessage = defineMessage(
  "gateway.health",
  Type.Object({ upstream: Type.String(), hasFailed: Type.Boolean() }),
  { replaceKey: ({ upstream }) => upstream },
);

export interface UpstreamHealth {
  recordSuccess(id: string): void;
  /// Records that the upstream has begun to respond.
  recordResponding(id: string): void;
  /// Records a failed response from a reachable upstream.
  recordFailure(id: string): void;
  /// Records a response that broke off or never arrived, although a connection
  /// was established.
  recordBroken(id: string): void;
  /// Records that the upstream accepts no connections.
  recordUnreachable(id: string): void;
  /// Records that this VM has no path to the upstream, and doesn't know whether
  /// others have one. They aren't told, since it says nothing about the upstream.
  recordNoPath(id: string): void;
  /// Share of recent results that failed, 0 to 1.
  failureShare(id: string): number;
  /// Whether requests should go to other upstreams if there are any. When a
  /// suspension ends, the upstream gets one request at a time as a probe until
  /// one succeeds.
  isSuspended(id: string): boolean;
  /// Number of upstreams that accepted no connection from this VM when they were
  /// last tried.
  countUnreachable(): number;
  /// Ids of the suspended upstreams.
  suspended(): readonly string[];
  /// Records the results of other VMs' requests, as the owner of the placement
  /// on the upstream.
  recordReported(
    id: string,
    results: { readonly successes: number; readonly failures: number },
  ): void;
  /// Records that a request is sent, which may be such a probe.
  recordSent(id: string): void;
  /// Removes the results of an upstream.
  remove(id: string): void;
}

interface UpstreamRecord {
  failureShare: number;
  /// When the failure share was last updated.
  shareUpdatedAt: Milliseconds;
  suspendedAt: Milliseconds;
  suspendedUntil: Milliseconds;
  /// Length of the last suspension; 0 if the upstream has succeeded since.
  suspension: Milliseconds;
  /// Number of consecutive broken responses.
  brokenResponses: number;
  isUnreachable: boolean;
  succeededAt: Milliseconds;
  reportedAt: Milliseconds;
  /// Last report of each other VM.
  reports: Map<
    string,
    { readonly hasFailed: boolean; readonly at: Milliseconds }
  >;
}

export interface UpstreamHealthOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
}

export function createUpstreamHealth(
  { clock, random, log, links }: UpstreamHealthOptions,
): UpstreamHealth {
  const records = new Map<string, UpstreamRecord>();

  const recordOf = (id: string): UpstreamRecord => {
    const record = records.get(id) ??
      {
        failureShare: 0,
        shareUpdatedAt: clock.now(),
        suspendedAt: -Infinity,
        suspendedUntil: -Infinity,
        suspension: 0,
        brokenResponses: 0,
        isUnreachable: false,
        succeededAt: -Infinity,
        reportedAt: -Infinity,
        reports: new Map(),
      };
    records.set(id, record);
    return record;
  };

  const shareOf = (record: UpstreamRecord): number => {
    const halvings = (clock.now() - record.shareUpdatedAt) /
      FAILURE_HALF_LIFE_MILLISECONDS;
    return record.failureShare * 0.5 ** halvings;
  };

  const addResult = (id: string, failed: number) => {
    const record = recordOf(id);
    const share = shareOf(record);
    record.failureShare = share + (failed - share) * RESULT_WEIGHT;
    record.shareUpdatedAt = clock.now();
    return record;
  };

  const report = (id: string, hasFailed: boolean) => {
    const record = recordOf(id);
    const now = clock.now();
    if (now - record.reportedAt < REPORT_INTERVAL_MILLISECONDS) return;
    record.reportedAt = now;
    links.broadcast(healthMessage, { upstream: id, hasFailed });
  };

  /// Number of other VMs that recently reported a failure, or a success, of the
  /// upstream.
  const countReports = ({ reports }: UpstreamRecord) => {
    const since = clock.now() - MAXIMUM_REPORT_AGE_MILLISECONDS;
    const recent = [...reports.values()].filter(({ at }) => at >= since);
    const failing = recent.filter(({ hasFailed }) => hasFailed).length;
    return { failing, served: recent.length - failing };
  };

  const suspend = (
    id: string,
    { jitter, cause }: { jitter: number; cause: string },
  ) => {
    const record = recordOf(id);
    const now = clock.now();
    // Several requests that fail together count once.
    if (now < record.suspendedAt + record.suspension) return;
    const isFirst = record.suspension === 0;
    record.suspension = Math.min(
      MAXIMUM_SUSPENSION_MILLISECONDS,
      Math.max(FIRST_SUSPENSION_MILLISECONDS, 2 * record.suspension),
    );
    record.suspendedAt = now;
    record.suspendedUntil = now +
      record.suspension * (1 + jitter * random.next());
    // Further suspensions that only reports of other VMs cause aren't logged.
    if (cause === OTHER_VMS && !isFirst) return;
    const { failing, served } = countReports(record);
    log.warn("upstream suspended", {
      upstream: id,
      cause,
      milliseconds: Math.round(record.suspendedUntil - now),
      failureShare: record.failureShare,
      vmsFailed: failing,
      vmsServed: served,
    });
  };

  const recordSuccess = (id: string) => {
    const record = addResult(id, 0);
    const now = clock.now();
    record.succeededAt = now;
    record.brokenResponses = 0;
    record.isUnreachable = false;
    if (record.suspension > 0) log.info("upstream regained", { upstream: id });
    record.suspension = 0;
    record.suspendedUntil = -Infinity;
    if (countReports(record).failing > 0) report(id, false);
  };

  links.onMessage(healthMessage, ({ upstream, hasFailed }, { vm }) => {
    const record = recordOf(upstream);
    const now = clock.now();
    record.reports.set(vm, { hasFailed, at: now });
    if (!hasFailed) return;
    if (now - record.succeededAt < MAXIMUM_SUCCESS_AGE_MILLISECONDS) {
      return report(upstream, false);
    }
    const { failing, served } = countReports(record);
    const isSuspect = failing >= MINIMUM_FAILURES || record.suspension > 0;
    if (!isSuspect || failing <= served) return;
    suspend(upstream, { jitter: SUSPENSION_JITTER_RATIO, cause: OTHER_VMS });
  });

  return {
    recordSuccess,
    recordResponding(id) {
      const record = recordOf(id);
      record.succeededAt = clock.now();
      record.brokenResponses = 0;
      record.isUnreachable = false;
    },
    recordFailure: (id) => void addResult(id, 1),
    recordBroken(id) {
      const record = addResult(id, 1);
      record.brokenResponses += 1;
      report(id, true);
      const { failing, served } = countReports(record);
      const isSuspect = record.brokenResponses >= MINIMUM_FAILURES ||
        record.suspension > 0 ||
        (failing + 1 >= MINIMUM_FAILURES && failing >= served);
      if (!isSuspect) return;
      suspend(id, {
        jitter: SUSPENSION_JITTER_RATIO,
        cause: "broken responses",
      });
    },
    recordUnreachable(id) {
      addResult(id, 1).isUnreachable = true;
      report(id, true);
      suspend(id, { jitter: 0, cause: "unreachable" });
    },
    recordNoPath(id) {
      const record = recordOf(id);
      record.isUnreachable = true;
      record.suspendedUntil = Math.max(
        record.suspendedUntil,
        clock.now() + NO_PATH_SUSPENSION_MILLISECONDS,
      );
    },
    failureShare(id) {
      const record = records.get(id);
      return record ? shareOf(record) : 0;
    },
    isSuspended(id) {
      const record = records.get(id);
      return record !== undefined && clock.now() < record.suspendedUntil;
    },
    countUnreachable: () =>
      [...records.values()].filter(({ isUnreachable }) => isUnreachable).length,
    suspended: () =>
      [...records].flatMap(([id, record]) =>
        clock.now() < record.suspendedUntil ? [id] : []
      ),
    recordReported(id, { successes, failures }) {
      for (let count = 0; count < failures; count++) addResult(id, 1);
      if (successes === 0) return;
      for (let count = 0; count < successes; count++) addResult(id, 0);
      const record = recordOf(id);
      // The VMs that still fail avoid the upstream by their own results.
      record.suspension = 0;
      record.suspendedUntil = -Infinity;
    },
    recordSent(id) {
      const record = records.get(id);
      if (!record || record.suspension === 0) return;
      record.suspendedUntil = clock.now() + record.suspension;
    },
    remove: (id) => void records.delete(id),
  };
}
