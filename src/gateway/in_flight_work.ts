import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { PlacementOwners } from "./placement_owners.ts";
import { createWorkReports, type ResultListener } from "./work_reports.ts";
import { sumOfWork, type UpstreamWork, type WorkRow } from "./work_table.ts";

/// The in-flight work at the upstreams: this VM's own, and what others have
/// reported. The work of another VM is removed when the link to it disconnects.

/// The end of a prefill is reported if it is earlier than the reported estimate
/// by more than this.
const MINIMUM_REPORTED_PREFILL_MILLISECONDS: Milliseconds = 20;

/// One item of in-flight work.
export interface WorkItem {
  /// Records that the prompt, or its span, has been prefilled.
  prefillDone(): void;
  end(): void;
}

export interface InFlightWork {
  /// Adds work that is being sent to an upstream.
  start(upstream: string, work: UpstreamWork): WorkItem;
  /// Counts work that another VM is about to send to an upstream.
  claim(vm: string, upstream: string, work: UpstreamWork): void;
  /// Reports the work at an upstream again, which ends a claim that an owner
  /// made for this VM in vain.
  report(upstream: string): void;
  /// The known work at one upstream.
  workAt(upstream: string): UpstreamWork;
  /// Time until other VMs receive the report of work that is started now;
  /// `Infinity` if this VM doesn't learn of their work.
  reportDelay(): Milliseconds;
  /// Records the result of a request, for the owner of the data centre.
  recordResult(upstream: string, hasFailed: boolean): void;
  onResults(listener: ResultListener): void;
}

/// Total work of this VM at one upstream.
interface WorkTotals {
  requests: number;
  shortRequests: number;
  memoryTokens: number;
  spans: number;
  prefills: number;
  prefillUntil: Milliseconds;
}

export interface InFlightWorkOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly owners: PlacementOwners;
  readonly dataCentreOf: (upstream: string) => string | undefined;
}

export function createInFlightWork(options: InFlightWorkOptions): InFlightWork {
  const { clock } = options;
  const ownWork = new Map<string, WorkTotals>();

  const workAt = (upstream: string, includesReported = true) => {
    const own = ownWork.get(upstream);
    const reported = includesReported
      ? reports.table().entriesAt(upstream)
      : [];
    return sumOfWork(own ? [own, ...reported] : reported, clock.now());
  };

  const rowOf = (upstream: string, includesReported: boolean): WorkRow => {
    const work = workAt(upstream, includesReported);
    return [
      upstream,
      work.requests,
      work.shortRequests,
      work.memoryTokens,
      work.spans,
      Math.round(work.prefillMilliseconds),
    ];
  };

  const reports = createWorkReports({
    ...options,
    rowOf,
    ownUpstreams: () => ownWork.keys(),
  });

  const start = (upstream: string, work: UpstreamWork): WorkItem => {
    const now = clock.now();
    const totals = ownWork.get(upstream) ??
      {
        requests: 0,
        shortRequests: 0,
        memoryTokens: 0,
        spans: 0,
        prefills: 0,
        prefillUntil: now,
      };
    ownWork.set(upstream, totals);
    totals.requests += work.requests;
    totals.shortRequests += work.shortRequests;
    totals.memoryTokens += work.memoryTokens;
    totals.spans += work.spans;
    totals.prefills += 1;
    totals.prefillUntil = Math.max(now, totals.prefillUntil) +
      work.prefillMilliseconds;
    reports.schedule(upstream);
    let isPrefilling = true;
    let isInFlight = true;
    const prefillDone = () => {
      if (!isPrefilling) return;
      isPrefilling = false;
      totals.prefills -= 1;
      totals.spans -= work.spans;
      const remainingEstimate = totals.prefillUntil - clock.now();
      if (totals.prefills === 0) totals.prefillUntil = clock.now();
      // The estimate of the other VMs ends by itself at about the same time.
      const needsReport = totals.prefills === 0 &&
        remainingEstimate > MINIMUM_REPORTED_PREFILL_MILLISECONDS;
      if (needsReport || work.spans > 0) reports.schedule(upstream);
    };
    return {
      prefillDone,
      end() {
        if (!isInFlight) return;
        isInFlight = false;
        // A span that has been prefilled leaves no work to remove.
        const needsReport = isPrefilling || work.requests > 0;
        // An engine continues the prefill of an aborted request; the estimate
        // ends by itself.
        if (isPrefilling) {
          totals.prefills -= 1;
          totals.spans -= work.spans;
        }
        isPrefilling = false;
        totals.requests -= work.requests;
        totals.shortRequests -= work.shortRequests;
        totals.memoryTokens -= work.memoryTokens;
        const isIdle = totals.requests === 0 && totals.prefills === 0;
        if (isIdle && totals.prefillUntil <= clock.now()) {
          ownWork.delete(upstream);
        }
        if (needsReport) reports.schedule(upstream);
      },
    };
  };

  return {
    start,
    claim: (vm, upstream, work) => reports.table().claim(vm, upstream, work),
    report: reports.schedule,
    workAt: (upstream) => workAt(upstream),
    reportDelay: reports.reportDelay,
    recordResult: reports.recordResult,
    onResults: reports.onResults,
  };
}
