import { createServer } from "node:http";
import type { AddressInfo, Server } from "node:net";
import { createAdministrationApi } from "./administration/administration_api.ts";
import { createContractBook } from "./contracts/contract_book.ts";
import { startSheetFollower } from "./contracts/sheet_follower.ts";
import { createSheetStore } from "./contracts/sheet_store.ts";
import { createLinkMesh } from "./links/link_mesh.ts";
import { createEtcdStore } from "./platform/etcd_store.ts";
import { createHttpVmList } from "./platform/vm_list.ts";
import { createAdmission } from "./requests/admission.ts";
import { createCallerApi } from "./requests/caller_api.ts";
import { createCompletionRunner } from "./requests/completion_run.ts";
import { createLedger } from "./requests/ledger.ts";
import {
  createRequestRegistry,
  type RequestEnd,
} from "./requests/request_registry.ts";
import { createServiceRunner } from "./requests/service_run.ts";
import type { Settings } from "./settings.ts";
import { createSystemClock } from "./support/clock.ts";
import { createLogger } from "./support/log.ts";
import { createMetrics, type Metrics } from "./support/metrics.ts";
import { createSystemRandom } from "./support/random.ts";
import { createEngineDirectory } from "./upstreams/engine_directory.ts";
import { createHttpEngineClient } from "./upstreams/http_engine_client.ts";
import { ShortestWaitPlacement } from "./upstreams/placement.ts";
import { createHttpServiceClient } from "./upstreams/service_client.ts";
import { createServiceDirectory } from "./upstreams/service_directory.ts";
import { createTokenEstimator } from "./upstreams/token_estimator.ts";
import type { VmIdentity } from "./vms/identity.ts";

/// One entry VM: everything the daemon does, wired together.
export interface Daemon {
  readonly identity: VmIdentity;
  readonly callerAddress: string;
  readonly administrationAddress: string;
  readonly linkAddress: string;
  /// Refuses new requests, finishes the running ones, then stops.
  drain(): Promise<void>;
  /// Stops at once.
  close(): Promise<void>;
}

const INCARNATION_BYTES = 8;

function splitAddress(address: string) {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(separator + 1)) };
}

function boundAddress(server: Server): string {
  const { address, port, family } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

function listenOn(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(splitAddress(address), () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function countEnd(metrics: Metrics, { record, error }: RequestEnd) {
  const reason = error?.code ?? "finished";
  metrics.requestsEnded.inc({ kind: record.kind, reason });
  if (record.firstTokenAt === undefined) return;
  const seconds = (record.firstTokenAt - record.receivedAt) / 1_000;
  const length = record.isLong ? "long" : "short";
  metrics.firstTokenSeconds.observe({ length }, seconds);
}

/// Starts a daemon. Rejects when a port can't be had.
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const identity: VmIdentity = {
    vm: settings.vmName,
    incarnation: random.hex(INCARNATION_BYTES),
    dataCentre: settings.dataCentre,
  };
  const where = { vm: identity.vm, dataCentre: identity.dataCentre };
  const logFor = (area: string) => createLogger(area, where);
  const log = logFor("daemon");
  const metrics = createMetrics();

  const store = createEtcdStore(settings.storeUrl);
  const linkServer = createServer();
  await listenOn(linkServer, settings.linkAddress);
  const { linkSecret, previousLinkSecret } = settings;
  const links = createLinkMesh({
    clock,
    random,
    log: logFor("links"),
    identity,
    secrets: previousLinkSecret
      ? [linkSecret, previousLinkSecret]
      : [linkSecret],
    vmList: createHttpVmList(settings.vmListUrl),
    server: linkServer,
  });

  const book = createContractBook();
  const sheets = createSheetStore(store);
  const follower = startSheetFollower({
    clock,
    log: logFor("contracts"),
    links,
    sheets,
    book,
  });

  const engines = createEngineDirectory({
    clock,
    book,
    createClient: ({ name, address }) => createHttpEngineClient(name, address),
  });
  const services = createServiceDirectory({
    book,
    random,
    createClient: ({ address }) => createHttpServiceClient(address),
  });

  const registry = createRequestRegistry(clock);
  registry.onEnd((end) => countEnd(metrics, end));
  const admission = createAdmission(clock);
  const placement = new ShortestWaitPlacement(random);
  let draining = false;

  const callers = createCallerApi({
    clock,
    random,
    log: logFor("requests"),
    book,
    registry,
    admission,
    completions: createCompletionRunner({ clock, engines, placement }),
    services: createServiceRunner({
      clock,
      random,
      services,
      ledger: createLedger(store),
    }),
    estimator: createTokenEstimator(),
    bodyLimit: settings.bodyLimitBytes,
  });

  const close = async () => {
    follower.close();
    engines.close();
    links.close();
    linkServer.close();
    await Promise.allSettled([callers.close(), administration.close()]);
    await store.close();
  };

  const drain = async () => {
    if (draining) return;
    draining = true;
    admission.stop();
    log.info("draining", { running: registry.running().length });
    const limit = clock.sleep(settings.drainLimitMilliseconds);
    await Promise.race([registry.whenIdle(), limit]);
    log.info("drained");
    await close();
  };

  const administration = createAdministrationApi({
    log: logFor("administration"),
    metrics,
    links,
    book,
    sheets,
    follower,
    registry,
    engines,
    operateToken: settings.operateToken,
    viewToken: settings.viewToken,
    isReady: () => !draining && follower.isCurrent(),
    drain: () => void drain(),
  });

  await callers.listen(splitAddress(settings.callerAddress));
  await administration.listen(splitAddress(settings.administrationAddress));
  const daemon: Daemon = {
    identity,
    callerAddress: boundAddress(callers.server),
    administrationAddress: boundAddress(administration.server),
    linkAddress: boundAddress(linkServer),
    drain,
    close,
  };
  log.info("started", { callerAddress: daemon.callerAddress });
  return daemon;
}
