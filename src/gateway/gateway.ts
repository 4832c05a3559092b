import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { PacedStore } from "../infrastructure/key_value_store.ts";
import { createLinkMesh } from "../links/link_mesh.ts";
import { createCrashRecords } from "../requests/crash_records.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { LineSink, Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type {
  FleetDocuments,
  GatewayDialect,
  ReservationClient,
} from "./dialect.ts";
import { createFleetView } from "./fleet_view.ts";
import { createFreeSlots } from "./free_slots.ts";
import { createCallerServer } from "./caller_server.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { createRetryBudget } from "./retry_budget.ts";
import { createStoreReplica } from "./store_replica.ts";
import { createUpstreamConnections } from "./upstream_connections.ts";
import { createUpstreamHealth } from "./upstream_health.ts";
import { startViewBuilder } from "./view_builder.ts";
import { startStoreWatcher } from "./store_watcher.ts";
import { startViewSharing } from "./view_sharing.ts";
import { createVmDirectory, startRegistration } from "./vm_directory.ts";
import { createWaitQueue } from "./wait_queue.ts";
import { createWatchPace } from "./watch_pace.ts";
import { createInFlightWork } from "./in_flight_work.ts";

/// One gateway process: its view of the fleet, its requests and its links.

/// VMs that share the allowance of repeats until the links show how many
/// there are: cautious, since too small a share only costs repeats.
const ASSUMED_VMS = 8;
/// Time for which this VM goes on taking callers after the request to stop:
/// the entry asks once a second and takes a VM out after two misses.
const LEAVE_ENTRY_MILLISECONDS: Milliseconds = 2_600;
/// Part of the stopping time in which requests may end; the rest, half a second
/// of the platform's eight, is for closing.
const ENDING_SHARE = 0.93;
const END_CHECK_MILLISECONDS: Milliseconds = 50;
/// Time that taking the entry of this VM out of the store may take.
const DELIST_MILLISECONDS: Milliseconds = 200;
/// Connections kept to upstreams that are gone are closed this often.
const PRUNE_MILLISECONDS: Milliseconds = 5_000;
/// Shared by all VMs of a deployment, so that a link to something else is
/// closed. The platform hands out no secret; the links carry no prompt and no
/// key.
const LINK_SECRET = "sequoiaturn-gateway-links";

/// What the gateway needs of the platform that it runs on.
export interface GatewayPlatform {
  readonly dialect: GatewayDialect;
  readonly documents: FleetDocuments;
  readonly reservations: ReservationClient;
  readonly store: PacedStore;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: GatewayPlatform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly sink?: LineSink;
}

/// Where a gateway listens, as `host:port`.
export interface GatewayAddresses {
  readonly callers: string;
  readonly readiness: string;
  readonly links: string;
  readonly metrics: string;
}

export interface Gateway {
  readonly addresses: GatewayAddresses;
  /// Stops taking callers, ends what runs and closes everything.
  drain(): Promise<void>;
  /// Closes everything at once.
  close(): void;
}

/// Listens and resolves to the address, whose port may have been left open.
function listen(server: Server, address: string): Promise<string> {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.removeListener("error", reject);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}

