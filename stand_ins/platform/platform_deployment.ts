import { request as sendRequest } from "node:http";
import { fleetDocuments } from "../../platform/fleet_documents.ts";
import { httpDialect } from "../../platform/http_dialect.ts";
import { reservationClient } from "../../platform/reservations.ts";
import {
  createStoreClient,
  type StoreClient,
} from "../../platform/store_client.ts";
import type { GatewayDialect } from "../../src/gateway/dialect.ts";
import { type Gateway, startGateway } from "../../src/gateway/gateway.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSilentLogger, type Logger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import {
  type ReceivedRequest,
  type ScriptedUpstream,
  type ScriptedUpstreamOptions,
  startScriptedUpstream,
  type UpstreamAction,
} from "./scripted_upstream.ts";
import { processHost } from "../process_host.ts";
import {
  createUpstreamNetwork,
  type UpstreamNetwork,
} from "./upstream_network.ts";
import {
  createPlatformStore,
  type PlatformStore,
  type StoreEndpoint,
} from "./platform_store.ts";

/// A deployment of gateways on loopback, with stand-ins for the platform's
/// store and for the upstreams.

export const HOST = "callers.example";
export const API_KEY = "key-of-north-press";
export const CUSTOMER = "north-press";

const ENGINE_PROFILE = {
  Slots: 4,
  KvCapacityTokens: 100_000,
  Stride: 10,
  step_ms: 1,
  per_seq_ms: 0.01,
  context_per_k: 0.001,
  read_per_s: 200_000,
  pairs_per_m: 0.1,
};

const route = (prefix: string, kind: string, overrides: object = {}) => ({
  Name: prefix.replaceAll("/", ""),
  Host: HOST,
  Prefix: prefix,
  Kind: kind,
  TimeoutMs: 3_000,
  TargetLatencyMs: 300,
  Priority: 1,
  MaxAttempts: 2,
  Public: false,
  ...overrides,
});

/// A configuration document in the operator's format.
export function sampleConfiguration(version: number, overrides: object = {}) {
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
      {
        Name: "engines",
        HealthPath: "/healthz",
        MaxConnections: 100,
        Engine: ENGINE_PROFILE,
      },
      { Name: "desk", HealthPath: "/healthz", MaxConnections: 100 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 100_000,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: CUSTOMER, ApiKeys: [API_KEY] }],
    ...overrides,
  };
}

export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /// Index of the gateway that receives it; the first by default.
  readonly gateway?: number;
  /// Closes the connection after this time, without waiting for the response.
  readonly abortAfterMilliseconds?: number;
}

export interface CallerResult {
  readonly status: number | undefined;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
  /// Whether the response was complete according to its framing.
  readonly isWhole: boolean;
}

export interface PlatformDeployment {
  readonly store: PlatformStore;
  /// The store endpoint of each gateway.
  readonly storeEndpoints: readonly StoreEndpoint[];
  readonly gateways: readonly Gateway[];
  /// The network between each gateway and the upstreams.
  readonly upstreamNetworks: readonly UpstreamNetwork[];
  addUpstream(
    service: string,
    id: string,
    act: (request: ReceivedRequest) => UpstreamAction,
    options?: Partial<ScriptedUpstreamOptions>,
  ): Promise<ScriptedUpstream>;
  send(request: CallerRequest): Promise<CallerResult>;
  /// Whether a gateway reports that it accepts callers.
  isReady(gateway?: number): Promise<boolean>;
  readMetrics(gateway?: number): Promise<string>;
  close(): void;
}

export interface PlatformDeploymentOptions {
  readonly gateways?: number;
  readonly log?: Logger;
  readonly configuration?: object;
  /// Retries of all VMs together in a window, beside those that the requests
  /// allow; 100 by default.
  readonly retryAllowance?: number;
  /// Replaces parts of the platform's dialect.
  readonly dialect?: Partial<GatewayDialect>;
  readonly stopSeconds?: number;
}

/// An address of this thread with a port that the operating system chooses.
const ANY_PORT = `${processHost()}:0`;

let nextAttempt = 1;

