import type { Sheet, Upstream } from "../src/contracts/sheet.ts";
import type { Clock } from "../src/support/clock.ts";
import {
  createEngineModel,
  type EngineModel,
  type EngineModelOptions,
} from "./engine_model.ts";
import { startEngineServer } from "./engine_server.ts";
import { startKeyValueServer } from "./key_value_server.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";
import { createServiceModel, type ServiceModel } from "./service_model.ts";
import { startServiceServer } from "./service_server.ts";
import type { StandInServer } from "./stand_in_server.ts";
import { startVmListServer, type VmListServer } from "./vm_list_server.ts";

/// Everything around the entries of a deployment, on loopback ports: the
/// platform and the upstreams of a sheet.

export interface SurroundingsOptions {
  readonly clock: Clock;
  /// Sheet whose upstreams are started; their addresses are filled in.
  readonly sheet: Sheet;
  readonly engine?: Partial<EngineModelOptions>;
}

export interface Surroundings {
  /// The sheet with the addresses of the running upstreams.
  readonly sheet: Sheet;
  readonly engines: ReadonlyMap<string, EngineModel>;
  /// By service name; its replicas share one model.
  readonly services: ReadonlyMap<string, ServiceModel>;
  readonly store: MemoryStore;
  readonly storeUrl: string;
  readonly vmList: VmListServer;
  readonly vmListUrl: string;
  close(): Promise<void>;
}

export async function startSurroundings(
  options: SurroundingsOptions,
): Promise<Surroundings> {
  const { clock } = options;
  const store = createMemoryStore(clock);
  const keyValueServer = await startKeyValueServer(store);
  const vmList = await startVmListServer(clock);
  const engines = new Map<string, EngineModel>();
  const services = new Map<string, ServiceModel>();
  const servers: StandInServer[] = [keyValueServer, vmList];

  const startService = async ({ serves }: Upstream) => {
    const model = services.get(serves) ?? createServiceModel(clock);
    services.set(serves, model);
    return await startServiceServer(model);
  };

  const startEngine = async ({ name, serves, checksFencing }: Upstream) => {
    const engine = createEngineModel({
      clock,
      name,
      model: serves,
      checksFencing,
      ...options.engine,
    });
    engines.set(name, engine);
    return await startEngineServer(engine);
  };

  const startUpstream = async (upstream: Upstream): Promise<Upstream> => {
    const server = upstream.kind === "service"
      ? await startService(upstream)
      : await startEngine(upstream);
    servers.push(server);
    return { ...upstream, address: server.address };
  };

  const upstreams = await Promise.all(
    options.sheet.upstreams.map(startUpstream),
  );
  return {
    sheet: { ...options.sheet, upstreams },
    engines,
    services,
    store,
    storeUrl: `http://${keyValueServer.address}`,
    vmList,
    vmListUrl: `http://${vmList.address}/vms`,
    async close() {
      await Promise.allSettled(servers.map((server) => server.close()));
    },
  };
}
