import { randomBytes } from "node:crypto";
import {
  type AdministrationClient,
  createAdministrationClient,
} from "../src/administration/administration_client.ts";
import type { Sheet } from "../src/contracts/sheet.ts";
import { type Daemon, startDaemon } from "../src/daemon.ts";
import { readSettings } from "../src/settings.ts";
import { createSystemClock } from "../src/support/clock.ts";
import type { EngineModelOptions } from "./engine_model.ts";
import { type Dependencies, startDependencies } from "./dependencies.ts";
import {
  createUpstreamNetwork,
  type UpstreamNetwork,
} from "./platform/upstream_network.ts";

/// A deployment in one process that communicates over loopback sockets: the
/// stand-ins of the platform and the upstreams, and the daemons.

export interface DeploymentOptions {
  /// Sheet whose upstreams are started; their addresses are replaced.
  readonly sheet: Sheet;
  readonly vms: number;
  readonly engine?: Partial<EngineModelOptions>;
  /// Settings of the daemons, by name, that replace those of the stand-ins.
  readonly flags?: Readonly<Record<string, string>>;
}

export interface Deployment extends Omit<Dependencies, "storeUrl"> {
  readonly daemons: readonly Daemon[];
  /// The network between each daemon and the upstreams.
  readonly upstreamNetworks: readonly UpstreamNetwork[];
  administration(index: number): AdministrationClient;
  /// Applies the sheet and waits until every VM is ready with it. Resolves with
  /// its revision.
  applySheet(sheet?: Sheet): Promise<number>;
}

/// Parameters from which the settings of a daemon are derived.
export interface DaemonParameters {
  readonly number: number;
  readonly sheet: Sheet;
  readonly storeUrl: string;
  readonly vmListUrl: string;
}

/// Token with full access to the administration API of stand-in deployments.
export const OPERATE_TOKEN = "operate-token-of-the-stand-ins";
/// Token with read-only access to the administration API.
export const VIEW_TOKEN = "view-token-of-the-stand-ins";
const LINK_SECRET = "link-secret-of-the-stand-ins";
const SHEET_POLL_INTERVAL_MILLISECONDS = 20;
const SHEET_TIMEOUT_MILLISECONDS = 10_000;
const ANY_PORT = "127.0.0.1:0";

/// Settings of the daemon `vm-<number>`, by name.
export function daemonFlags(
  daemon: DaemonParameters,
): Record<string, string> {
  const { upstreams } = daemon.sheet;
  const dataCentres = [...new Set(upstreams.map((item) => item.dataCentre))];
  const index = daemon.number % dataCentres.length;
  return {
    vmName: `vm-${daemon.number}`,
    dataCentre: dataCentres[index] ?? "local",
    callerAddress: ANY_PORT,
    administrationAddress: ANY_PORT,
    linkAddress: ANY_PORT,
    storeUrl: daemon.storeUrl,
    vmListUrl: daemon.vmListUrl,
    linkSecret: LINK_SECRET,
    operateToken: OPERATE_TOKEN,
    viewToken: VIEW_TOKEN,
  };
}

/// Applies a sheet through the first daemon and waits until it is in force on
/// all VMs. Throws after `SHEET_TIMEOUT_MILLISECONDS`.
export async function applySheetToAll(
  clients: readonly AdministrationClient[],
  sheet: Sheet,
): Promise<number> {
  const clock = createSystemClock();
  const base = (await clients[0]!.readSheet()).revision;
  const applyId = randomBytes(8).toString("hex");
  const proposal = { sheet, base, applyId, author: "stand-in" };
  const { revision } = await clients[0]!.applySheet(proposal);
  const deadline = clock.now() + SHEET_TIMEOUT_MILLISECONDS;
  for (const client of clients) {
    while (!(await isReadyWithRevision(client, revision))) {
      if (clock.now() > deadline) throw new Error("sheet apply timed out");
      await clock.sleep(SHEET_POLL_INTERVAL_MILLISECONDS);
    }
  }
  return revision;
}

async function isReadyWithRevision(
  client: AdministrationClient,
  revision: number,
): Promise<boolean> {
  const status = await client.readStatus();
  return status.ready && status.sheetRevision >= revision &&
    status.engines.every((engine) => engine.usable);
}

export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const dependencies = await startDependencies({
    clock: createSystemClock(),
    ...options,
  });
  const { sheet } = dependencies;
  const daemons: Daemon[] = [];
  const upstreamNetworks: UpstreamNetwork[] = [];
  for (let number = 1; number <= options.vms; number++) {
    const flags = {
      ...daemonFlags({ number, ...dependencies }),
      ...options.flags,
    };
    const network = createUpstreamNetwork();
    upstreamNetworks.push(network);
    const settings = readSettings({ flags, environment: {} });
    daemons.push(await startDaemon(settings, { openSocket: network.open }));
  }
  dependencies.vmList.set(daemons.map(({ identity, linkAddress }) => ({
    name: identity.vm,
    dataCentre: identity.dataCentre,
    linkAddress,
    state: "live" as const,
  })));
  const administration = (index: number) =>
    createAdministrationClient({
      addresses: [daemons[index]!.administrationAddress],
      token: OPERATE_TOKEN,
    });
  return {
    ...dependencies,
    daemons,
    upstreamNetworks,
    administration,
    applySheet: (applied = sheet) =>
      applySheetToAll([...daemons.keys()].map(administration), applied),
    async close() {
      await Promise.allSettled(daemons.map((daemon) => daemon.close()));
      await dependencies.close();
    },
  };
}
