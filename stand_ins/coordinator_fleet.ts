import { createContractBook } from "../src/contracts/contract_book.ts";
import type { Sheet } from "../src/contracts/sheet.ts";
import type { KeyValueStore } from "../src/infrastructure/key_value_store.ts";
import { createSilentLogger } from "../src/support/log.ts";
import type { EngineOrder } from "../src/upstreams/engine_client.ts";
import { createEngineDirectory } from "../src/upstreams/engine_directory.ts";
import {
  type Coordinator,
  startCoordinator,
} from "../src/upstreams/coordinator.ts";
import { createEngineModel, type EngineModel } from "./engine_model.ts";
import { createFakeClock, type FakeClock } from "./fake_clock.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";
import { sampleSheet } from "./sample_sheet.ts";
import { createLocalWeightStore } from "./weight_store_server.ts";

/// VMs that can be the coordinator of some engines, under the fake clock.

export interface CoordinatorFleetOptions {
  readonly vms: number;
  readonly engines: number;
  readonly checksFencing: boolean;
  /// Time that an engine takes to load a version.
  readonly loadMilliseconds?: number;
}

/// An order that a VM has sent to an engine.
export interface SentOrder {
  readonly vm: string;
  readonly engine: string;
  readonly order: EngineOrder;
  readonly sentAt: number;
  /// Delivers the order to the engine.
  readonly deliver: () => Promise<void>;
}

/// Handles an order that a VM sends, in place of its delivery.
export type OrderFault = (order: SentOrder) => Promise<void>;

export interface CoordinatorFleet {
  readonly clock: FakeClock;
  readonly store: MemoryStore;
  readonly engines: ReadonlyMap<string, EngineModel>;
  readonly coordinators: ReadonlyMap<string, Coordinator>;
  /// Orders that VMs have sent, delivered or not.
  readonly sent: readonly SentOrder[];
  /// Puts a sheet in force that gives these versions these shares.
  adoptShares(shares: Readonly<Record<string, number>>): void;
  /// Sets the fault that handles orders; undefined delivers them.
  setFault(fault: OrderFault | undefined): void;
  /// Delays every call of a VM to the store and to engines until `resume`, except
  /// the reading of load reports.
  pause(vm: string): void;
  resume(vm: string): void;
  /// The VM that is the coordinator, if there is one.
  holder(): string | undefined;
  /// Number of engines that are ready, by version.
  ready(): Readonly<Record<string, number>>;
}

const WEIGHTS = { bytes: 8_000, bytesPerSecond: 1_000 };
/// Minimum time between two loads. The coordinator uses 0.8 of the weight store's
/// rate.
export const LOAD_SPACING_MILLISECONDS = 10_000;
const DEFAULT_LOAD_MILLISECONDS = 1_000;

export function startCoordinatorFleet(
  options: CoordinatorFleetOptions,
): CoordinatorFleet {
  const clock = createFakeClock();
  const store = createMemoryStore(clock);
  const engines = new Map<string, EngineModel>();
  const coordinators = new Map<string, Coordinator>();
  const books = new Map<string, ReturnType<typeof createContractBook>>();
  const paused = new Map<string, { resume: () => void; wait: Promise<void> }>();
  const loading = new Set<string>();
  const sent: SentOrder[] = [];
  let revision = 0;
  let fault: OrderFault | undefined;
  const base = sampleSheet({ engines: options.engines, replicas: 0 });
  const upstreams = base.upstreams.map((upstream) => ({
    ...upstream,
    checksFencing: options.checksFencing,
  }));
  for (const { name, serves, checksFencing } of upstreams) {
    engines.set(
      name,
      createEngineModel({ clock, name, model: serves, checksFencing }),
    );
  }

  /// Executes the order after the loading time. Until then, the engine isn't
  /// ready.
  const executeAfterLoading = async (engine: string, order: EngineOrder) => {
    loading.add(engine);
    await clock.sleep(options.loadMilliseconds ?? DEFAULT_LOAD_MILLISECONDS);
    loading.delete(engine);
    await engines.get(engine)!.order(order);
  };

  const sendOrder = async (vm: string, engine: string, order: EngineOrder) => {
    const deliver = () => executeAfterLoading(engine, order);
    const sentOrder = { vm, engine, order, sentAt: clock.now(), deliver };
    sent.push(sentOrder);
    await paused.get(vm)?.wait;
    await (fault ? fault(sentOrder) : deliver());
  };

  const createPausableClient = <Client extends object>(
    vm: string,
    client: Client,
  ): Client =>
    new Proxy(client, {
      get(target, name) {
        const member = Reflect.get(target, name) as unknown;
        if (typeof member !== "function") return member;
        return async (...values: unknown[]) => {
          await paused.get(vm)?.wait;
          return await member.apply(target, values);
        };
      },
    });

  const startVm = (vm: string) => {
    const self = { vm, incarnation: `${vm}-1`, dataCentre: "muttrah" };
    const book = createContractBook();
    books.set(vm, book);
    const directory = createEngineDirectory({
      clock,
      book,
      createClient: ({ name }) => {
        const model = engines.get(name)!;
        return {
          ...createPausableClient(vm, { ...model }),
          order: (order) => sendOrder(vm, name, order),
          load: () => model.load(),
        };
      },
    });
    const coordinator = startCoordinator({
      clock,
      log: createSilentLogger(),
      store: createPausableClient<KeyValueStore>(vm, store.connect()),
      weightStore: createLocalWeightStore(WEIGHTS),
      book,
      engines: directory,
      self,
      isCandidate: () => true,
      isSheetCurrent: () => true,
    });
    coordinators.set(vm, coordinator);
  };

  for (let number = 1; number <= options.vms; number++) {
    startVm(`vm-${number}`);
  }

  return {
    clock,
    store,
    engines,
    coordinators,
    sent,
    adoptShares(shares) {
      revision++;
      const models = Object.entries(shares).map(([version, share]) => ({
        customer: "caller",
        model: "text",
        version,
        share,
      }));
      const sheet: Sheet = { ...base, upstreams, models };
      for (const book of books.values()) book.adopt({ revision, sheet });
    },
    setFault: (next) => void (fault = next),
    pause(vm) {
      const { promise, resolve } = withResolvers();
      paused.set(vm, { resume: resolve, wait: promise });
    },
    resume(vm) {
      paused.get(vm)?.resume();
      paused.delete(vm);
    },
    holder: () =>
      [...coordinators].find(([, coordinator]) =>
        coordinator.status().fencing !== undefined
      )?.[0],
    ready() {
      const counts: Record<string, number> = {};
      for (const [name, engine] of engines) {
        if (loading.has(name)) continue;
        const version = engine.counters.acceptedOrders.at(-1)?.version ?? "1";
        counts[version] = (counts[version] ?? 0) + 1;
      }
      return counts;
    },
  };
}

function withResolvers() {
  let resolve = () => {};
  const promise = new Promise<void>((settle) => (resolve = settle));
  return { promise, resolve };
}
