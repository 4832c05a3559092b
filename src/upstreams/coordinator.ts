import type { ContractBook, Contracts } from "../contracts/contract_book.ts";
import type { Upstream } from "../contracts/sheet.ts";
import { regionOf } from "../data_centres/region.ts";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { WeightStore } from "../infrastructure/weight_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { withTimeout } from "../support/timeout.ts";
import type { VmIdentity } from "../vms/identity.ts";
import { EngineLostError, EngineRefusedError } from "./engine_client.ts";
import type { EngineDirectory, EngineView } from "./engine_directory.ts";
import { createLoadPacer } from "./load_pacer.ts";
import {
  type CoordinatorTerm,
  LEASE_SECONDS,
  startCoordinatorLease,
} from "./coordinator_lease.ts";
import {
  type ObservedEngine,
  planLoads,
  type PlannedLoad,
} from "./coordinator_plan.ts";
import {
  type CoordinatorRecord,
  createCoordinatorRecords,
  type PendingOrder,
} from "./coordinator_record.ts";

/// Makes the engines of one region load the versions that the sheet requests.
/// Only the coordinator gives orders, and it stops before its lease ends. A
/// failed order shows in the next load reports, and the next plan corrects it.

const RECONCILE_INTERVAL_MILLISECONDS = 2_000;
/// Timeout of one order.
export const ORDER_TIMEOUT_MILLISECONDS = 5_000;
/// Lease time beyond the order timeout that has to remain for an order to be
/// given.
const LEASE_MARGIN_MILLISECONDS = 1_000;
/// Time beyond its expected duration after which a load counts as failed.
const LOAD_GRACE_MILLISECONDS = 30_000;
/// Time for which an engine gets no further orders after a failed one.
const ORDER_SUSPENSION_MILLISECONDS = 30_000;
/// Time without a load report after which an engine is left out of the plan.
const ABSENCE_TIMEOUT_MILLISECONDS = 60_000;

export interface CoordinatorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly weightStore: WeightStore;
  readonly book: ContractBook;
  readonly engines: EngineDirectory;
  readonly self: VmIdentity;
  /// Whether this VM may be the coordinator of its region now.
  readonly isCandidate: () => boolean;
  /// Whether the newest known sheet is in force on this VM.
  readonly isSheetCurrent: () => boolean;
}

export interface CoordinatorStatus {
  readonly region: string;
  /// Fencing number while this VM is the coordinator.
  readonly fencing: number | undefined;
  readonly underWay: readonly PendingOrder[];
  /// Engines that hold the last ready copy of a version and can't be changed
  /// yet.
  readonly blocked: readonly string[];
}

export interface Coordinator {
  status(): CoordinatorStatus;
  close(): void;
}

