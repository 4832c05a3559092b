import {
  type BurnMonitor,
  startBurnMonitor,
} from "./administration/burn_monitor.ts";
import {
  type ContractBook,
  createContractBook,
} from "./contracts/contract_book.ts";
import { createCustomerLimits } from "./contracts/customer_limits.ts";
import {
  type SheetCollector,
  startSheetCollector,
} from "./contracts/sheet_collector.ts";
import {
  type SheetFollower,
  startSheetFollower,
} from "./contracts/sheet_follower.ts";
import { createSheetStore, type SheetStore } from "./contracts/sheet_store.ts";
import type { Upstream } from "./contracts/sheet.ts";
import type { Links } from "./links/links.ts";
import { startMembershipMessages } from "./links/membership_messages.ts";
import type { KeyValueStore } from "./infrastructure/key_value_store.ts";
import type { VmList } from "./infrastructure/vm_list.ts";
import type { WeightStore } from "./infrastructure/weight_store.ts";
import { createAdmission } from "./requests/admission.ts";
import { createCompletionRunner } from "./requests/completion_run.ts";
import { createIssuedKeys } from "./requests/issued_keys.ts";
import { createLedger } from "./requests/ledger.ts";
import { isResponsive } from "./requests/idle_timeout.ts";
import { createQuarantine } from "./requests/quarantine.ts";
import {
  createLedgerRouter,
  type LedgerRouter,
} from "./requests/ledger_router.ts";
import {
  createRequestHandler,
  type RequestHandler,
} from "./requests/request_handler.ts";
import {
  createRequestRegistry,
  type RequestRegistry,
} from "./requests/request_registry.ts";
import { createRequestQueues } from "./requests/request_queues.ts";
import { createResumableStreams } from "./requests/resumable_stream.ts";
import { createStreamLedger } from "./requests/stream_ledger.ts";
import { createServiceRunner } from "./requests/service_run.ts";
import { createEngineCapacity } from "./requests/engine_capacity.ts";
import type { Clock, Milliseconds } from "./support/clock.ts";
import type { Logger } from "./support/log.ts";
import type { RandomSource } from "./support/random.ts";
import { createDemandMeter } from "./upstreams/demand_meter.ts";
import type { EngineClient } from "./upstreams/engine_client.ts";
import {
  createEngineDirectory,
  type EngineDirectory,
} from "./upstreams/engine_directory.ts";
import { startLoadDigests } from "./upstreams/load_digest.ts";
import {
  type PlacementPolicy,
  ShortestWaitPlacement,
} from "./upstreams/placement.ts";
import { createPrefillTracker } from "./upstreams/prefill_tracker.ts";
import type { describePrompt } from "./upstreams/prompt_blocks.ts";
import {
  createEngineHoldings,
  type EngineHoldings,
} from "./upstreams/engine_holdings.ts";
import { createEngineReaper } from "./upstreams/engine_reaper.ts";
import {
  createDrainingUpstreams,
  type DrainingUpstreams,
} from "./upstreams/draining_upstreams.ts";
import { createSharedLoadReports } from "./upstreams/shared_load_reports.ts";
import type { ServiceClient } from "./upstreams/service_client.ts";
import { createServiceDirectory } from "./upstreams/service_directory.ts";
import { createUpstreamChecks } from "./upstreams/upstream_checks.ts";
import { createTokenEstimator } from "./upstreams/token_estimator.ts";
import { type Coordinator, startCoordinator } from "./upstreams/coordinator.ts";
import { isCoordinatorCandidate } from "./upstreams/coordinator_candidates.ts";
import type { VmIdentity } from "./vms/identity.ts";
import { createMembership, type Membership } from "./vms/membership.ts";

/// Creates and connects the components of one entry VM. They open no sockets: the
/// daemon passes in real connections. Tests and measurements pass in stand-ins
/// and a clock that they control.

/// Parts of the scheduling policy that a measurement may disable.
export type Mechanism =
  | "announcements"
  | "lengthPriority"
  | "queues"
  | "feasibility"
  | "cacheView";

export interface EntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /// Creates the logger of an area of the program.
  readonly logFor: (area: string) => Logger;
  readonly links: Links;
  readonly store: KeyValueStore;
  readonly vmList: VmList;
  /// Source of the model weights that engines load. Without it, engines get no
  /// orders from this VM.
  readonly weightStore?: WeightStore;
  /// Called when peers have declared this incarnation gone. The VM has to stop.
  readonly onDeclaredGone: () => void;
  readonly createEngineClient: (upstream: Upstream) => EngineClient;
  readonly createServiceClient: (upstream: Upstream) => ServiceClient;
  /// Replaces the placement policy in measurements that compare policies.
  readonly createPlacement?: (random: RandomSource) => PlacementPolicy;
  readonly describePrompt?: typeof describePrompt;
  readonly disabledMechanisms?: readonly Mechanism[];
}

export interface Entry {
  readonly identity: VmIdentity;
  readonly membership: Membership;
  readonly upstreamDrains: DrainingUpstreams;
  readonly coordinator: Coordinator | undefined;
  readonly book: ContractBook;
  readonly sheets: SheetStore;
  readonly follower: SheetFollower;
  readonly collector: SheetCollector;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
  readonly registry: RequestRegistry;
  readonly handler: RequestHandler;
  readonly ledgerRouter: LedgerRouter;
  readonly burn: BurnMonitor;
  /// Whether the VM accepts new requests.
  isReady(): boolean;
  /// Refuses new requests. Resolves when the running ones have ended and their
  /// claims at engines are released, or after `timeout`.
  drain(timeout: Milliseconds): Promise<void>;
  /// Stops all background work.
  close(): void;
}

