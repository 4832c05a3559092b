import { writeFileSync } from "node:fs";
import { randomInteger, type RandomSource } from "../../src/support/random.ts";
import { sampleConfiguration } from "../platform/platform_deployment.ts";
import {
  createPlatformStore,
  type PlatformStore,
  type StoreEndpoint,
} from "../platform/platform_store.ts";
import { type FaultProxy, startFaultProxy } from "../soak/fault_proxy.ts";
import {
  createGatewayProcess,
  type GatewayProcess,
} from "../soak/gateway_process.ts";
import type { CallerGateway, OrderCallerSettings } from "./order_caller.ts";
import { type GatewayPaths, PATHS_FILE } from "./path_settings.ts";
import type { Copies, OrderUpstreamSettings } from "./order_upstream.ts";
import { type StandInChild, startStandInChild } from "./stand_in_child.ts";

/// Gateways, upstreams and callers of orders in processes of their own, with a
/// proxy in each of their links.

/// Services by the path of their orders.
export const ORDER_SERVICES: ReadonlyMap<string, string> = new Map([
  ["/once/1", "desk"],
  ["/book/1", "books"],
  ["/tell/1", "books"],
]);

const UPSTREAM_PORT = 8_400;
/// Requests that an upstream executes at the same time, and that wait.
const SLOTS = 4;
const QUEUE = 3;

export interface FleetGateway {
  readonly process: GatewayProcess;
  /// IP address of its connections.
  readonly source: string;
  readonly callerProxy: FaultProxy;
  readonly linkProxy: FaultProxy;
  readonly storeProxy: FaultProxy;
  readonly store: StoreEndpoint;
}

/// An upstream's address, at which processes follow each other.
export interface FleetUpstream {
  readonly host: string;
  /// Undefined if the store lists its own address.
  readonly proxy: FaultProxy | undefined;
  settings: OrderUpstreamSettings;
  child: StandInChild;
}

export interface FleetCaller {
  child: StandInChild;
  readonly number: number;
}

export interface OrderFleetOptions {
  readonly random: RandomSource;
  readonly folder: string;
  readonly gateways: number;
  readonly upstreams: number;
  /// Processes of callers.
  readonly callers: number;
  /// Concurrent requests of each of them.
  readonly requests: number;
  /// Program of the gateways; that of this build if undefined.
  readonly program: string | undefined;
  readonly copies: Copies;
}

export interface OrderFleet {
  readonly store: PlatformStore;
  readonly gateways: readonly FleetGateway[];
  readonly upstreams: readonly FleetUpstream[];
  readonly callers: readonly FleetCaller[];
  readonly files: Record<"executions" | "attempts", readonly string[]>;
  startGateway(gateway: FleetGateway): Promise<void>;
  /// Starts a process at the address of an upstream, with the settings that it had
  /// and `changes`.
  startUpstream(
    upstream: FleetUpstream,
    changes: Partial<OrderUpstreamSettings>,
  ): Promise<void>;
  /// Writes the entry of an upstream to the store.
  list(upstream: FleetUpstream, state?: "ready" | "draining"): void;
  startCaller(caller: FleetCaller): Promise<void>;
  writeConfiguration(): void;
  /// An id that no upstream has had.
  nextId(service: string): string;
  close(): Promise<void>;
}

const portOf = (address: string) => Number(address.split(":")[1]);

let nextHost = 0;

function chooseHost(): string {
  const number = nextHost++;
  const second = 1 + process.pid % 250;
  return `127.${second}.${100 + Math.floor(number / 250)}.${1 + number % 250}`;
}

async function createGateways(
  { gateways: count, folder }: OrderFleetOptions,
  store: PlatformStore,
): Promise<FleetGateway[]> {
  const gateways: FleetGateway[] = [];
  const preload = new URL("gateway_paths.js", import.meta.url).href;
  for (let index = 0; index < count; index++) {
    const endpoint = await store.openEndpoint();
    const storeProxy = await startFaultProxy(endpoint.address);
    const process = await createGatewayProcess(`vm-${index}`, {
      storeAddress: storeProxy.address,
      folder,
      nodeOptions: ["--import", preload],
    });
    gateways.push({
      process,
      source: chooseHost(),
      callerProxy: await startFaultProxy(process.callerAddress),
      linkProxy: await startFaultProxy(process.linkAddress),
      storeProxy,
      store: endpoint,
    });
  }
  const paths: GatewayPaths = {
    sources: Object.fromEntries(
      gateways.map(({ process, source }) => [process.vm, source]),
    ),
    ports: Object.fromEntries(gateways.map(({ process, linkProxy }) => [
      portOf(process.linkAddress),
      portOf(linkProxy.address),
    ])),
  };
  writeFileSync(`${folder}/${PATHS_FILE}`, JSON.stringify(paths));
  return gateways;
}

