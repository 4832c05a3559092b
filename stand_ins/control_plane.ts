import { createHash, randomBytes } from "node:crypto";
import { request } from "undici";
import { createAdministrationClient } from "../src/administration/administration_client.ts";
import type { Sheet } from "../src/contracts/sheet.ts";
import { createSystemClock } from "../src/support/clock.ts";
import { type DaemonProcess, startDaemonProcess } from "./daemon_process.ts";
import { startKeyValueServer } from "./key_value_server.ts";
import { type ManyEngines, startManyEngines } from "./many_engines.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";
import { sampleSheet } from "./sample_sheet.ts";
import { startVmListServer } from "./vm_list_server.ts";

/// Daemons in separate processes without callers, to measure what the control
/// plane alone costs them.

export interface ControlPlaneOptions {
  readonly nodes: number;
  readonly engines: number;
  readonly customers: number;
}

export interface ControlPlane {
  readonly daemons: readonly DaemonProcess[];
  readonly engines: ManyEngines;
  readonly store: MemoryStore;
  /// Applies a changed sheet. Resolves to its revision once it is accepted.
  apply(): Promise<number>;
  /// Resolves once every daemon has the revision in force. Rejects after a
  /// timeout.
  waitForRevision(revision: number): Promise<void>;
  close(): Promise<void>;
}

const LINK_SECRET = "link-secret-of-the-stand-ins";
const OPERATE_TOKEN = "operate-token-of-the-stand-ins";
const POLL_INTERVAL_MILLISECONDS = 20;
const IN_FORCE_TIMEOUT_MILLISECONDS = 120_000;
/// Number of daemons that start at the same time.
const CONCURRENT_STARTS = 4;
const MAXIMUM_NODES_IN_THREE_DATA_CENTRES = 32;

function dataCentresFor(nodes: number): readonly string[] {
  const count = nodes > MAXIMUM_NODES_IN_THREE_DATA_CENTRES ? 8 : 3;
  return Array.from({ length: count }, (_, index) => `dc-${index + 1}`);
}

function createSheet(customers: number, engines: ManyEngines): Sheet {
  const base = sampleSheet({ engines: 1, replicas: 1 });
  const template = base.customers[0]!;
  const numbers = Array.from({ length: customers }, (_, index) => index);
  return {
    ...base,
    customers: numbers.map((index) => ({
      ...template,
      name: `customer-${index}`,
      keyHashes: [createHash("sha256").update(`key-${index}`).digest("hex")],
    })),
    models: numbers.map((index) => ({
      customer: `customer-${index}`,
      model: "text",
      version: "1",
      share: 1,
    })),
    upstreams: [
      ...engines.upstreams,
      ...base.upstreams.filter((upstream) => upstream.kind === "service"),
    ],
  };
}

/// Whether a daemon has the revision or a later one in force. Reads it from the
/// metrics, because a daemon serves these without calling other VMs.
async function hasRevisionInForce(
  { administrationAddress }: DaemonProcess,
  revision: number,
): Promise<boolean> {
  try {
    const url = `http://${administrationAddress}/metrics`;
    const text = await (await request(url)).body.text();
    const found = /^sequoiaturn_sheet_revision (\d+)$/m.exec(text);
    return found !== null && Number(found[1]) >= revision;
  } catch {
    return false;
  }
}

export async function startControlPlane(
  options: ControlPlaneOptions,
): Promise<ControlPlane> {
  const clock = createSystemClock();
  const store = createMemoryStore(clock);
  const keyValueServer = await startKeyValueServer(store);
  const vmList = await startVmListServer(clock);
  const dataCentres = dataCentresFor(options.nodes);
  const engines = await startManyEngines(options.engines, dataCentres);
  const daemons: DaemonProcess[] = [];
  const start = async (index: number) => {
    daemons.push(
      await startDaemonProcess({
        vm: `vm-${index + 1}`,
        dataCentre: dataCentres[index % dataCentres.length]!,
        storeUrl: `http://${keyValueServer.address}`,
        vmListUrl: `http://${vmList.address}/vms`,
        linkSecret: LINK_SECRET,
        operateToken: OPERATE_TOKEN,
      }),
    );
  };
  const clientOf = ({ administrationAddress: address }: DaemonProcess) =>
    createAdministrationClient({
      addresses: [address],
      token: OPERATE_TOKEN,
    });

  const waitForRevision = async (revision: number) => {
    const timeoutAt = clock.now() + IN_FORCE_TIMEOUT_MILLISECONDS;
    await Promise.all(daemons.map(async (daemon) => {
      while (!await hasRevisionInForce(daemon, revision)) {
        if (clock.now() > timeoutAt) throw new Error("not in force everywhere");
        await clock.sleep(POLL_INTERVAL_MILLISECONDS);
      }
    }));
  };

  for (let first = 0; first < options.nodes; first += CONCURRENT_STARTS) {
    const count = Math.min(CONCURRENT_STARTS, options.nodes - first);
    await Promise.all(
      Array.from({ length: count }, (_, index) => start(first + index)),
    );
    await waitForRevision(0);
  }
  vmList.set(daemons.map(({ vm, dataCentre, linkAddress }) => ({
    name: vm,
    dataCentre,
    linkAddress,
    state: "live" as const,
  })));

  let sheet = createSheet(options.customers, engines);
  let base = 0;

  return {
    daemons,
    engines,
    store,
    async apply() {
      const [first, ...others] = sheet.customers;
      const requestsPerSecond = first!.requestsPerSecond + 1;
      sheet = {
        ...sheet,
        customers: [{ ...first!, requestsPerSecond }, ...others],
      };
      const applyId = randomBytes(8).toString("hex");
      const proposal = { sheet, base, applyId, author: "measurement" };
      const client = clientOf(daemons[0]!);
      base = (await client.applySheet(proposal)).revision;
      return base;
    },
    waitForRevision,
    async close() {
      await Promise.all(daemons.map((daemon) => daemon.stop()));
      await Promise.all(
        [engines, keyValueServer, vmList].map((server) => server.close()),
      );
    },
  };
}
