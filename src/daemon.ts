import { createServer } from "node:http";
import type { AddressInfo, Server } from "node:net";
import { createAdministrationApi } from "./administration/administration_api.ts";
import { createEntry } from "./entry.ts";
import { createLinkMesh } from "./links/link_mesh.ts";
import { createEtcdStore } from "./infrastructure/etcd_store.ts";
import {
  createCachedVmList,
  createHttpVmList,
} from "./infrastructure/vm_list.ts";
import { createHttpWeightStore } from "./infrastructure/weight_store.ts";
import { createCallerApi } from "./requests/caller_api.ts";
import type { RequestEnd } from "./requests/request_registry.ts";
import type { Settings } from "./settings.ts";
import { createSystemClock, type Milliseconds } from "./support/clock.ts";
import { createAuditLogger, createLogger } from "./support/log.ts";
import { createMetrics, type Metrics } from "./support/metrics.ts";
import { createSystemRandom } from "./support/random.ts";
import type { OpenSocket } from "./tunnels/dial.ts";
import { createUpstreamAccess } from "./tunnels/upstream_access.ts";
import { createHttpEngineClient } from "./upstreams/http_engine_client.ts";
import { createHttpServiceClient } from "./upstreams/service_client.ts";
import type { VmIdentity } from "./vms/identity.ts";

/// The daemon of one entry VM, with its servers and connections.
export interface Daemon {
  readonly identity: VmIdentity;
  readonly callerAddress: string;
  readonly administrationAddress: string;
  readonly linkAddress: string;
  /// Refuses new requests, waits until the running ones have ended, at most for
  /// the drain limit of the settings, then closes the daemon.
  drain(): Promise<void>;
  /// Closes the daemon without waiting for running requests.
  close(): Promise<void>;
}

const INCARNATION_BYTES = 8;
const DRAIN_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 50;

function parseAddress(address: string) {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(separator + 1)) };
}

function formatBoundAddress(server: Server): string {
  const { address, port, family } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

function listenOn(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(parseAddress(address), () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function countRequestEnd(metrics: Metrics, { record, error }: RequestEnd) {
  const reason = error?.code ?? "finished";
  metrics.requestsEnded.inc({ kind: record.kind, reason });
  if (record.firstTokenAt === undefined) return;
  const seconds = (record.firstTokenAt - record.receivedAt) / 1_000;
  const length = record.isLong ? "long" : "short";
  metrics.firstTokenSeconds.observe({ length }, seconds);
}

export interface DaemonOptions {
  /// Opens connections to upstreams; over TCP by default.
  readonly openSocket?: OpenSocket;
}

/// Starts a daemon. Rejects if a server cannot listen on its address.
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const identity: VmIdentity = {
    vm: settings.vmName,
    incarnation: random.hex(INCARNATION_BYTES),
    dataCentre: settings.dataCentre,
  };
  const logFields = { vm: identity.vm, dataCentre: identity.dataCentre };
  const logFor = (area: string) => createLogger(area, logFields);
  const log = logFor("daemon");
  const metrics = createMetrics();

  const store = createEtcdStore(settings.storeUrl);
  const vmList = createCachedVmList(
    createHttpVmList(settings.vmListUrl),
    clock,
  );
  const linkServer = createServer();
  await listenOn(linkServer, settings.linkAddress);
  const { linkSecret, previousLinkSecret } = settings;
  const secrets: [string, ...string[]] = previousLinkSecret
    ? [linkSecret, previousLinkSecret]
    : [linkSecret];
  const links = createLinkMesh({
    clock,
    random,
    log: logFor("links"),
    identity,
    secrets,
    vmList,
    server: linkServer,
  });

  const findUpstream = (address: string) =>
    entry.book.current().sheet.upstreams.find((upstream) =>
      upstream.address === address
    );
  const { paths, dialler, tunnelServer } = createUpstreamAccess({
    clock,
    random,
    log: logFor("upstreams"),
    links,
    linkServer,
    secrets,
    openSocket: options.openSocket,
    vmList,
    dataCentreOf: (address) => findUpstream(address)?.dataCentre,
    mayConnect: (address) => findUpstream(address) !== undefined,
    tunnels: metrics.tunnels,
  });
  const entry = createEntry({
    clock,
    random,
    logFor,
    links,
    store,
    vmList,
    weightStore: settings.weightStoreUrl === undefined
      ? undefined
      : createHttpWeightStore(settings.weightStoreUrl),
    onDeclaredGone: () => {
      log.warn("peers gave this incarnation up; stopping");
      void drain();
    },
    createEngineClient: ({ name, address }) =>
      createHttpEngineClient({ name, address, dialler }),
    createServiceClient: ({ address }) =>
      createHttpServiceClient(address, dialler),
  });
  entry.book.onChange(({ sheet }) =>
    paths.prune(new Set(sheet.upstreams.map(({ address }) => address)))
  );
  const { registry } = entry;
  registry.onEnd((end) => countRequestEnd(metrics, end));
  entry.burn.onObjectiveResult((objective, good) =>
    metrics.objectiveRequests.inc({ objective, result: good ? "good" : "bad" })
  );
  const { application, responses } = createCallerApi({
    clock,
    random,
    handler: entry.handler,
    bodyLimit: settings.bodyLimitBytes,
  });
  let draining: Promise<void> | undefined;

  const close = async () => {
    entry.close();
    links.close();
    tunnelServer.close();
    linkServer.close();
    await Promise.allSettled([application.close(), administrationApi.close()]);
    await store.close();
  };

  /// Waits until the tunnels of other VMs have ended.
  const drainTunnels = async (limit: Milliseconds) => {
    const endsAt = clock.now() + limit;
    while (tunnelServer.count() > 0 && clock.now() < endsAt) {
      await clock.sleep(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
  };

  const drainAndClose = async () => {
    log.info("draining", { running: registry.running().length });
    tunnelServer.startDraining();
    const limit = settings.drainLimitMilliseconds;
    const endsAt = clock.now() + limit;
    await Promise.all([entry.drain(limit), drainTunnels(limit)]);
    await responses.finish(Math.max(0, endsAt - clock.now()));
    log.info("drained", { running: registry.running().length });
    await close();
  };

  const drain = () => draining ??= drainAndClose();

  const administrationApi = createAdministrationApi({
    clock,
    log: logFor("administration"),
    audit: createAuditLogger(logFields),
    metrics,
    links,
    entry,
    tokens: settings,
    drain: () => void drain(),
  });

  await application.listen(parseAddress(settings.callerAddress));
  await administrationApi.listen(parseAddress(settings.administrationAddress));
  const daemon: Daemon = {
    identity,
    callerAddress: formatBoundAddress(application.server),
    administrationAddress: formatBoundAddress(administrationApi.server),
    linkAddress: formatBoundAddress(linkServer),
    drain,
    close,
  };
  const { callerAddress, administrationAddress, linkAddress } = daemon;
  log.info("started", { callerAddress, administrationAddress, linkAddress });
  return daemon;
}
