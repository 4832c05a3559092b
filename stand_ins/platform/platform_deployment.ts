import { request as sendRequest } from "node:http";
import { fleetDocuments } from "../../platform/fleet_documents.ts";
import { httpDialect } from "../../platform/http_dialect.ts";
import { reservationClient } from "../../platform/reservations.ts";
import {
  createStoreClient,
  type StoreClient,
} from "../../platform/store_client.ts";
import { type Gateway, startGateway } from "../../src/gateway/gateway.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSilentLogger, type Logger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import {
  type ReceivedRequest,
  type ScriptedUpstream,
  startScriptedUpstream,
  type UpstreamAction,
} from "./scripted_upstream.ts";
import {
  createPlatformStore,
  type PlatformStore,
  type StoreEndpoint,
} from "./platform_store.ts";

/// A deployment of gateways with stand-ins around them, on loopback.

export const HOST = "callers.example";
export const API_KEY = "key-of-north-press";
export const CUSTOMER = "north-press";

const ENGINE = {
  Slots: 4,
  KvCapacityTokens: 100_000,
  Stride: 10,
  step_ms: 1,
  per_seq_ms: 0.01,
  context_per_k: 0.001,
  read_per_s: 200_000,
  pairs_per_m: 0.1,
};

const route = (prefix: string, kind: string, more: object = {}) => ({
  Name: prefix.replaceAll("/", ""),
  Host: HOST,
  Prefix: prefix,
  Kind: kind,
  TimeoutMs: 3_000,
  TargetLatencyMs: 300,
  Priority: 1,
  MaxAttempts: 2,
  Public: false,
  ...more,
});

/// A configuration as the operator writes it.
export function sampleConfiguration(version: number, more: object = {}) {
  return {
    Version: version,
    Routes: [
      route("/ask/", "streaming", {
        Service: "engines",
        Resumable: true,
        GapAimMs: 250,
      }),
      route("/once/", "non_idempotent", { Service: "desk", MaxAttempts: 1 }),
      route("/look/", "safe", { Service: "desk" }),
      route("/open/", "safe", { Service: "desk", Public: true }),
    ],
    Services: [
      { Name: "engines", MaxConnections: 100, Engine: ENGINE },
      { Name: "desk", MaxConnections: 100 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 100_000,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: CUSTOMER, ApiKeys: [API_KEY] }],
    ...more,
  };
}

export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /// Which gateway gets it; the first by default.
  readonly gateway?: number;
  /// Closes the connection after this time.
  readonly abortAfterMilliseconds?: number;
}

export interface CallerResult {
  readonly status: number | undefined;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
  /// Whether the answer came whole, as its framing tells.
  readonly isWhole: boolean;
}

export interface PlatformDeployment {
  readonly store: PlatformStore;
  /// The store's address of each gateway.
  readonly storeEndpoints: readonly StoreEndpoint[];
  readonly gateways: readonly Gateway[];
  addUpstream(
    service: string,
    id: string,
    act: (request: ReceivedRequest) => UpstreamAction,
  ): Promise<ScriptedUpstream>;
  send(request: CallerRequest): Promise<CallerResult>;
  /// Whether a gateway says that it takes callers.
  isReady(gateway?: number): Promise<boolean>;
  readMetrics(gateway?: number): Promise<string>;
  close(): void;
}

export interface PlatformDeploymentOptions {
  readonly gateways?: number;
  readonly log?: Logger;
  readonly configuration?: object;
}

/// A port that the system chooses.
const ANY_PORT = "127.0.0.1:0";

let nextAttempt = 1;

function send(address: string, given: CallerRequest): Promise<CallerResult> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const pieces: Buffer[] = [];
    const outgoing = sendRequest({
      host,
      port,
      agent: false,
      method: given.method ?? "POST",
      path: given.path,
      headers: {
        Host: HOST,
        "X-Attempt-Id": `attempt-${nextAttempt++}`,
        "X-Deadline-Ms": "2500",
        Authorization: `Token ${API_KEY}`,
        ...given.headers,
      },
    }, (response) => {
      const finish = (isWhole: boolean) =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString("utf8"),
          isWhole,
        });
      response.on("data", (piece: Buffer) => pieces.push(piece));
      response.on("end", () => finish(response.complete));
      response.on("error", () => finish(false));
    });
    outgoing.on(
      "error",
      () =>
        resolve({ status: undefined, headers: {}, body: "", isWhole: false }),
    );
    outgoing.end(given.body);
    const { abortAfterMilliseconds: leaveAfter } = given;
    if (leaveAfter !== undefined) {
      setTimeout(() => outgoing.destroy(), leaveAfter);
    }
  });
}

export async function startPlatformDeployment(
  options: PlatformDeploymentOptions = {},
): Promise<PlatformDeployment> {
  const store = createPlatformStore();
  store.put("op/config", options.configuration ?? sampleConfiguration(1));
  const runners: ScriptedUpstream[] = [];
  const gateways: Gateway[] = [];
  const doors: StoreEndpoint[] = [];
  const clients: StoreClient[] = [];
  for (let index = 0; index < (options.gateways ?? 1); index++) {
    const door = await store.openEndpoint();
    doors.push(door);
    const client = createStoreClient(door.address);
    clients.push(client);
    gateways.push(
      await startGateway({
        settings: {
          vm: `vm-${index}`,
          dataCentre: "north",
          callerAddress: ANY_PORT,
          readinessAddress: ANY_PORT,
          linkAddress: ANY_PORT,
          metricsAddress: ANY_PORT,
          storeAddress: door.address,
          stopSeconds: 4,
          repeatRatio: 0.2,
          repeatAllowance: 100,
          repeatWindowSeconds: 10,
          longestHoldMilliseconds: 20_000,
        },
        platform: {
          dialect: httpDialect,
          documents: fleetDocuments,
          reservations: reservationClient,
          store: client,
        },
        clock: createSystemClock(),
        random: createSeededRandom(index + 1),
        log: options.log ?? createSilentLogger(),
      }),
    );
  }
  return {
    store,
    storeEndpoints: doors,
    gateways,
    async addUpstream(service, id, act) {
      const runner = await startScriptedUpstream({ id, act });
      runners.push(runner);
      store.put(`servers/${id}`, runner.entry(service));
      return runner;
    },
    send: (request) =>
      send(gateways[request.gateway ?? 0]!.addresses.callers, request),
    async isReady(gateway = 0) {
      const { readiness } = gateways[gateway]!.addresses;
      const path = "/sequoiaturn/ready";
      const result = await send(readiness, { path, method: "GET" });
      return result.status === 200;
    },
    async readMetrics(gateway = 0) {
      const { metrics } = gateways[gateway]!.addresses;
      return (await send(metrics, { path: "/metrics", method: "GET" })).body;
    },
    close() {
      for (const gateway of gateways) gateway.close();
      for (const client of clients) client.close();
      for (const runner of runners) runner.close();
      store.close();
    },
  };
}

/// Waits until `condition` holds; throws if it doesn't in a generous time.
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const start = performance.now();
  while (!await condition()) {
    if (performance.now() - start > 15_000) throw new Error("it never held");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
