import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { LongPollingStore } from "../infrastructure/key_value_store.ts";
import { splitEra } from "../infrastructure/store_revision.ts";
import { HubTopology } from "../links/hub_topology.ts";
import { createLinkMesh } from "../links/link_mesh.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { LineSink, Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { OpenSocket } from "../tunnels/dial.ts";
import { createUpstreamAccess } from "../tunnels/upstream_access.ts";
import { createUpstreamLimits } from "../upstreams/upstream_limits.ts";
import { createByteBudget } from "./byte_budget.ts";
import { createCallerServer } from "./caller_server.ts";
import { createCrashParts } from "./crash_parts.ts";
import type {
  FleetDocuments,
  GatewayDialect,
  ReservationClient,
} from "./dialect.ts";
import { createFleetView } from "./fleet_view.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";
import {
  DEFAULT_RECOVERY_MILLISECONDS,
  DEFAULT_UNUSED_HOLD_MILLISECONDS,
  type GatewaySettings,
} from "./gateway_settings.ts";
import { createLeavingUpstreams } from "./leaving_upstreams.ts";
import { createPieceQuota } from "./piece_quota.ts";
import { createPlannedStop } from "./planned_stop.ts";
import { createPlacementParts } from "./placement_parts.ts";
import { startLinkTraffic } from "./link_traffic.ts";
import { createRetryBudget } from "./retry_budget.ts";
import { createStoreReplica } from "./store_replica.ts";
import { startStoreWatcher } from "./store_watcher.ts";
import { createUpstreamConnections } from "./upstream_connections.ts";
import { createUpstreamHealth } from "./upstream_health.ts";
import { createUpstreamHolds } from "./upstream_holds.ts";
import { startViewBuilder } from "./view_builder.ts";
import { startViewSharing } from "./view_sharing.ts";
import { createVmDirectory, startRegistration } from "./vm_directory.ts";
import { createWatchPace } from "./watch_pace.ts";

/// One gateway process: its view of the fleet, its servers and its links.

/// Number of VMs assumed to share limits such as the retry allowance until the
/// links show the actual number. It is conservative: a share that is too small
/// only permits fewer retries.
const ASSUMED_VMS = 8;
/// Interval at which idle connections to removed upstreams are closed.
const PRUNE_INTERVAL_MILLISECONDS: Milliseconds = 5_000;
/// Limit for all responses in memory at the same time, which bounds the memory
/// of this process.
const MAXIMUM_RESPONSE_BYTES = 16_777_216;
/// Limit for the unfinished heads of all responses, whose fields take many times
/// their size in memory.
const MAXIMUM_UNFINISHED_HEAD_BYTES = 262_144;
/// Shared by all VMs of a deployment, so that links to other programs are
/// closed. The platform provides no secret. Links carry neither prompts nor
/// keys; tunnels carry prompts, like connections to upstreams.
const LINK_SECRET = "sequoiaturn-gateway-links";

/// The platform's implementations of what the gateway depends on.
export interface GatewayPlatform {
  readonly dialect: GatewayDialect;
  readonly documents: FleetDocuments;
  readonly reservations: ReservationClient;
  readonly store: LongPollingStore;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: GatewayPlatform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly sink?: LineSink;
  /// Opens connections to upstreams; over TCP by default.
  readonly openUpstreamSocket?: OpenSocket;
}

/// Addresses that a gateway listens on, as `host:port`.
export interface GatewayAddresses {
  readonly callers: string;
  readonly readiness: string;
  readonly links: string;
  readonly metrics: string;
}

export interface Gateway {
  readonly addresses: GatewayAddresses;
  /// Stops within the grace period after the signal, which comes now unless
  /// `signalledAt` is given: refuses requests that would end too late, answers
  /// all others and closes the gateway. Further calls have no effect.
  drain(signalledAt?: Milliseconds): Promise<void>;
  /// Closes all servers and connections at once.
  close(): void;
  /// Counts an error that nothing caught.
  countUnexpectedError(): void;
}

