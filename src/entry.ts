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
import { createTokenEstimator } from "./upstreams/token_estimator.ts";
import { type Coordinator, startCoordinator } from "./upstreams/coordinator.ts";
import { isCoordinatorCandidate } from "./upstreams/coordinator_candidates.ts";
import type { VmIdentity } from "./vms/identity.ts";
import { createMembership, type Membership } from "./vms/membership.ts";

/// Everything one entry VM decides, wired together without any socket. The
/// daemon gives it real connections; tests and measurements give it stand-ins
/// and a clock of their own.

/// Parts of the policy that a comparison may leave out.
export type Mechanism =
  | "announcements"
  | "lengthPriority"
  | "queues"
  | "feasibility"
  | "cacheView";

export interface EntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /// A logger for an area of the program.
  readonly logFor: (area: string) => Logger;
  readonly links: Links;
  readonly store: KeyValueStore;
  readonly vmList: VmList;
  /// Where engines load from; without it no engine is given an order.
  readonly weightStore?: WeightStore;
  /// Called when peers have declared this incarnation gone: it has to stop.
  readonly onExpelled: () => void;
  readonly createEngineClient: (upstream: Upstream) => EngineClient;
  readonly createServiceClient: (upstream: Upstream) => ServiceClient;
  /// Replaces the placement, for comparisons.
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
  /// Whether it takes new requests.
  isReady(): boolean;
  /// Refuses new requests and resolves when the running ones have ended, or
  /// after `limit`.
  drain(limit: Milliseconds): Promise<void>;
  /// Stops its background work.
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
    onExpelled: options.onExpelled,
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
  const has = (mechanism: Mechanism) =>
    !options.disabledMechanisms?.includes(mechanism);
  const stopDigests = has("announcements")
    ? startLoadDigests({ clock, links, prefills })
    : () => {};
  const leavingUpstreams = createDrainingUpstreams({
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
    readsCacheEvents: has("cacheView"),
    reports,
    isLeaving: leavingUpstreams.isLeaving,
    createClient: options.createEngineClient,
  });
  const clientOf = (engine: string) => engines.find(engine)?.client;
  const holdings = createEngineHoldings({ clock, links, clientOf });
  const keeper = createEngineReaper({
    clock,
    links,
    clientOf,
    engineNames: () => engines.all().map((engine) => engine.upstream.name),
    isHeldLocally: holdings.isHeld,
  });
  const quarantine = createQuarantine({ clock, links });
  const services = createServiceDirectory({
    book,
    random,
    isLeaving: leavingUpstreams.isLeaving,
    createClient: options.createServiceClient,
  });
  const registry = createRequestRegistry(clock);
  const queues = createRequestQueues({
    clock,
    engineCapacity: createEngineCapacity(engines),
    demand: createDemandMeter(clock),
    vmCount: () => links.peers().length + 1,
    refusesInfeasible: has("feasibility"),
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
    has("queues") ? queues : undefined,
  );
  const ledgerHome = createLedgerRouter({ clock, random, links, store });
  const streamLedger = createStreamLedger({
    clock,
    random,
    router: ledgerHome,
  });
  const issuedKeys = createIssuedKeys({ clock, random, links });
  const ledger = createLedger({ clock, links, router: ledgerHome, issuedKeys });
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
    }),
    services: createServiceRunner({ clock, random, services, ledger }),
    estimator: createTokenEstimator(),
    describePrompt: options.describePrompt,
    ordersByLength: has("lengthPriority"),
    issuedKeys,
  });
  const steward = options.weightStore && startCoordinator({
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
  let draining = false;

  return {
    identity: links.self,
    membership,
    upstreamDrains: leavingUpstreams,
    coordinator: steward,
    book,
    sheets,
    follower,
    collector,
    engines,
    holdings,
    registry,
    handler,
    ledgerRouter: ledgerHome,
    burn,
    isReady: () => !draining && follower.isCurrent(),
    async drain(limit) {
      draining = true;
      membership.leave();
      admission.stop();
      const end = clock.now() + limit;
      const idle = registry.whenIdle().then(() => ledger.whenIdle());
      await Promise.race([idle, clock.sleep(limit)]);
      await holdings.whenReleased(Math.max(0, end - clock.now()));
    },
    close() {
      membershipMessages.close();
      membership.close();
      limits.close();
      steward?.close();
      leavingUpstreams.close();
      follower.close();
      stopDigests();
      quarantine.close();
      keeper.close();
      holdings.close();
      collector.close();
      reports.close();
      engines.close();
    },
  };
}