export async function startOrderFleet(
  options: OrderFleetOptions,
): Promise<OrderFleet> {
  const { random, folder } = options;
  const store = createPlatformStore();
  const executions: string[] = [];
  const attempts: string[] = [];
  const upstreams: FleetUpstream[] = [];
  const callers: FleetCaller[] = [];
  let version = 0;
  let ids = 0;
  let sequence = 0;
  let starts = 0;

  const writeConfiguration = () => {
    version += 1 + randomInteger(random, 3);
    const { Routes, Services, ...rest } = sampleConfiguration(version);
    const once = Routes.find(({ Prefix }) => Prefix === "/once/")!;
    const books = { ...once, MaxAttempts: 3, Service: "books" };
    store.put("op/config", {
      ...rest,
      Routes: [
        ...Routes,
        { ...books, Prefix: "/book/", Name: `book${version}` },
        { ...books, Prefix: "/tell/", Name: "tell", Kind: "streaming" },
      ],
      Services: [...Services, { Name: "books", MaxConnections: 100 }],
    });
  };

  const nextId = (service: string) => `${service}-${++ids}`;

  const list: OrderFleet["list"] = (upstream, state = "ready") => {
    const { id, service, port } = upstream.settings;
    store.put(`servers/${id}`, {
      Service: service,
      Address: upstream.proxy?.address ?? `${upstream.host}:${port}`,
      Zone: "north",
      Slots: SLOTS,
      State: state,
      Seq: ++sequence,
      born: Date.now(),
    });
  };

  const startUpstream: OrderFleet["startUpstream"] = async (
    upstream,
    changes,
  ) => {
    const file = `${folder}/executions-${++starts}.jsonl`;
    writeFileSync(file, "");
    executions.push(file);
    const seed = randomInteger(random, 1_000_000);
    upstream.settings = { ...upstream.settings, ...changes, file, seed };
    const { settings } = upstream;
    upstream.child = await startStandInChild("order_upstream", settings, {
      writesLine: true,
    });
    list(upstream);
  };

  const addUpstream = async (service: string, isProxied: boolean) => {
    const host = chooseHost();
    const proxy = isProxied
      ? await startFaultProxy(`${host}:${UPSTREAM_PORT}`)
      : undefined;
    const settings: OrderUpstreamSettings = {
      id: nextId(service),
      service,
      host,
      port: UPSTREAM_PORT,
      file: "",
      log: `${folder}/upstreams.log`,
      seed: 0,
      slots: SLOTS,
      queue: QUEUE,
      copies: options.copies,
    };
    const upstream = { host, proxy, settings } as FleetUpstream;
    await startUpstream(upstream, {});
    upstreams.push(upstream);
  };

  const gateways = await createGateways(options, store);
  const addresses: CallerGateway[] = gateways.flatMap(
    ({ process, callerProxy }) => [
      { vm: process.vm, address: process.callerAddress, isProxied: false },
      { vm: process.vm, address: callerProxy.address, isProxied: true },
    ],
  );

  const startCaller = async (caller: FleetCaller) => {
    const file = `${folder}/attempts-${++starts}.jsonl`;
    writeFileSync(file, "");
    attempts.push(file);
    const settings: OrderCallerSettings = {
      name: `c${caller.number}-${starts}`,
      seed: randomInteger(random, 1_000_000),
      file,
      gateways: addresses,
      targets: [...ORDER_SERVICES.keys()],
      callers: options.requests,
    };
    caller.child = await startStandInChild("order_caller", settings, {
      writesLine: false,
    });
  };

  const startGateway = ({ process }: FleetGateway) =>
    process.start(options.program);

  const startAll = async () => {
    writeConfiguration();
    for (let index = 0; index < options.upstreams; index++) {
      await addUpstream(index % 3 === 2 ? "books" : "desk", index % 2 === 0);
    }
    await Promise.all(gateways.map(startGateway));
    for (let number = 0; number < options.callers; number++) {
      const caller = { number } as FleetCaller;
      await startCaller(caller);
      callers.push(caller);
    }
  };

  const close = async () => {
    const processes = [
      ...callers.map(({ child }) => child),
      ...gateways.map(({ process }) => process),
      ...upstreams.map(({ child }) => child),
    ];
    for (const each of processes) each.signal("SIGKILL");
    await Promise.all(processes.map((each) => each.waitForExit()));
    for (const { callerProxy, linkProxy, storeProxy } of gateways) {
      for (const each of [callerProxy, linkProxy, storeProxy]) each.close();
    }
    for (const { proxy } of upstreams) proxy?.close();
    store.close();
  };

  await startAll().catch(async (error: unknown) => {
    await close();
    throw error;
  });
  return {
    store,
    gateways,
    upstreams,
    callers,
    files: { executions, attempts },
    startGateway,
    startUpstream,
    list,
    startCaller,
    writeConfiguration,
    nextId,
    close,
  };
}