function send(address: string, request: CallerRequest): Promise<CallerResult> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const outgoing = sendRequest({
      host,
      port,
      agent: false,
      method: request.method ?? "POST",
      path: request.path,
      headers: {
        Host: HOST,
        "X-Attempt-Id": `attempt-${nextAttempt++}`,
        "X-Deadline-Ms": "2500",
        Authorization: `Token ${API_KEY}`,
        ...request.headers,
      },
    }, (response) => {
      const finish = (isWhole: boolean) =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("utf8"),
          isWhole,
        });
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => finish(response.complete));
      response.on("error", () => finish(false));
    });
    outgoing.on(
      "error",
      () =>
        resolve({ status: undefined, headers: {}, body: "", isWhole: false }),
    );
    outgoing.end(request.body);
    const { abortAfterMilliseconds } = request;
    if (abortAfterMilliseconds !== undefined) {
      setTimeout(() => outgoing.destroy(), abortAfterMilliseconds);
    }
  });
}

export async function startPlatformDeployment(
  options: PlatformDeploymentOptions = {},
): Promise<PlatformDeployment> {
  const store = createPlatformStore();
  store.put("op/config", options.configuration ?? sampleConfiguration(1));
  const upstreams: ScriptedUpstream[] = [];
  const gateways: Gateway[] = [];
  const storeEndpoints: StoreEndpoint[] = [];
  const upstreamNetworks: UpstreamNetwork[] = [];
  const clients: StoreClient[] = [];
  for (let index = 0; index < (options.gateways ?? 1); index++) {
    storeEndpoints.push(await store.openEndpoint());
    const client = createStoreClient(storeEndpoints[index]!.address);
    clients.push(client);
    const network = createUpstreamNetwork();
    upstreamNetworks.push(network);
    gateways.push(
      await startGateway({
        settings: {
          vm: `vm-${index}`,
          dataCentre: "north",
          callerAddress: ANY_PORT,
          readinessAddress: ANY_PORT,
          linkAddress: ANY_PORT,
          metricsAddress: ANY_PORT,
          storeAddress: storeEndpoints[index]!.address,
          stopSeconds: options.stopSeconds ?? 4,
          repeatRatio: 0.2,
          repeatAllowance: options.retryAllowance ?? 100,
          repeatWindowSeconds: 10,
          longestHoldMilliseconds: 20_000,
        },
        platform: {
          dialect: { ...httpDialect, ...options.dialect },
          documents: fleetDocuments,
          reservations: reservationClient,
          store: client,
        },
        clock: createSystemClock(),
        random: createSeededRandom(index + 1),
        log: options.log ?? createSilentLogger(),
        openUpstreamSocket: network.open,
      }),
    );
  }
  return {
    store,
    storeEndpoints,
    gateways,
    upstreamNetworks,
    async addUpstream(service, id, act, upstreamOptions) {
      const upstream = await startScriptedUpstream({
        id,
        act,
        ...upstreamOptions,
      });
      upstreams.push(upstream);
      store.put(`servers/${id}`, upstream.entry(service));
      return upstream;
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
      for (const upstream of upstreams) upstream.close();
      store.close();
    },
  };
}

/// Whether every gateway lists `upstreams` upstreams and is linked to all
/// others.
export async function isConnected(
  { gateways, readMetrics }: PlatformDeployment,
  upstreams: number,
): Promise<boolean> {
  const metrics = await Promise.all(
    gateways.map((_, gateway) => readMetrics(gateway)),
  );
  return metrics.every((text) =>
    text.includes(`sequoiaturn_gateway_upstreams ${upstreams}\n`) &&
    text.includes(`sequoiaturn_gateway_peers ${gateways.length - 1}\n`)
  );
}

/// Returns how many records of crashes each gateway has.
export async function countRecordedCrashes(
  { gateways, readMetrics }: PlatformDeployment,
): Promise<number[]> {
  const metrics = await Promise.all(
    gateways.map((_, gateway) => readMetrics(gateway)),
  );
  return metrics.map((text) =>
    [...text.matchAll(/crashes_recorded_total\{[^}]*\} (\d+)/g)]
      .reduce((sum, [, count]) => sum + Number(count), 0)
  );
}

/// Waits until `condition` holds. Throws if it doesn't hold within 15 seconds.
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const start = performance.now();
  while (!await condition()) {
    if (performance.now() - start > 15_000) throw new Error("wait timed out");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
