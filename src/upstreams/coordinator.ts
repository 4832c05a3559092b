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

/// Brings the engines of one region to the versions that the sheet wants.
/// Only the steward gives orders. It stops in time before its lease ends, and
/// whatever goes wrong with an order shows in the next load reports and is
/// put right from there.

const RECONCILE_INTERVAL_MILLISECONDS = 2_000;
/// Longest time that giving one order may take.
export const ORDER_TIMEOUT_MILLISECONDS = 5_000;
/// Remaining lease beyond the order timeout that giving an order takes.
const LEASE_MARGIN_MILLISECONDS = 1_000;
/// Time beyond its expected duration until a load counts as failed.
const LOAD_GRACE_MILLISECONDS = 30_000;
/// Time an engine that refused an order is left alone.
const REFUSED_REST_MILLISECONDS = 30_000;
/// Time without a load report after which an engine no longer counts.
const ABSENT_MILLISECONDS = 60_000;

export interface CoordinatorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly weightStore: WeightStore;
  readonly book: ContractBook;
  readonly engines: EngineDirectory;
  readonly self: VmIdentity;
  /// Whether this VM may be the steward of its region now.
  readonly isCandidate: () => boolean;
  /// Whether the newest known sheet is in force here.
  readonly isSheetCurrent: () => boolean;
}

export interface CoordinatorStatus {
  readonly region: string;
  /// Fencing number while this VM is the steward.
  readonly fencing: number | undefined;
  readonly underWay: readonly PendingOrder[];
  /// Engines that keep a last ready copy and can't be changed yet.
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
  const restUntil = new Map<string, Milliseconds>();
  const reportedAt = new Map<string, Milliseconds>();
  const startedAt = clock.now();
  let record: CoordinatorRecord | undefined;
  let recordFencing: number | undefined;
  let blocked: readonly string[] = [];

  const mayOrder = (tenure: CoordinatorTerm) =>
    lease.current()?.fencing === tenure.fencing &&
    lease.current()!.leaseEnd - clock.now() >
      ORDER_TIMEOUT_MILLISECONDS + LEASE_MARGIN_MILLISECONDS;

  /// An engine that takes orders from anyone may still be obeying the steward
  /// before: its lease and its longest order have to be over.
  const isClear = ({ checksFencing }: Upstream, tenure: CoordinatorTerm) =>
    checksFencing ||
    clock.now() - tenure.since >
      LEASE_SECONDS * 1_000 + ORDER_TIMEOUT_MILLISECONDS;

  const observe = (
    view: EngineView,
    tenure: CoordinatorTerm,
  ): ObservedEngine => {
    const { upstream, report, usable } = view;
    const { name } = upstream;
    const ordered = record?.orders.find((order) => order.engine === name);
    const isResting = clock.now() < (restUntil.get(name) ?? 0);
    return {
      name,
      serves: upstream.serves,
      loaded: usable && report ? report : undefined,
      runningStreams: report?.runningStreams ?? 0,
      isOrderable: usable && !isResting && isClear(upstream, tenure),
      ordered,
    };
  };

  const isPresent = ({ upstream, usable }: EngineView) => {
    const { name } = upstream;
    if (usable) reportedAt.set(name, clock.now());
    const last = reportedAt.get(name) ?? startedAt;
    return clock.now() - last < ABSENT_MILLISECONDS;
  };

  const ownEngines = () =>
    engines.all()
      .filter((view) => regionOf(view.upstream.dataCentre) === region)
      .filter(isPresent);

  /// Drops orders that were carried out or have failed.
  const settleOrders = (held: CoordinatorRecord): CoordinatorRecord => {
    const orders = held.orders.filter((order) => {
      const report = engines.find(order.engine)?.report;
      const isDone = report?.model === order.model &&
        report.version === order.version;
      return !isDone && clock.wallTime() < order.until;
    });
    return { ...held, orders };
  };

  /// How many regions read from the weight store.
  const countRegions = ({ sheet }: Contracts) =>
    new Set(
      sheet.upstreams.map((upstream) => regionOf(upstream.dataCentre)),
    ).size;

  const forget = (name: string) => {
    const orders = record?.orders.filter((order) => order.engine !== name);
    if (record && orders) record = { ...record, orders };
  };

  const handleFailure = (
    load: PlannedLoad,
    error: Error,
    tenure: CoordinatorTerm,
  ) => {
    const { engine } = load;
    log.warn("order failed", { engine, reason: error.message });
    restUntil.set(engine, clock.now() + REFUSED_REST_MILLISECONDS);
    if (!(error instanceof EngineRefusedError)) return;
    forget(engine);
    if (error.reason === "old fencing number") lease.abandon(tenure);
  };

  const send = async (load: PlannedLoad, tenure: CoordinatorTerm) => {
    const client = engines.find(load.engine)?.client;
    if (!client || !mayOrder(tenure)) return forget(load.engine);
    const { engine, model, version } = load;
    const { fencing } = tenure;
    log.info("order", { engine, model, version, fencing });
    try {
      const order = { kind: "load" as const, model, version, fencing };
      await withTimeout(client.order(order), {
        clock,
        limit: ORDER_TIMEOUT_MILLISECONDS,
        onTimeout: () => new EngineLostError("no answer to the order"),
      });
    } catch (error) {
      handleFailure(load, error as Error, tenure);
    }
  };

  /// Writes the order down before it is sent.
  const recordOrder = async (
    load: PlannedLoad,
    duration: Milliseconds,
    tenure: CoordinatorTerm,
  ) => {
    const { engine, model, version } = load;
    const until = clock.wallTime() + duration + LOAD_GRACE_MILLISECONDS;
    const orders = [
      ...record!.orders.filter((order) => order.engine !== engine),
      { engine, model, version, until },
    ];
    const sheetRevision = book.current().revision;
    const next = { sheetRevision, orders };
    if (!await records.write(next, tenure)) {
      lease.abandon(tenure);
      return false;
    }
    record = next;
    return true;
  };

  const giveOrder = async (load: PlannedLoad, tenure: CoordinatorTerm) => {
    const readers = countRegions(book.current());
    const duration = await pacer.tryStart(load, readers);
    if (duration === undefined || !mayOrder(tenure)) return;
    if (await recordOrder(load, duration, tenure)) await send(load, tenure);
  };

  const reconcile = async (tenure: CoordinatorTerm) => {
    if (recordFencing !== tenure.fencing) {
      record = await records.read();
      recordFencing = tenure.fencing;
    }
    const contracts = book.current();
    const isBehind = contracts.revision < record!.sheetRevision;
    if (isBehind || !options.isSheetCurrent()) return;
    record = settleOrders(record!);
    const observed = ownEngines().map((view) => observe(view, tenure));
    const plan = planLoads(contracts.sheet, observed);
    blocked = plan.blocked;
    const [next] = plan.loads;
    if (next) await giveOrder(next, tenure);
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      const tenure = lease.current();
      if (tenure && mayOrder(tenure)) {
        await reconcile(tenure).catch((error: Error) =>
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
