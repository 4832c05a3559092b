import { type Static, Type } from "@sinclair/typebox";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// The work of other VMs at the upstreams, as they report it.

/// A tuple, since field names would be three quarters of the bytes that many
/// VMs send.
export const WorkRow = Type.Tuple([
  Type.String({ description: "upstream" }),
  Type.Number({ description: "requests" }),
  Type.Number({ description: "short requests among them" }),
  Type.Number({ description: "tokens of memory" }),
  Type.Number({ description: "spans that it prefills for other engines" }),
  Type.Number({ description: "milliseconds of remaining prefill" }),
]);
export type WorkRow = Static<typeof WorkRow>;

/// Time after which a claim without a report has lapsed: the VM that it was
/// made for never sent the request.
const CLAIM_LIFETIME_MILLISECONDS: Milliseconds = 1_000;

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

/// The work of one VM at one upstream, or a claim for it.
export interface WorkEntry {
  readonly requests: number;
  readonly shortRequests: number;
  readonly memoryTokens: number;
  readonly spans: number;
  readonly prefillUntil: Milliseconds;
  /// When the entry no longer counts; undefined for reported work.
  readonly lapsesAt?: Milliseconds;
}

export interface WorkTable {
  /// Applies a report. If it is whole, the VM has no work elsewhere.
  apply(
    vm: string,
    report: { readonly rows: readonly WorkRow[]; readonly isWhole: boolean },
  ): void;
  /// Counts work that a VM is about to start, until its next report on the
  /// upstream.
  claim(vm: string, upstream: string, work: UpstreamWork): void;
  /// Removes the work of all VMs that aren't in `vms`.
  retain(vms: ReadonlySet<string>): void;
  /// The entries of all VMs at one upstream.
  entriesAt(upstream: string): readonly WorkEntry[];
  /// Upstreams with an entry.
  upstreams(): Iterable<string>;
}

/// Adds up the entries of one upstream.
export function sumOfWork(
  entries: readonly WorkEntry[],
  now: Milliseconds,
): UpstreamWork {
  const sum = {
    requests: 0,
    shortRequests: 0,
    memoryTokens: 0,
    spans: 0,
    prefillMilliseconds: 0,
  };
  for (const entry of entries) {
    sum.requests += entry.requests;
    sum.shortRequests += entry.shortRequests;
    sum.memoryTokens += entry.memoryTokens;
    sum.spans += entry.spans;
    sum.prefillMilliseconds += Math.max(0, entry.prefillUntil - now);
  }
  return sum;
}

function isEmpty([, requests, , , spans, remainingPrefill]: WorkRow): boolean {
  return requests === 0 && spans === 0 && remainingPrefill === 0;
}

export function createWorkTable(clock: Clock): WorkTable {
  /// The entries of each VM by upstream: few VMs have work at the same one.
  const byUpstream = new Map<string, Map<string, WorkEntry[]>>();

  const set = (vm: string, upstream: string, entries: WorkEntry[]) => {
    const byVm = byUpstream.get(upstream) ?? new Map<string, WorkEntry[]>();
    if (entries.length > 0) byVm.set(vm, entries);
    else byVm.delete(vm);
    if (byVm.size > 0) byUpstream.set(upstream, byVm);
    else byUpstream.delete(upstream);
  };

  const isCurrent = ({ lapsesAt }: WorkEntry) =>
    lapsesAt === undefined || clock.now() < lapsesAt;

  const removeVm = (vm: string) => {
    for (const upstream of [...byUpstream.keys()]) set(vm, upstream, []);
  };

  return {
    apply(vm, { rows, isWhole }) {
      if (isWhole) removeVm(vm);
      const now = clock.now();
      for (const row of rows) {
        const [upstream, requests, shortRequests, memoryTokens, spans] = row;
        const entry = {
          requests,
          shortRequests,
          memoryTokens,
          spans,
          prefillUntil: now + row[5],
        };
        set(vm, upstream, isEmpty(row) ? [] : [entry]);
      }
    },
    claim(vm, upstream, { prefillMilliseconds, ...work }) {
      const now = clock.now();
      const entries = byUpstream.get(upstream)?.get(vm) ?? [];
      set(vm, upstream, [...entries.filter(isCurrent), {
        ...work,
        prefillUntil: now + prefillMilliseconds,
        lapsesAt: now + CLAIM_LIFETIME_MILLISECONDS,
      }]);
    },
    retain(vms) {
      for (const byVm of byUpstream.values()) {
        for (const vm of byVm.keys()) if (!vms.has(vm)) byVm.delete(vm);
      }
    },
    entriesAt: (upstream) =>
      [...byUpstream.get(upstream)?.values() ?? []].flat().filter(isCurrent),
    upstreams: () => byUpstream.keys(),
  };
}