export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { settings, platform, clock, random, log } = options;
  const { store } = platform;
  const incarnation = random.hex(8);
  const metrics = createGatewayMetrics();
  const view = createFleetView(clock);
  const vms = createVmDirectory(log);
  const linkServer = createServer((_message, response) => {
    response.writeHead(404).end();
  });
  const links = createLinkMesh({
    clock,
    random,
    log,
    identity: {
      vm: settings.vm,
      incarnation,
      dataCentre: settings.dataCentre,
    },
    secrets: [LINK_SECRET],
    vmList: vms,
    server: linkServer,
  });
  /// The most VMs that were linked at a time; a partition makes them no fewer.
  let linkedVms = 1;
  const mostVms = () => linkedVms > 1 ? linkedVms : ASSUMED_VMS;
  links.onPeersChange(() => {
    linkedVms = Math.max(linkedVms, links.peers().length + 1);
    metrics.peers.set(links.peers().length);
  });
  const health = createUpstreamHealth({ clock, random, log, links });
  const connections = createUpstreamConnections(clock);
  const board = createInFlightWork({ clock, links });
  const freeSlots = createFreeSlots({
    random,
    view,
    health,
    inFlightWork: board,
    vmCount: mostVms,
  });
  const front = createCallerServer({
    clock,
    random,
    log,
    metrics,
    dialect: platform.dialect,
    reservations: platform.reservations,
    view,
    health,
    inFlightWork: board,
    waitQueue: createWaitQueue({ clock, capacity: freeSlots }),
    retryBudget: createRetryBudget({
      clock,
      random,
      links,
      limits: {
        ratio: settings.repeatRatio,
        allowance: settings.repeatAllowance,
        window: settings.repeatWindowSeconds * 1_000,
      },
      vmCount: mostVms,
    }),
    connections,
    crashMarks: createCrashRecords({ clock, links }),
    dataCentre: settings.dataCentre,
    reservationPrefix: `${settings.vm}-${incarnation}`,
    maximumHold: settings.longestHoldMilliseconds,
  });

  /// What was learned of an upstream says nothing of a later run under its id.
  let learned = new Set<string>();
  const forgetGone = () => {
    const listed = new Set(view.upstreams().map(({ id }) => id));
    for (const id of learned) if (!listed.has(id)) health.remove(id);
    learned = listed;
  };

  view.onChange(({ kind: what, detail, source }) => {
    log.info(`${what} changed`, {
      detail,
      source: source.kind,
      revision: source.revision,
    });
    if (what === "upstream") forgetGone();
    const table = view.routeTable();
    if (what === "configuration" && table) {
      front.applyLimits(table.configuration.limits);
      metrics.configurationVersion.set(table.configuration.version);
    }
    metrics.upstreams.set(view.upstreams().length);
  });

  const mirror = createStoreReplica();
  startViewBuilder({ log, documents: platform.documents, mirror, view, vms });
  const follower = startStoreWatcher({
    clock,
    log,
    store,
    mirror,
    onConnected: (isConnected) =>
      metrics.storeConnected.set(isConnected ? 1 : 0),
    onReconnected: () => view.noteStoreReconnected(),
  });
  let callPause: Milliseconds = 0;
  const sharing = startViewSharing({
    clock,
    random,
    log,
    links,
    mirror,
    isConnected: follower.isConnected,
    setActive(isActive, followers) {
      const vmCount = Math.max(mostVms(), vms.count());
      const readerCount = followers ?? vmCount;
      const pace = createWatchPace(
        { followerCount: readerCount, vmCount },
        random,
      );
      callPause = pace.pause;
      store.setWatchPace(pace);
      follower.setActive(isActive);
      metrics.storeFollower.set(isActive ? 1 : 0);
    },
    callPause: () => callPause,
    onBehind: follower.refresh,
    relisting: view.relistingTimeLeft,
    onRelisting: view.noteStoreReconnected,
  });

  let isLeaving = false;
  const answerReadiness = (
    _message: IncomingMessage,
    response: ServerResponse,
  ) => {
    const isReady = !isLeaving && view.routeTable() !== undefined;
    response.writeHead(isReady ? 200 : 503, { "Content-Length": 0 }).end();
  };
  const answerMetrics = async (
    _message: IncomingMessage,
    response: ServerResponse,
  ) => {
    metrics.running.set(front.running());
    metrics.connectionsOpened.set(connections.opened());
    metrics.logLinesDropped.set(options.sink?.dropped() ?? 0);
    const { registry } = metrics;
    const text = await registry.metrics();
    response.setHeader("Content-Type", registry.contentType);
    response.end(text);
  };
  const readinessServer = createServer(answerReadiness);
  const metricsServer = createServer((message, response) => {
    answerMetrics(message, response).catch((error: Error) => {
      log.warn("metrics not written", { reason: error.message });
      response.destroy();
    });
  });
  const addresses: GatewayAddresses = {
    callers: await listen(front.server, settings.callerAddress),
    readiness: await listen(readinessServer, settings.readinessAddress),
    links: await listen(linkServer, settings.linkAddress),
    metrics: await listen(metricsServer, settings.metricsAddress),
  };
  const registration = startRegistration({
    clock,
    log,
    store,
    vm: settings.vm,
    entry: {
      dataCentre: settings.dataCentre,
      linkAddress: addresses.links,
    },
  });
  const stop = new AbortController();
  const prune = async () => {
    while (!stop.signal.aborted) {
      await clock.sleep(PRUNE_MILLISECONDS, stop.signal).catch(() => {
        // Closed while waiting; the loop ends.
      });
      connections.prune(
        new Set(view.upstreams().map(({ address }) => address)),
      );
    }
  };
  void prune();
  log.info("started", { incarnation, ...addresses });

  const close = () => {
    stop.abort(new Error("closed"));
    sharing.close();
    follower.close();
    registration.abandon();
    links.close();
    connections.close();
    for (
      const server of [
        front.server,
        readinessServer,
        linkServer,
        metricsServer,
      ]
    ) {
      server.close();
      server.closeAllConnections();
    }
  };

  return {
    addresses,
    close,
    async drain() {
      const stoppedAt = clock.now();
      const endsAt = stoppedAt + settings.stopSeconds * 1_000 * ENDING_SHARE;
      isLeaving = true;
      front.startDraining(stoppedAt + LEAVE_ENTRY_MILLISECONDS);
      log.info("stopping", { running: front.running() });
      // The port stays open: callers that still come are told to go elsewhere.
      await clock.sleep(LEAVE_ENTRY_MILLISECONDS);
      while (front.running() > 0 && clock.now() < endsAt) {
        await clock.sleep(END_CHECK_MILLISECONDS);
      }
      log.info("stopped", { unfinished: front.running() });
      await Promise.race([
        registration.close(),
        clock.sleep(DELIST_MILLISECONDS),
      ]);
      close();
    },
  };
}
