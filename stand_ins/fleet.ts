import { createHash } from "node:crypto";
import type { Sheet } from "../src/contracts/sheet.ts";
import { createEntry, type Entry, type EntryOptions } from "../src/entry.ts";
import type { CallerCompletion } from "../src/requests/caller_body.ts";
import type { CallerHeaders } from "../src/requests/caller_headers.ts";
import {
  type RequestError,
  toRequestError,
} from "../src/requests/request_error.ts";
import type { WeightStore } from "../src/infrastructure/weight_store.ts";
import { createSilentLogger } from "../src/support/log.ts";
import { createSeededRandom } from "../src/support/random.ts";
import type { EngineChunk, StreamEnd } from "../src/upstreams/engine_client.ts";
import type { ServiceAnswer } from "../src/upstreams/service_client.ts";
import {
  createEngineModel,
  type EngineModel,
  type EngineModelOptions,
} from "./engine_model.ts";
import { createFakeClock, type FakeClock } from "./fake_clock.ts";
import { createLocalNetwork, type LocalNetwork } from "./local_links.ts";
import { createLocalVmList, type LocalVmList } from "./local_vm_list.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";
import { createPauseGate, type PauseGate } from "./pause_gate.ts";
import {
  createVmClient,
  type FleetObserver,
  type VmContext,
} from "./vm_clients.ts";
import { createServiceModel, type ServiceModel } from "./service_model.ts";
import {
  createPartitionedEngineClient,
  createPartitionedServiceClient,
} from "./upstream_partition.ts";

/// Several entries in one process under the fake clock, with stand-ins for all
/// of their dependencies, for tests of failures and for measurements.

export interface FleetOptions {
  readonly sheet: Sheet;
  readonly entries: number;
  readonly seed: number;
  readonly engine?: Partial<EngineModelOptions>;
  /// Data centres over which the entries are spread.
  readonly dataCentres?: readonly string[];
  /// Options that replace those of every entry, for comparisons.
  readonly entry?: Partial<EntryOptions>;
  /// Age of the contents of the platform's VM list.
  readonly vmListLagMilliseconds?: number;
  /// Without it, the entries send no orders to engines.
  readonly weightStore?: WeightStore;
  readonly observe?: FleetObserver;
}

/// The part of an answer that a caller had received when its request ended.
export interface FleetAnswer {
  readonly text: string;
  readonly end: StreamEnd | undefined;
  readonly error: RequestError | undefined;
}

export interface FleetServiceAnswer {
  readonly answer: ServiceAnswer | undefined;
  readonly error: RequestError | undefined;
}

/// A caller's request to an entry of a fleet.
export interface FleetCall {
  readonly vm: string;
  /// The customer's API key.
  readonly key: string;
  readonly headers?: Partial<CallerHeaders>;
  /// Aborts when the caller disconnects.
  readonly disconnectSignal?: AbortSignal;
  /// Called with every chunk as it arrives.
  readonly onChunk?: (chunk: EngineChunk) => void;
}

export interface Fleet {
  readonly clock: FakeClock;
  readonly network: LocalNetwork;
  readonly store: MemoryStore;
  readonly vmList: LocalVmList;
  /// VMs that were notified that their peers have declared them gone.
  readonly declaredGone: readonly string[];
  readonly engines: ReadonlyMap<string, EngineModel>;
  /// By service name.
  readonly services: ReadonlyMap<string, ServiceModel>;
  /// Running entries by VM name: `vm-1`, `vm-2`, ….
  readonly entries: ReadonlyMap<string, Entry>;
  /// Starts a VM, or a new incarnation of a stopped VM.
  start(vm: string): Entry;
  /// Ends a VM at once: removes its links and aborts its requests. Its later calls
  /// to the store and to upstreams never settle.
  kill(vm: string): void;
  /// Suspends the code of a VM until `resume`. Whatever arrives in the meantime is
  /// deferred.
  pause(vm: string): void;
  resume(vm: string): void;
  /// Sets the time by which the wall clock of a VM is ahead.
  skewClock(vm: string, milliseconds: number): void;
  /// Cuts a VM off from all upstreams, or restores its paths.
  setPartitioned(vm: string, isPartitioned: boolean): void;
  complete(
    call: FleetCall,
    completion: Partial<CallerCompletion>,
  ): Promise<FleetAnswer>;
  callService(
    call: FleetCall,
    target: { service: string; method: "GET" | "POST"; path: string },
  ): Promise<FleetServiceAnswer>;
  /// Tokens held at all engines.
  heldTokens(): number;
}

/// Time for the sheet to be adopted, for the first load reports to arrive and for
/// the owners of the limits of long requests to settle.
const START_MILLISECONDS = 4_000;

