import { randomBytes } from "node:crypto";
import {
  type AdministrationClient,
  createAdministrationClient,
} from "../src/administration/administration_client.ts";
import type { Sheet, Upstream } from "../src/contracts/sheet.ts";
import { type Daemon, startDaemon } from "../src/daemon.ts";
import { readSettings } from "../src/settings.ts";
import { createSystemClock } from "../src/support/clock.ts";
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

/// A whole deployment in one process, over real loopback sockets: platform,
/// upstreams and daemons.

export interface DeploymentOptions {
  /// Sheet whose upstreams are started; their addresses are filled in.
  readonly sheet: Sheet;
  readonly vms: number;
  readonly engine?: Partial<EngineModelOptions>;
}

export interface Deployment {
  readonly daemons: readonly Daemon[];
  readonly engines: ReadonlyMap<string, EngineModel>;
  /// By service name; its replicas share one model.
  readonly services: ReadonlyMap<string, ServiceModel>;
  readonly store: MemoryStore;
  readonly vmList: VmListServer;
  /// The sheet with the addresses of the running upstreams.
  readonly sheet: Sheet;
  administration(index: number): AdministrationClient;
  /// Applies the sheet and waits until every VM is ready with it.
  applySheet(sheet?: Sheet): Promise<number>;
  close(): Promise<void>;
}

/// Tokens of the daemons' administration API.
export const OPERATE_TOKEN = "operate-token-of-the-stand-ins";
export const VIEW_TOKEN = "view-token-of-the-stand-ins";
const LINK_SECRET = "link-secret-of-the-stand-ins";
const FORCE_POLL_MILLISECONDS = 20;
const FORCE_LIMIT_MILLISECONDS = 10_000;
const ANY_PORT = "127.0.0.1:0";

export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const clock = createSystemClock();
  const store = createMemoryStore(clock);
  const keyValueServer = await startKeyValueServer(store);
  const vmList = await startVmListServer(clock);
  const engines = new Map<string, EngineModel>();
  const services = new Map<string, ServiceModel>();
  const servers: StandInServer[] = [keyValueServer, vmList];

  const startUpstream = async (upstream: Upstream): Promise<Upstream> => {
    const { name, serves, checksFencing } = upstream;
    if (upstream.kind === "service") {
      const model = services.get(serves) ?? createServiceModel(clock);
      services.set(serves, model);
      const service = await startServiceServer(model);
      servers.push(service);
      return { ...upstream, address: service.address };
    }
    const engine = createEngineModel({
      clock,
      name,
      model: serves,
      checksFencing,
      ...options.engine,
    });
    const server = await startEngineServer(engine);
    engines.set(name, engine);
    servers.push(server);
    return { ...upstream, address: server.address };
  };

  const upstreams = await Promise.all(
    options.sheet.upstreams.map(startUpstream),
  );
  const sheet = { ...options.sheet, upstreams };
  const dataCentres = [...new Set(upstreams.map((item) => item.dataCentre))];
  const daemons: Daemon[] = [];

  const listVms = () =>
    vmList.set(daemons.map(({ identity, linkAddress }) => ({
      name: identity.vm,
      dataCentre: identity.dataCentre,
      linkAddress,
      state: "live" as const,
    })));

  for (let index = 0; index < options.vms; index++) {
    const settings = readSettings({
      flags: {
        vmName: `vm-${index + 1}`,
        dataCentre: dataCentres[index % dataCentres.length] ?? "local",
        callerAddress: ANY_PORT,
        administrationAddress: ANY_PORT,
        linkAddress: ANY_PORT,
        storeUrl: `http://${keyValueServer.address}`,
        vmListUrl: `http://${vmList.address}/vms`,
        linkSecret: LINK_SECRET,
        operateToken: OPERATE_TOKEN,
        viewToken: VIEW_TOKEN,
      },
      environment: {},
    });
    daemons.push(await startDaemon(settings));
    listVms();
  }

  const administration = (index: number) =>
    createAdministrationClient({
      addresses: [daemons[index]!.administrationAddress],
      token: OPERATE_TOKEN,
    });

  const untilInForce = async (revision: number) => {
    const limit = clock.now() + FORCE_LIMIT_MILLISECONDS;
    for (const index of daemons.keys()) {
      const client = administration(index);
      while (!(await isReadyWith(client, revision))) {
        if (clock.now() > limit) throw new Error("the sheet never took force");
        await clock.sleep(FORCE_POLL_MILLISECONDS);
      }
    }
  };

  return {
    daemons,
    engines,
    services,
    store,
    vmList,
    sheet,
    administration,
    async applySheet(given = sheet) {
      const client = administration(0);
      const base = (await client.readSheet()).revision;
      const applyId = randomBytes(8).toString("hex");
      const proposal = { sheet: given, base, applyId, author: "stand-in" };
      const { revision } = await client.applySheet(proposal);
      await untilInForce(revision);
      return revision;
    },
    async close() {
      await Promise.allSettled(daemons.map((daemon) => daemon.close()));
      await Promise.allSettled(servers.map((server) => server.close()));
    },
  };
}

async function isReadyWith(
  client: AdministrationClient,
  revision: number,
): Promise<boolean> {
  const status = await client.readStatus();
  return status.ready && status.sheetRevision >= revision &&
    status.engines.every((engine) => engine.usable);
}
