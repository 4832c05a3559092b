import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { PlacementOwners } from "./placement_owners.ts";
import { createWorkTable, WorkRow, type WorkTable } from "./work_table.ts";

/// Reports of in-flight work between VMs, in batches of changes.

/// Time for which changes are batched before they are broadcast. Until then the
/// other VMs may send to the same engines. Each message goes to every VM, so
/// the delay grows with the number of VMs, but stays below the time of one pass
/// of an engine.
const BATCH_DELAY_PER_VM_MILLISECONDS: Milliseconds = 0.5;
const MINIMUM_BATCH_DELAY_MILLISECONDS: Milliseconds = 5;
const MAXIMUM_BATCH_DELAY_MILLISECONDS: Milliseconds = 40;
/// Batch delay of reports to an owner, which knows of starts without them.
const OWNER_BATCH_DELAY_MILLISECONDS: Milliseconds = 15;

/// Approximate transit time of a message to other VMs, over two links and
/// through their queues.
const TRANSIT_MILLISECONDS: Milliseconds = 5;

const workMessage = defineMessage(
  "gateway.work",
  Type.Object({
    /// Whether upstreams without a row have no work.
    isWhole: Type.Boolean(),
    rows: Type.Array(WorkRow),
  }),
);

/// Results of requests at one upstream.
const ResultRow = Type.Tuple([
  Type.String({ description: "upstream" }),
  Type.Number({ description: "successes" }),
  Type.Number({ description: "failures" }),
]);

/// The report of a VM to the owner of its data centre, and of an owner to that
/// of another data centre.
const ownerMessage = defineMessage(
  "gateway.work.owned",
  Type.Object({
    isWhole: Type.Boolean(),
    rows: Type.Array(WorkRow),
    results: Type.Array(ResultRow),
  }),
);

/// Called with the results that another VM reports.
export type ResultListener = (
  upstream: string,
  results: { readonly successes: number; readonly failures: number },
) => void;

export interface WorkReports {
  /// The work that others have reported.
  readonly table: () => WorkTable;
  /// Reports the work at an upstream again after a short delay.
  schedule(upstream: string): void;
  recordResult(upstream: string, hasFailed: boolean): void;
  onResults(listener: ResultListener): void;
  /// Time until other VMs receive the report of a change made now; `Infinity`
  /// if this VM doesn't learn of the others' work.
  reportDelay(): Milliseconds;
}

export interface WorkReportsOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly owners: PlacementOwners;
  readonly dataCentreOf: (upstream: string) => string | undefined;
  /// The row of this VM's own work at an upstream, plus, for an owner, that of
  /// the VMs that report to it.
  readonly rowOf: (upstream: string, includesReported: boolean) => WorkRow;
  /// Upstreams at which this VM has work.
  readonly ownUpstreams: () => Iterable<string>;
}

