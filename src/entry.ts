import {
  type ContractBook,
  createContractBook,
} from "./contracts/contract_book.ts";
import { createCustomerLimits } from "./contracts/customer_limits.ts";
import {
  type SheetFollower,
  startSheetFollower,
} from "./contracts/sheet_follower.ts";
import { createSheetStore, type SheetStore } from "./contracts/sheet_store.ts";
import type { Upstream } from "./contracts/sheet.ts";
import type { Links } from "./links/links.ts";
import { startMembershipMessages } from "./links/membership_messages.ts";
import type { KeyValueStore } from "./platform/key_value_store.ts";
import type { VmList } from "./platform/vm_list.ts";
import { createAdmission } from "./requests/admission.ts";
import { createCompletionRunner } from "./requests/completion_run.ts";
import { createLedger } from "./requests/ledger.ts";
import {
  createRequestHandler,
  type RequestHandler,
} from "./requests/request_handler.ts";
import {
  createRequestRegistry,
  type RequestRegistry,
} from "./requests/request_registry.ts";
import { createServiceRunner } from "./requests/service_run.ts";
import type { Clock, Milliseconds } from "./support/clock.ts";
import type { Logger } from "./support/log.ts";
import type { RandomSource } from "./support/random.ts";
import type { EngineClient } from "./upstreams/engine_client.ts";
import {
  createEngineDirectory,
  type EngineDirectory,
} from "./upstreams/engine_directory.ts";
import {
  createLeavingUpstreams,
  type LeavingUpstreams,
} from "./upstreams/leaving_upstreams.ts";
import { ShortestWaitPlacement } from "./upstreams/placement.ts";
import type { ServiceClient } from "./upstreams/service_client.ts";
import { createServiceDirectory } from "./upstreams/service_directory.ts";
import { createTokenEstimator } from "./upstreams/token_estimator.ts";
import { createMembership, type Membership } from "./vms/membership.ts";

/// Everything one entry VM decides, wired together without any socket. The
/// daemon gives it real connections; tests and measurements give it stand-ins
/// and a clock of their own.

export interface EntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /// A logger for an area of the program.
  readonly logFor: (area: string) => Logger;
  readonly links: Links;
  readonly store: KeyValueStore;
  readonly vmList: VmList;
  /// Called when peers have declared this incarnation gone: it has to stop.
  readonly onExpelled: () => void;
  readonly createEngineClient: (upstream: Upstream) => EngineClient;
  readonly createServiceClient: (upstream: Upstream) => ServiceClient;
}

export interface Entry {
  readonly membership: Membership;
  readonly leavingUpstreams: LeavingUpstreams;
  readonly book: ContractBook;
  readonly sheets: SheetStore;
  readonly follower: SheetFollower;
  readonly engines: EngineDirectory;
  readonly registry: RequestRegistry;
  readonly handler: RequestHandler;
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
  const sheets = createSheetStore(store);
  const follower = startSheetFollower({
    clock,
    log: logFor("contracts"),
    links,
    sheets,
    book,
  });
  const leavingUpstreams = createLeavingUpstreams({
    clock,
    log: logFor("upstreams"),
    links,
    book,
    vmList,
  });
  const engines = createEngineDirectory({
    clock,
    book,
    isLeaving: leavingUpstreams.isLeaving,
    createClient: options.createEngineClient,
  });
  const services = createServiceDirectory({
    book,
    random,
    isLeaving: leavingUpstreams.isLeaving,
    createClient: options.createServiceClient,
  });
  const registry = createRequestRegistry(clock);
  const limits = createCustomerLimits({ clock, links, membership, book });
  const admission = createAdmission(limits);
  const placement = new ShortestWaitPlacement(random);
  const ledger = createLedger(store);
  const handler = createRequestHandler({
    clock,
    random,
    log: logFor("requests"),
    book,
    registry,
    admission,
    completions: createCompletionRunner({ clock, engines, placement }),
    services: createServiceRunner({ clock, random, services, ledger }),
    estimator: createTokenEstimator(),
  });
  let draining = false;

  return {
    membership,
    leavingUpstreams,
    book,
    sheets,
    follower,
    engines,
    registry,
    handler,
    isReady: () => !draining && follower.isCurrent(),
    async drain(limit) {
      draining = true;
      membership.leave();
      admission.stop();
      await Promise.race([registry.whenIdle(), clock.sleep(limit)]);
    },
    close() {
      membershipMessages.close();
      membership.close();
      limits.close();
      leavingUpstreams.close();
      follower.close();
      engines.close();
    },
  };
}