/// Starts a fleet with its sheet in force.
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { sheet, seed } = options;
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const store = createMemoryStore(clock);
  const vmList = createLocalVmList(clock, options.vmListLagMilliseconds);
  const engines = new Map<string, EngineModel>();
  const services = new Map<string, ServiceModel>();
  const entries = new Map<string, Entry>();
  const stops = new Map<string, AbortController>();
  const gates = new Map<string, PauseGate>();
  const partitioned = new Set<string>();
  const declaredGone: string[] = [];
  const dataCentres = options.dataCentres ?? ["muttrah"];
  let started = 0;
  let nextRequest = 0;

  for (const { kind, name, serves, checksFencing } of sheet.upstreams) {
    if (kind === "service") {
      if (!services.has(serves)) {
        services.set(serves, createServiceModel(clock));
      }
      continue;
    }
    const model = createEngineModel({
      clock,
      name,
      model: serves,
      checksFencing,
      ...options.engine,
    });
    engines.set(name, model);
  }

  const start = (vm: string): Entry => {
    const number = Number(vm.split("-").at(-1));
    const random = createSeededRandom(seed * 1_000 + started++);
    const identity = {
      vm,
      incarnation: random.hex(8),
      dataCentre: dataCentres[number % dataCentres.length]!,
    };
    const stop = new AbortController();
    const gate = createPauseGate(clock);
    const isPartitioned = () => partitioned.has(vm);
    const observe = options.observe ?? (() => undefined);
    const context: VmContext = { vm, stopped: stop.signal, gate, observe };
    vmList.set({
      name: vm,
      dataCentre: identity.dataCentre,
      linkAddress: "127.0.0.1:1",
      state: "live",
    });
    const entry = createEntry({
      clock: gate.clock,
      random,
      logFor: createSilentLogger,
      links: gate.createGatedLinks(network.join(identity)),
      store: createVmClient(store.connect(), context, "store"),
      vmList: createVmClient(vmList, context, "vmList"),
      weightStore: options.weightStore,
      onDeclaredGone: () => void declaredGone.push(vm),
      createEngineClient: ({ name }) =>
        createVmClient(
          createPartitionedEngineClient(engines.get(name)!, isPartitioned),
          context,
          name,
        ),
      createServiceClient: ({ name, serves }) =>
        createVmClient(
          createPartitionedServiceClient(
            services.get(serves)!.connect(name),
            isPartitioned,
          ),
          context,
          serves,
        ),
      ...options.entry,
    });
    gates.set(vm, gate);
    entries.set(vm, entry);
    stops.set(vm, stop);
    return entry;
  };

  const receive = ({ vm, key, headers, disconnectSignal }: FleetCall) => ({
    id: `request-${nextRequest++}`,
    headers: {
      keyHash: createHash("sha256").update(key).digest("hex"),
      deadline: undefined,
      priority: undefined,
      idempotencyKey: undefined,
      ...headers,
    },
    disconnectSignal: AbortSignal.any([
      stops.get(vm)!.signal,
      disconnectSignal ?? new AbortController().signal,
    ]),
  });

  for (let number = 1; number <= options.entries; number++) {
    start(`vm-${number}`);
  }
  const first = entries.get("vm-1")!;
  const proposal = { sheet, base: 0, applyId: "fleet-start", author: "fleet" };
  await first.follower.accept(await first.sheets.apply(proposal));
  await clock.advance(START_MILLISECONDS);

  return {
    clock,
    network,
    store,
    vmList,
    declaredGone,
    engines,
    services,
    entries,
    start,
    kill(vm) {
      network.remove(vm);
      vmList.remove(vm);
      stops.get(vm)?.abort(new Error(`${vm} was killed`));
      entries.get(vm)?.close();
      entries.delete(vm);
    },
    pause: (vm) => gates.get(vm)?.pause(),
    resume: (vm) => gates.get(vm)?.resume(),
    skewClock: (vm, milliseconds) => gates.get(vm)?.setSkew(milliseconds),
    setPartitioned(vm, isPartitioned) {
      if (isPartitioned) partitioned.add(vm);
      else partitioned.delete(vm);
    },
    async complete(call, completion) {
      let text = "";
      let end: StreamEnd | undefined;
      try {
        await gates.get(call.vm)!.deferWhilePaused(Promise.resolve());
        await entries.get(call.vm)!.handler.complete(
          receive(call),
          {
            isChat: false,
            model: "text",
            prompt: "hello",
            maximumTokens: 16,
            stream: true,
            ...completion,
          },
          async (answer) => {
            for await (const chunk of answer) {
              call.onChunk?.(chunk);
              text += chunk.text;
              end = chunk.end;
            }
          },
        );
        return { text, end, error: undefined };
      } catch (error) {
        return { text, end, error: toRequestError(error) };
      }
    },
    async callService(call, { service, method, path }) {
      const [pathname, query] = path.split("?", 2);
      try {
        await gates.get(call.vm)!.deferWhilePaused(Promise.resolve());
        const received = receive(call);
        const { handler } = entries.get(call.vm)!;
        const answer = await handler.callService(received, {
          service,
          call: {
            method,
            path: pathname!,
            query: query === undefined ? "" : `?${query}`,
            contentType: "application/json",
            body: method === "POST" ? Buffer.from("{}") : undefined,
          },
        });
        return { answer, error: undefined };
      } catch (error) {
        return { answer: undefined, error: toRequestError(error) };
      }
    },
    heldTokens: () =>
      [...engines.values()].reduce(
        (total, engine) => total + engine.heldTokens(),
        0,
      ),
  };
}
