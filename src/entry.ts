import {
  type ContractBook,
  createContractBook,
} from "./contracts/contract_book.ts";
import {
  type SheetFollower,
  startSheetFollower,
} from "./contracts/sheet_follower.ts";
import { createSheetStore, type SheetStore } from "./contracts/sheet_store.ts";
import type { Upstream } from "./contracts/sheet.ts";
import type { Links } from "./links/links.ts";
import type { KeyValueStore } from "./platform/key_value_store.ts";
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
  createEngineHoldings,
  type EngineHoldings,
} from "./upstreams/engine_holdings.ts";
import { createEngineKeeper } from "./upstreams/engine_keeper.ts";
import { ShortestWaitPlacement } from "./upstreams/placement.ts";
import type { ServiceClient } from "./upstreams/service_client.ts";
import { createServiceDirectory } from "./upstreams/service_directory.ts";
import { createTokenEstimator } from "./upstreams/token_estimator.ts";
import type { VmIdentity } from "./vms/identity.ts";

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
  readonly createEngineClient: (upstream: Upstream) => EngineClient;
  readonly createServiceClient: (upstream: Upstream) => ServiceClient;
}

export interface Entry {
  readonly identity: VmIdentity;
  readonly book: ContractBook;
  readonly sheets: SheetStore;
  readonly follower: SheetFollower;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
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
  const { clock, random, links, store, logFor } = options;
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
    createClient: options.createEngineClient,
  });
  const clientOf = (engine: string) => engines.find(engine)?.client;
  const holdings = createEngineHoldings({ clock, links, clientOf });
  const keeper = createEngineKeeper({
    clock,
    links,
    clientOf,
    engineNames: () => engines.all().map((engine) => engine.upstream.name),
  });
  const services = createServiceDirectory({
    book,
    random,
    createClient: options.createServiceClient,
  });
  const registry = createRequestRegistry(clock);
  const admission = createAdmission(clock);
  const placement = new ShortestWaitPlacement(random);
  const ledger = createLedger(store);
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
    }),
    services: createServiceRunner({ clock, random, services, ledger }),
    estimator: createTokenEstimator(),
  });
  let draining = false;

  return {
    identity: links.self,
    book,
    sheets,
    follower,
    engines,
    holdings,
    registry,
    handler,
    isReady: () => !draining && follower.isCurrent(),
    async drain(limit) {
      draining = true;
      admission.stop();
      const end = clock.now() + limit;
      await Promise.race([registry.whenIdle(), clock.sleep(limit)]);
      await holdings.whenReleased(Math.max(0, end - clock.now()));
    },
    close() {
      follower.close();
      keeper.close();
      holdings.close();
      engines.close();
    },
  };
}
