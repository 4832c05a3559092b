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
import { startSurroundings, type Surroundings } from "./dependencies.ts";

/// A whole deployment in one process, over real loopback sockets: platform,
/// upstreams and daemons.

export interface DeploymentOptions {
  /// Sheet whose upstreams are started; their addresses are filled in.
  readonly sheet: Sheet;
  readonly vms: number;
  readonly engine?: Partial<EngineModelOptions>;
}

export interface Deployment extends Omit<Surroundings, "storeUrl"> {
  readonly daemons: readonly Daemon[];
  administration(index: number): AdministrationClient;
  /// Applies the sheet and waits until every VM is ready with it.
  applySheet(sheet?: Sheet): Promise<number>;
}

/// What a daemon needs to know of its surroundings.
export interface DaemonPlace {
  readonly number: number;
  readonly sheet: Sheet;
  readonly storeUrl: string;
  readonly vmListUrl: string;
}

/// Token that the administration API of every stand-in deployment accepts.
export const OPERATE_TOKEN = "operate-token-of-the-stand-ins";
/// Token that may only view.
export const VIEW_TOKEN = "view-token-of-the-stand-ins";
const LINK_SECRET = "link-secret-of-the-stand-ins";
const FORCE_POLL_MILLISECONDS = 20;
const FORCE_LIMIT_MILLISECONDS = 10_000;
const ANY_PORT = "127.0.0.1:0";

/// Settings of the daemon `vm-<number>`, by name.
export function daemonFlags(place: DaemonPlace): Record<string, string> {
  const { upstreams } = place.sheet;
  const dataCentres = [...new Set(upstreams.map((item) => item.dataCentre))];
  const index = place.number % dataCentres.length;
  return {
    vmName: `vm-${place.number}`,
    dataCentre: dataCentres[index] ?? "local",
    callerAddress: ANY_PORT,
    administrationAddress: ANY_PORT,
    linkAddress: ANY_PORT,
    storeUrl: place.storeUrl,
    vmListUrl: place.vmListUrl,
    linkSecret: LINK_SECRET,
    operateToken: OPERATE_TOKEN,
    viewToken: VIEW_TOKEN,
  };
}

/// Applies a sheet through the first daemon and waits until it is in force
/// at all of them.
export async function applyEverywhere(
  clients: readonly AdministrationClient[],
  sheet: Sheet,
): Promise<number> {
  const clock = createSystemClock();
  const base = (await clients[0]!.readSheet()).revision;
  const applyId = randomBytes(8).toString("hex");
  const proposal = { sheet, base, applyId, author: "stand-in" };
  const { revision } = await clients[0]!.applySheet(proposal);
  const limit = clock.now() + FORCE_LIMIT_MILLISECONDS;
  for (const client of clients) {
    while (!(await isReadyWith(client, revision))) {
      if (clock.now() > limit) throw new Error("the sheet never took force");
      await clock.sleep(FORCE_POLL_MILLISECONDS);
    }
  }
  return revision;
}

async function isReadyWith(
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
  const surroundings = await startSurroundings({
    clock: createSystemClock(),
    ...options,
  });
  const { sheet } = surroundings;
  const daemons: Daemon[] = [];
  for (let number = 1; number <= options.vms; number++) {
    const flags = daemonFlags({ number, ...surroundings });
    daemons.push(await startDaemon(readSettings({ flags, environment: {} })));
  }
  surroundings.vmList.set(daemons.map(({ identity, linkAddress }) => ({
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
    ...surroundings,
    daemons,
    administration,
    applySheet: (given = sheet) =>
      applyEverywhere([...daemons.keys()].map(administration), given),
    async close() {
      await Promise.allSettled(daemons.map((daemon) => daemon.close()));
      await surroundings.close();
    },
  };
}