/// Listens and resolves to the bound address. Port 0 stands for any free port.
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
  const vms = createVmDirectory(clock, log);
  const linkServer = createServer((_message, response) => {
    response.writeHead(404).end();
  });
  const linkTraffic = startLinkTraffic({ clock, log, metrics });
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
    topology: new HubTopology(),
    onReceived: linkTraffic.record,
  });
  /// Largest number of VMs linked at the same time, including this one. A
  /// partition doesn't decrease it.
  let maximumLinkedVms = 1;
  const estimateVmCount = () =>
    maximumLinkedVms > 1 ? maximumLinkedVms : ASSUMED_VMS;
  links.onPeersChange(() => {
    maximumLinkedVms = Math.max(maximumLinkedVms, links.peers().length + 1);
    metrics.peers.set(links.peers().length);
  });
  const health = createUpstreamHealth({ clock, random, log, links });
  const upstreamLimits = createUpstreamLimits({
    clock,
    log,
    links,
    vmCount: estimateVmCount,
    onPermit: (isGranted) =>
      metrics.limitedAttempts.inc({ result: isGranted ? "sent" : "held back" }),
  });
  const upstreamHolds = createUpstreamHolds({ clock, links });
  const findUpstream = (address: string) =>
    view.upstreams().find((upstream) => upstream.address === address);
  const { paths, dialler, tunnelServer } = createUpstreamAccess({
    clock,
    random,
    log,
    links,
    linkServer,
    secrets: [LINK_SECRET],
    openSocket: options.openUpstreamSocket,
    vmList: vms,
    dataCentreOf: (address) => findUpstream(address)?.dataCentre,
    mayConnect(address) {
      const upstream = findUpstream(address);
      return upstream
        ? upstreamHolds.delayOf(upstream.id) === 0
        : view.wasUpstreamAddress(address);
    },
    tunnels: metrics.tunnels,
  });
  const connections = createUpstreamConnections({ clock, paths, dialler });
  const placementParts = createPlacementParts({
    clock,
    random,
    log,
    links,
    view,
    health,
    upstreamLimits,
    vmCount: estimateVmCount,
  });
  const plannedStop = createPlannedStop({
    clock,
    log,
    grace: settings.stopSeconds * 1_000,
  });
  const { crashRecords, storedCrashes } = createCrashParts({
    clock,
    links,
    log,
    store,
    metrics,
  });
  const callerServer = createCallerServer({
    clock,
    random,
    log,
    metrics,
    dialect: platform.dialect,
    reservations: platform.reservations,
    view,
    health,
    inFlightWork: placementParts.inFlightWork,
    placements: placementParts.placements,
    retryBudget: createRetryBudget({
      clock,
      random,
      links,
      limits: {
        ratio: settings.repeatRatio,
        allowance: settings.repeatAllowance,
        window: settings.repeatWindowSeconds * 1_000,
      },
      vmCount: estimateVmCount,
    }),
    upstreamLimits,
    upstreamHolds,
    leavingUpstreams: createLeavingUpstreams({ links, view }),
    connections,
    pieceQuota: createPieceQuota(clock),
    unfinishedHeadBytes: createByteBudget(MAXIMUM_UNFINISHED_HEAD_BYTES),
    crashRecords,
    storedCrashes,
    responseBytes: createByteBudget(MAXIMUM_RESPONSE_BYTES),
    reservationPrefix: `${settings.vm}-${incarnation}`,
    maximumReservationLifetime: settings.longestHoldMilliseconds,
    maximumUnusedReservation: settings.longestUnusedHoldMilliseconds ??
      DEFAULT_UNUSED_HOLD_MILLISECONDS,
  }, plannedStop);

  /// Upstreams listed after the last change. The health of a removed upstream
  /// is discarded, since a later process may use its ID.
  let listedIds = new Set<string>();
  const discardRemoved = () => {
    const listed = new Set(view.upstreams().map(({ id }) => id));
    for (const id of listedIds) {
      if (listed.has(id)) continue;
      health.remove(id);
      upstreamLimits.remove(id);
      upstreamHolds.remove(id);
    }
    listedIds = listed;
  };

  view.onChange(({ kind, detail, source }) => {
    log.info(`${kind} changed`, {
      detail,
      source: source.kind,
      peer: source.peer,
      ...splitEra(source.revision),
    });
    if (kind === "upstream") discardRemoved();
    const table = view.routeTable();
    if (kind === "configuration" && table) {
      callerServer.applyLimits(table.configuration.limits);
      metrics.configurationVersion.set(table.configuration.version);
    }
    metrics.upstreams.set(view.upstreams().length);
  });

  const replica = createStoreReplica();
  startViewBuilder({
    log,
    documents: platform.documents,
    replica,
    view,
    vms,
    storedCrashes,
  });
  const storeWatcher = startStoreWatcher({
    clock,
    log,
    store,
    replica,
    onConnected: (isConnected) =>
      metrics.storeConnected.set(isConnected ? 1 : 0),
    onReconnected: () => view.recordStoreReconnected(),
  });
  let callPause: Milliseconds = 0;
  const sharing = startViewSharing({
    clock,
    random,
    log,
    links,
    replica,
    isConnected: storeWatcher.isConnected,
    setActive(isActive, followers) {
      const vmCount = Math.max(estimateVmCount(), vms.count());
      const followerCount = followers ?? vmCount;
      const recovery = settings.recoveryMilliseconds ??
        DEFAULT_RECOVERY_MILLISECONDS;
      const pace = createWatchPace(
        { followerCount, vmCount, recovery },
        random,
      );
      callPause = pace.callPause;
      store.setWatchPace(pace);
      storeWatcher.setActive(isActive);
      metrics.storeFollower.set(isActive ? 1 : 0);
    },
    callPause: () => callPause,
    onBehind: storeWatcher.refresh,
    relisting: view.relistingTimeLeft,
    onRelisting: view.recordStoreReconnected,
  });

  const respondReadiness = (
    _message: IncomingMessage,
    response: ServerResponse,
  ) => {
    const isReady = !plannedStop.isStopping() &&
      view.routeTable() !== undefined;
    response.writeHead(isReady ? 200 : 503, { "Content-Length": 0 }).end();
  };
  const respondMetrics = async (
    _message: IncomingMessage,
    response: ServerResponse,
  ) => {
    metrics.running.set(callerServer.running());
    metrics.limitedUpstreams.set(upstreamLimits.count());
    metrics.suspendedUpstreams.set(health.suspended().length);
    metrics.unreachableUpstreams.set(health.countUnreachable());
    metrics.connectionsOpened.set(dialler.count());
    metrics.detouredUpstreams.set(paths.countDetours());
    metrics.logLinesDropped.set(options.sink?.dropped() ?? 0);
    const { registry } = metrics;
    const text = await registry.metrics();
    response.setHeader("Content-Type", registry.contentType);
    response.end(text);
  };
  const readinessServer = createServer(respondReadiness);
  const metricsServer = createServer((message, response) => {
    respondMetrics(message, response).catch((error: Error) => {
      log.warn("metrics not written", { reason: error.message });
      response.destroy();
    });
  });
  const addresses: GatewayAddresses = {
    callers: await listen(callerServer.server, settings.callerAddress),
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
      capacity: (settings.processorShare ?? 1) * (settings.processorSpeed ?? 1),
    },
    random,
  });
  vms.onRemoved((vm) => {
    if (vm === settings.vm) registration.renew();
  });
  const stop = new AbortController();
  const prune = async () => {
    while (!stop.signal.aborted) {
      await clock.sleep(PRUNE_INTERVAL_MILLISECONDS, stop.signal).catch(() => {
        // Aborted by close(); the loop ends.
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
    placementParts.close();
    linkTraffic.close();
    storeWatcher.close();
    registration.abandon();
    links.close();
    connections.close();
    tunnelServer.close();
    for (
      const server of [
        callerServer.server,
        readinessServer,
        linkServer,
        metricsServer,
      ]
    ) {
      server.close();
      server.closeAllConnections();
    }
  };

  const drainOnce = async (signalledAt: Milliseconds) => {
    // Another VM opens the tunnels from now on: how long their requests take
    // isn't known here.
    tunnelServer.startDraining();
    await plannedStop.run({
      signalledAt,
      running: () => callerServer.running() + tunnelServer.count(),
      deregister: registration.close,
    });
    close();
  };
  let drained: Promise<void> | undefined;

  return {
    addresses,
    close,
    drain: (signalledAt = clock.now()) =>
      drained ??= drainOnce(signalledAt).catch((error: Error) =>
        log.warn("stop failed", { reason: error.message })
      ),
    countUnexpectedError: () => metrics.unexpectedErrors.inc(),
  };
}