export function createEntry(options: EntryOptions): Entry {
  const { clock, random, links, store, vmList, logFor } = options;
  const membership = createMembership({
    clock,
    log: logFor("vms"),
    self: links.self,
    vmList,
    peers: links,
  });
  const membershipMessages = startMembershipMessages({
    clock,
    links,
    membership,
    onDeclaredGone: options.onDeclaredGone,
  });
  const book = createContractBook();
  const sheets = createSheetStore({ store, clock });
  const follower = startSheetFollower({
    clock,
    random,
    log: logFor("contracts"),
    links,
    sheets,
    book,
  });
  const prefills = createPrefillTracker();
  const isEnabled = (mechanism: Mechanism) =>
    !options.disabledMechanisms?.includes(mechanism);
  const stopLoadDigests = isEnabled("announcements")
    ? startLoadDigests({ clock, links, prefills })
    : () => {};
  const upstreamDrains = createDrainingUpstreams({
    clock,
    log: logFor("upstreams"),
    links,
    book,
    vmList,
  });
  const collector = startSheetCollector({
    clock,
    random,
    log: logFor("contracts"),
    links,
    sheets,
  });
  const reports = createSharedLoadReports({ clock, links, membership });
  const engines = createEngineDirectory({
    clock,
    book,
    prefills,
    readsCacheEvents: isEnabled("cacheView"),
    reports,
    isDraining: upstreamDrains.isDraining,
    createClient: options.createEngineClient,
  });
  const clientOf = (engine: string) => engines.find(engine)?.client;
  const holdings = createEngineHoldings({ clock, links, clientOf });
  const reaper = createEngineReaper({
    clock,
    links,
    clientOf,
    engineNames: () => engines.all().map((engine) => engine.upstream.name),
    isHeldLocally: holdings.isHeld,
  });
  const quarantine = createQuarantine({
    clock,
    links,
    log: logFor("requests"),
    store,
  });
  const services = createServiceDirectory({
    book,
    random,
    isDraining: upstreamDrains.isDraining,
    createClient: options.createServiceClient,
  });
  const upstreamChecks = createUpstreamChecks({
    links,
    random,
    async reaches(upstream) {
      const engine = clientOf(upstream);
      if (engine) return await isResponsive(engine, clock);
      const service = services.clientOf(upstream);
      return service !== undefined && await service.acceptsConnections();
    },
  });
  const registry = createRequestRegistry(clock);
  const queues = createRequestQueues({
    clock,
    engineCapacity: createEngineCapacity(engines),
    demand: createDemandMeter(clock),
    vmCount: () => links.peers().length + 1,
    refusesInfeasible: isEnabled("feasibility"),
  });
  const placement = options.createPlacement?.(random) ??
    new ShortestWaitPlacement(random);
  const burn = startBurnMonitor({
    clock,
    links,
    membership,
    registry,
    engines,
  });
  const limits = createCustomerLimits({ clock, links, membership, book });
  const admission = createAdmission(
    limits,
    isEnabled("queues") ? queues : undefined,
  );
  const ledgerRouter = createLedgerRouter({ clock, random, links, store });
  const streamLedger = createStreamLedger({
    clock,
    random,
    router: ledgerRouter,
  });
  const issuedKeys = createIssuedKeys({ clock, random, links });
  const ledger = createLedger({
    clock,
    links,
    router: ledgerRouter,
    issuedKeys,
  });
  const handler = createRequestHandler({
    clock,
    random,
    log: logFor("requests"),
    book,
    registry,
    admission,
    completions: createCompletionRunner({
      clock,
      engines,
      holdings,
      placement,
      quarantine,
      resumables: createResumableStreams({ clock, ledger: streamLedger }),
      upstreamChecks,
    }),
    services: createServiceRunner({
      clock,
      random,
      services,
      ledger,
      quarantine,
      upstreamChecks,
    }),
    estimator: createTokenEstimator(),
    describePrompt: options.describePrompt,
    ordersByLength: isEnabled("lengthPriority"),
    issuedKeys,
  });
  const coordinator = options.weightStore && startCoordinator({
    clock,
    log: logFor("steward"),
    store,
    weightStore: options.weightStore,
    book,
    engines,
    self: links.self,
    isCandidate: () => isCoordinatorCandidate(membership),
    isSheetCurrent: follower.isCurrent,
  });
  let isDraining = false;

  return {
    identity: links.self,
    membership,
    upstreamDrains,
    coordinator,
    book,
    sheets,
    follower,
    collector,
    engines,
    holdings,
    registry,
    handler,
    ledgerRouter,
    burn,
    isReady: () => !isDraining && follower.isCurrent(),
    async drain(timeout) {
      isDraining = true;
      membership.leave();
      admission.stop();
      const drainDeadline = clock.now() + timeout;
      const allEnded = registry.whenIdle().then(() => ledger.whenIdle());
      const ended = new AbortController();
      const expired = clock.sleep(timeout, ended.signal).catch(() => {
        // Everything has ended before.
      });
      await Promise.race([allEnded, expired]);
      ended.abort();
      await holdings.whenReleased(Math.max(0, drainDeadline - clock.now()));
    },
    close() {
      membershipMessages.close();
      membership.close();
      limits.close();
      coordinator?.close();
      upstreamDrains.close();
      follower.close();
      stopLoadDigests();
      quarantine.close();
      reaper.close();
      holdings.close();
      collector.close();
      reports.close();
      engines.close();
    },
  };
}
