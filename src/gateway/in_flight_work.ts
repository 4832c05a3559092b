import { type Static, Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";

/// The in-flight work of all VMs at the upstreams. Each VM counts its own work
/// and reports changes to the others. The work of another VM is removed when
/// the link to it disconnects.

/// Time for which changes are batched before they are broadcast. Until then the
/// other VMs may send to the same engines. Each message goes to every VM, so
/// the delay grows with the number of VMs, but stays below the time of one pass
/// of an engine.
const BATCH_DELAY_PER_VM_MILLISECONDS: Milliseconds = 0.5;
const MINIMUM_BATCH_DELAY_MILLISECONDS: Milliseconds = 5;
const MAXIMUM_BATCH_DELAY_MILLISECONDS: Milliseconds = 40;

/// Approximate transit time of a message to other VMs, over two links and
/// through their queues.
const TRANSIT_MILLISECONDS: Milliseconds = 5;

/// The end of a prefill is reported if it is earlier than the reported estimate
/// by more than this.
const MINIMUM_REPORTED_PREFILL_MILLISECONDS: Milliseconds = 20;

/// A tuple, since field names would be three quarters of the bytes that many
/// VMs send.
const WorkRow = Type.Tuple([
  Type.String({ description: "upstream" }),
  Type.Number({ description: "requests" }),
  Type.Number({ description: "short requests among them" }),
  Type.Number({ description: "tokens of memory" }),
  Type.Number({ description: "spans that it prefills for other engines" }),
  Type.Number({ description: "milliseconds of remaining prefill" }),
]);
type WorkRow = Static<typeof WorkRow>;

const workMessage = defineMessage(
  "gateway.work",
  Type.Object({
    /// Whether upstreams without a row have no work.
    isWhole: Type.Boolean(),
    rows: Type.Array(WorkRow),
  }),
);

/// In-flight work at one upstream.
export interface UpstreamWork {
  readonly requests: number;
  /// Those among them whose streams allow only short event gaps.
  readonly shortRequests: number;
  readonly memoryTokens: number;
  /// Spans that it prefills for requests on other engines.
  readonly spans: number;
  /// Remaining prefill.
  readonly prefillMilliseconds: Milliseconds;
}

/// One item of in-flight work.
export interface WorkItem {
  /// Records that the prompt, or its span, has been prefilled.
  prefillDone(): void;
  end(): void;
}

export interface InFlightWork {
  /// Adds work that is being sent to an upstream.
  start(upstream: string, work: UpstreamWork): WorkItem;
  /// The work of all VMs at one upstream.
  workAt(upstream: string): UpstreamWork;
  /// Time until other VMs receive the report of work that is started now.
  reportDelay(): Milliseconds;
}

/// Total work of one VM at one upstream.
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
}

export function createInFlightWork(
  { clock, links }: InFlightWorkOptions,
): InFlightWork {
  const ownWork = new Map<string, WorkTotals>();
  const peerWork = new Map<string, Map<string, WorkTotals>>();
  const changed = new Set<string>();
  const newPeers = createNewPeers(links);
  let timer: Timer | undefined;

  const rowOf = (upstream: string): WorkRow => {
    const totals = ownWork.get(upstream);
    const remainingPrefill = Math.max(
      0,
      (totals?.prefillUntil ?? 0) - clock.now(),
    );
    return [
      upstream,
      totals?.requests ?? 0,
      totals?.shortRequests ?? 0,
      totals?.memoryTokens ?? 0,
      totals?.spans ?? 0,
      Math.round(remainingPrefill),
    ];
  };

  const sendReport = () => {
    timer = undefined;
    const rows = [...changed].map(rowOf);
    changed.clear();
    links.broadcast(workMessage, { isWhole: false, rows });
  };

  const scheduleReport = (upstream: string) => {
    changed.add(upstream);
    timer ??= clock.schedule(batchDelay(), sendReport);
  };

  const batchDelay = (): Milliseconds =>
    Math.min(
      MAXIMUM_BATCH_DELAY_MILLISECONDS,
      Math.max(
        MINIMUM_BATCH_DELAY_MILLISECONDS,
        links.peers().length * BATCH_DELAY_PER_VM_MILLISECONDS,
      ),
    );

  links.onMessage(workMessage, ({ isWhole, rows }, from) => {
    const now = clock.now();
    const byUpstream = isWhole ? new Map() : peerWork.get(from.vm) ?? new Map();
    peerWork.set(from.vm, byUpstream);
    for (const row of rows) {
      const [upstream, requests, shortRequests, memoryTokens, spans] = row;
      const remainingPrefill = row[5];
      if (requests === 0 && spans === 0 && remainingPrefill === 0) {
        byUpstream.delete(upstream);
        continue;
      }
      byUpstream.set(upstream, {
        requests,
        shortRequests,
        memoryTokens,
        spans,
        prefills: 0,
        prefillUntil: now + remainingPrefill,
      });
    }
  });

  links.onPeersChange(() => {
    const names = new Set(links.peers().map((peer) => peer.vm));
    for (const vm of peerWork.keys()) if (!names.has(vm)) peerWork.delete(vm);
    for (const { vm } of newPeers()) {
      const rows = [...ownWork.keys()].map(rowOf);
      links.send(vm, workMessage, { isWhole: true, rows });
    }
  });

  return {
    start(upstream, work) {
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
      scheduleReport(upstream);
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
        if (needsReport || work.spans > 0) scheduleReport(upstream);
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
          if (needsReport) scheduleReport(upstream);
        },
      };
    },
    reportDelay: () => batchDelay() + TRANSIT_MILLISECONDS,
    workAt(upstream) {
      const now = clock.now();
      let requests = 0;
      let shortRequests = 0;
      let memoryTokens = 0;
      let spans = 0;
      let prefillMilliseconds = 0;
      const add = (totals: WorkTotals | undefined) => {
        if (!totals) return;
        requests += totals.requests;
        shortRequests += totals.shortRequests;
        memoryTokens += totals.memoryTokens;
        spans += totals.spans;
        prefillMilliseconds += Math.max(0, totals.prefillUntil - now);
      };
      add(ownWork.get(upstream));
      for (const byUpstream of peerWork.values()) add(byUpstream.get(upstream));
      return {
        requests,
        shortRequests,
        memoryTokens,
        spans,
        prefillMilliseconds,
      };
    },
  };
}