export function createWorkReports(options: WorkReportsOptions): WorkReports {
  const { clock, links, owners, rowOf } = options;
  const { self } = links;
  const broadcastTable = createWorkTable(clock);
  const ownedTable = createWorkTable(clock);
  const changed = new Set<string>();
  const results = new Map<string, { successes: number; failures: number }>();
  const listeners: ResultListener[] = [];
  const newPeers = createNewPeers(links);
  /// The process that received the last report for each data centre.
  const receivers = new Map<string, string>();
  let timer: Timer | undefined;

  const batchDelay = (): Milliseconds =>
    owners.isBroadcast()
      ? Math.min(
        MAXIMUM_BATCH_DELAY_MILLISECONDS,
        Math.max(
          MINIMUM_BATCH_DELAY_MILLISECONDS,
          links.peers().length * BATCH_DELAY_PER_VM_MILLISECONDS,
        ),
      )
      : OWNER_BATCH_DELAY_MILLISECONDS;

  /// The data centre whose owner is told of work at an upstream: other VMs tell
  /// only the owner of their own.
  const dataCentreFor = (upstream: string) =>
    owners.isOwner()
      ? options.dataCentreOf(upstream) ?? self.dataCentre
      : self.dataCentre;

  const incarnationOf = (vm: string) =>
    links.neighbours().find((peer) => peer.vm === vm)?.incarnation;

  const allUpstreams = () => [
    ...options.ownUpstreams(),
    ...owners.isOwner() ? ownedTable.upstreams() : [],
  ];

  const takeResults = (upstreams: readonly string[]) =>
    upstreams.flatMap((upstream) => {
      const counts = results.get(upstream);
      if (!counts) return [];
      results.delete(upstream);
      const { successes, failures } = counts;
      return [[upstream, successes, failures] as [string, number, number]];
    });

  /// Reports to the owner of one data centre, everything if that is a process
  /// that hasn't had a report yet.
  const reportTo = (dataCentre: string, upstreams: readonly string[]) => {
    const owner = owners.ownerOf(dataCentre);
    if (owner === undefined || owner === self.vm) {
      receivers.delete(dataCentre);
      return;
    }
    const incarnation = incarnationOf(owner);
    if (incarnation === undefined) return;
    const receiver = `${owner} ${incarnation}`;
    const isWhole = receivers.get(dataCentre) !== receiver;
    receivers.set(dataCentre, receiver);
    const reported = isWhole
      ? [...new Set(allUpstreams())].filter((upstream) =>
        dataCentreFor(upstream) === dataCentre
      )
      : upstreams;
    links.send(owner, ownerMessage, {
      isWhole,
      rows: reported.map((upstream) => rowOf(upstream, owners.isOwner())),
      results: takeResults(upstreams),
    });
  };

  const sendReports = () => {
    timer = undefined;
    const upstreams = [...changed];
    changed.clear();
    if (owners.isBroadcast()) {
      results.clear();
      const rows = upstreams.map((upstream) => rowOf(upstream, false));
      return links.broadcast(workMessage, { isWhole: false, rows });
    }
    const byDataCentre = new Map<string, string[]>();
    for (const upstream of upstreams) {
      const dataCentre = dataCentreFor(upstream);
      const group = byDataCentre.get(dataCentre) ?? [];
      group.push(upstream);
      byDataCentre.set(dataCentre, group);
    }
    for (const [dataCentre, group] of byDataCentre) reportTo(dataCentre, group);
  };

  const schedule = (upstream: string) => {
    changed.add(upstream);
    timer ??= clock.schedule(batchDelay(), sendReports);
  };

  const recordResult = (upstream: string, hasFailed: boolean) => {
    if (owners.isBroadcast() || owners.ownerOf() === self.vm) return;
    const counts = results.get(upstream) ?? { successes: 0, failures: 0 };
    results.set(upstream, counts);
    if (hasFailed) counts.failures += 1;
    else counts.successes += 1;
  };

  links.onMessage(workMessage, ({ isWhole, rows }, from) => {
    broadcastTable.apply(from.vm, { rows, isWhole });
  });

  links.onMessage(ownerMessage, (message, from) => {
    const { isWhole, rows } = message;
    ownedTable.apply(from.vm, { rows, isWhole });
    for (const [upstream, successes, failures] of message.results) {
      for (const listener of listeners) {
        listener(upstream, { successes, failures });
      }
    }
    if (!owners.isOwner()) return;
    for (const [upstream] of rows) {
      // The engines of other data centres have owners of their own.
      if (dataCentreFor(upstream) !== self.dataCentre) schedule(upstream);
    }
  });

  links.onPeersChange(() => {
    const names = new Set(links.peers().map((peer) => peer.vm));
    broadcastTable.retain(names);
    ownedTable.retain(new Set(links.neighbours().map((peer) => peer.vm)));
    if (owners.isBroadcast()) {
      for (const { vm } of newPeers()) {
        const rows = [...options.ownUpstreams()].map((upstream) =>
          rowOf(upstream, false)
        );
        links.send(vm, workMessage, { isWhole: true, rows });
      }
      return;
    }
    const linked = new Set(
      links.neighbours().map(({ vm, incarnation }) => `${vm} ${incarnation}`),
    );
    for (const [dataCentre, receiver] of receivers) {
      if (!linked.has(receiver)) receivers.delete(dataCentre);
    }
    for (const upstream of allUpstreams()) schedule(upstream);
  });

  return {
    table: () => owners.isBroadcast() ? broadcastTable : ownedTable,
    schedule,
    recordResult,
    onResults: (listener) => void listeners.push(listener),
    reportDelay() {
      if (owners.isBroadcast()) return batchDelay() + TRANSIT_MILLISECONDS;
      return owners.isOwner() ? 0 : Infinity;
    },
  };
}