export function startCoordinator(options: CoordinatorOptions): Coordinator {
  const { clock, log, store, book, engines, self } = options;
  const region = regionOf(self.dataCentre);
  const lease = startCoordinatorLease({ ...options, region });
  const records = createCoordinatorRecords(store, region);
  const pacer = createLoadPacer(clock, options.weightStore);
  const stop = new AbortController();
  const suspendedUntil = new Map<string, Milliseconds>();
  const reportedAt = new Map<string, Milliseconds>();
  const startedAt = clock.now();
  let record: CoordinatorRecord | undefined;
  let recordFencing: number | undefined;
  let blocked: readonly string[] = [];

  const mayOrder = (term: CoordinatorTerm) =>
    lease.current()?.fencing === term.fencing &&
    lease.current()!.leaseEnd - clock.now() >
      ORDER_TIMEOUT_MILLISECONDS + LEASE_MARGIN_MILLISECONDS;

  /// Whether no order of a previous coordinator can take effect at the engine.
  /// An engine that doesn't check fencing numbers may execute such an order
  /// until that coordinator's lease and its longest order have ended.
  const isFreeOfOldOrders = (
    { checksFencing }: Upstream,
    term: CoordinatorTerm,
  ) =>
    checksFencing ||
    clock.now() - term.since >
      LEASE_SECONDS * 1_000 + ORDER_TIMEOUT_MILLISECONDS;

  const observe = (
    view: EngineView,
    term: CoordinatorTerm,
  ): ObservedEngine => {
    const { upstream, report, usable } = view;
    const { name } = upstream;
    const ordered = record?.orders.find((order) => order.engine === name);
    const isSuspended = clock.now() < (suspendedUntil.get(name) ?? 0);
    return {
      name,
      serves: upstream.serves,
      loaded: usable && report ? report : undefined,
      runningStreams: report?.runningStreams ?? 0,
      isOrderable: usable && !isSuspended && isFreeOfOldOrders(upstream, term),
      ordered,
    };
  };

  const isPresent = ({ upstream, usable }: EngineView) => {
    const { name } = upstream;
    if (usable) reportedAt.set(name, clock.now());
    const last = reportedAt.get(name) ?? startedAt;
    return clock.now() - last < ABSENCE_TIMEOUT_MILLISECONDS;
  };

  const regionEngines = () =>
    engines.all()
      .filter((view) => regionOf(view.upstream.dataCentre) === region)
      .filter(isPresent);

  /// Removes orders that were carried out or have failed.
  const removeFinishedOrders = (held: CoordinatorRecord): CoordinatorRecord => {
    const orders = held.orders.filter((order) => {
      const report = engines.find(order.engine)?.report;
      const isDone = report?.model === order.model &&
        report.version === order.version;
      return !isDone && clock.wallTime() < order.until;
    });
    return { ...held, orders };
  };

  /// Number of regions that read from the weight store.
  const countRegions = ({ sheet }: Contracts) =>
    new Set(
      sheet.upstreams.map((upstream) => regionOf(upstream.dataCentre)),
    ).size;

  const removeOrder = (name: string) => {
    const orders = record?.orders.filter((order) => order.engine !== name);
    if (record && orders) record = { ...record, orders };
  };

  const handleFailure = (
    load: PlannedLoad,
    error: Error,
    term: CoordinatorTerm,
  ) => {
    const { engine } = load;
    log.warn("order failed", { engine, reason: error.message });
    suspendedUntil.set(engine, clock.now() + ORDER_SUSPENSION_MILLISECONDS);
    if (!(error instanceof EngineRefusedError)) return;
    removeOrder(engine);
    if (error.reason === "old fencing number") lease.abandon(term);
  };

  const send = async (load: PlannedLoad, term: CoordinatorTerm) => {
    const client = engines.find(load.engine)?.client;
    if (!client || !mayOrder(term)) return removeOrder(load.engine);
    const { engine, model, version } = load;
    const { fencing } = term;
    log.info("order", { engine, model, version, fencing });
    try {
      const order = { kind: "load" as const, model, version, fencing };
      await withTimeout(client.order(order), {
        clock,
        limit: ORDER_TIMEOUT_MILLISECONDS,
        onTimeout: () =>
          new EngineLostError("the engine did not respond to the order"),
      });
    } catch (error) {
      handleFailure(load, error as Error, term);
    }
  };

  /// Stores the order before it is sent. Returns whether it was stored.
  const recordOrder = async (
    load: PlannedLoad,
    duration: Milliseconds,
    term: CoordinatorTerm,
  ) => {
    const { engine, model, version } = load;
    const until = clock.wallTime() + duration + LOAD_GRACE_MILLISECONDS;
    const orders = [
      ...record!.orders.filter((order) => order.engine !== engine),
      { engine, model, version, until },
    ];
    const sheetRevision = book.current().revision;
    const next = { sheetRevision, orders };
    if (!await records.write(next, term)) {
      lease.abandon(term);
      return false;
    }
    record = next;
    return true;
  };

  const giveOrder = async (load: PlannedLoad, term: CoordinatorTerm) => {
    const readers = countRegions(book.current());
    const duration = await pacer.tryStart(load, readers);
    if (duration === undefined || !mayOrder(term)) return;
    if (await recordOrder(load, duration, term)) await send(load, term);
  };

  const reconcile = async (term: CoordinatorTerm) => {
    if (recordFencing !== term.fencing) {
      record = await records.read();
      recordFencing = term.fencing;
    }
    const contracts = book.current();
    const isBehind = contracts.revision < record!.sheetRevision;
    if (isBehind || !options.isSheetCurrent()) return;
    record = removeFinishedOrders(record!);
    const observed = regionEngines().map((view) => observe(view, term));
    const plan = planLoads(contracts.sheet, observed);
    blocked = plan.blocked;
    const [next] = plan.loads;
    if (next) await giveOrder(next, term);
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      const term = lease.current();
      if (term && mayOrder(term)) {
        await reconcile(term).catch((error: Error) =>
          log.warn("reconciliation failed", { reason: error.message })
        );
      }
      await clock.sleep(RECONCILE_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  void run();
  return {
    status: () => ({
      region,
      fencing: lease.current()?.fencing,
      underWay: lease.current() ? record?.orders ?? [] : [],
      blocked: lease.current() ? blocked : [],
    }),
    close() {
      stop.abort(new Error("closed"));
      lease.close();
    },
  };
}
