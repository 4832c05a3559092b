import { Agent, request as sendRequest } from "node:http";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import {
  API_KEY,
  CUSTOMER,
  HOST,
  sampleConfiguration,
} from "../platform/platform_deployment.ts";
import {
  formatRefusal,
  type ReceivedRequest,
  type ScriptedUpstream,
  startScriptedUpstream,
  type UpstreamAction,
} from "../platform/scripted_upstream.ts";
import {
  createPlatformStore,
  type StoreEndpoint,
} from "../platform/platform_store.ts";
import {
  type FaultProxy,
  type ProxyMode,
  startFaultProxy,
} from "./fault_proxy.ts";
import {
  createGatewayProcess,
  type GatewayProcess,
} from "./gateway_process.ts";
import {
  findViolations,
  type RequestRecord,
  SOAK_EVENTS,
  streamEvent,
} from "./invariants.ts";

/// Runs gateway processes under external faults, sequential and concurrent,
/// while callers send requests over persistent connections. The responses are
/// checked against the invariants. The seed determines callers and faults.

export interface SoakOptions {
  readonly seed: number;
  readonly gateways: number;
  /// Time during which faults are injected; a period without faults follows.
  readonly faultMilliseconds: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly attempts: number;
  readonly served: number;
  /// Ratio of served requests in the period without faults.
  readonly servedAfter: number;
  readonly faults: readonly string[];
  readonly broken: readonly string[];
  /// Folder with the logs, if an invariant was violated.
  readonly logs: string | undefined;
}

const FAULT_FREE_MILLISECONDS = 4_000;
/// Time after the last fault after which requests have to be served again.
const RECOVERY_MILLISECONDS = 5_000;
const MINIMUM_SERVED_AFTER_RATIO = 0.9;
const CALLER_COUNT = 10;
const CALLER_DELAY_MILLISECONDS = 30;
const REQUEST_TIMEOUT_MILLISECONDS = 2_500;
/// Ratio of requests that an upstream refuses, resets, leaves unanswered, or
/// answers with a truncated stream, with the id of another request or after a
/// refusal that it repeats.
const FAULTY_RESPONSE_RATIO = 0.06;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function pickRandom<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, items.length)]!;
}

/// An upstream behind a proxy. The store lists it at the proxy's address.
interface ProxiedUpstream {
  readonly service: string;
  readonly proxy: FaultProxy;
  readonly upstream: ScriptedUpstream;
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = createSeededRandom(options.seed);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-soak-`);
  const store = createPlatformStore();
  const executions = new Map<string, ReceivedRequest[]>();
  const records: RequestRecord[] = [];
  const broken: string[] = [];
  const faults: string[] = [];
  const upstreams: ProxiedUpstream[] = [];
  const storeEndpoints: StoreEndpoint[] = [];
  const storeProxies: FaultProxy[] = [];
  const gateways: GatewayProcess[] = [];
  let version = 1;
  let nextUpstream = 1;
  let nextRequest = 1;
  /// Ids of the requests that were refused on a connection.
  const refusedIds = new WeakMap<Socket, string>();
  let areFaultsOn = true;
  let hasEnded = false;

  const act = (request: ReceivedRequest): UpstreamAction => {
    const id = String(request.headers["x-attempt-id"]);
    const isStream = request.target.startsWith("/ask/");
    const from = Number(request.headers["last-event-id"] ?? 0) + 1;
    const formatEvent = (event: number) => streamEvent(id, event);
    const draw = areFaultsOn ? random.next() : 1;
    if (draw < FAULTY_RESPONSE_RATIO) {
      const kind = randomInteger(random, 5);
      const refused = refusedIds.get(request.connection);
      if (kind > 2 && refused === undefined) {
        refusedIds.set(request.connection, id);
        return { kind: "refuse" };
      }
      const earlier = executions.get(id) ?? [];
      executions.set(id, [...earlier, request]);
      if (kind > 2) {
        const strayBytes = formatRefusal(
          random.next() < 0.5 ? refused : undefined,
        );
        return isStream
          ? { kind: "stream", from, to: SOAK_EVENTS, formatEvent, strayBytes }
          : { kind: "answer", body: `done ${id}`, strayBytes };
      }
      if (kind === 0) return { kind: "reset" };
      if (kind === 1) return { kind: "silence" };
      if (!isStream) return { kind: "foreign", body: "of another" };
      const resetAfter = Math.min(SOAK_EVENTS, from + 2);
      return {
        kind: "stream",
        from,
        to: SOAK_EVENTS,
        resetAfter,
        formatEvent,
      };
    }
    const earlier = executions.get(id) ?? [];
    executions.set(id, [...earlier, request]);
    if (!isStream) return { kind: "answer", body: `done ${id}` };
    const pauseMilliseconds = 15;
    return {
      kind: "stream",
      from,
      to: SOAK_EVENTS,
      pauseMilliseconds,
      formatEvent,
    };
  };

  const addUpstream = async (service: string) => {
    const id = `${service}-${nextUpstream++}`;
    const upstream = await startScriptedUpstream({ id, act });
    const proxy = await startFaultProxy(upstream.address);
    upstreams.push({ service, proxy, upstream });
    writeEntry({ service, proxy, upstream }, "ready");
  };
  const writeEntry = (
    { service, proxy, upstream }: ProxiedUpstream,
    state: "ready" | "draining",
  ) =>
    store.put(`servers/${upstream.id}`, {
      ...upstream.entry(service, state),
      Address: proxy.address,
    });

  const startGateways = async () => {
    for (let index = 0; index < options.gateways; index++) {
      const endpoint = await store.openEndpoint();
      const proxy = await startFaultProxy(endpoint.address);
      storeEndpoints.push(endpoint);
      storeProxies.push(proxy);
      const storeAddress = proxy.address;
      const gateway = await createGatewayProcess(`vm-${index}`, {
        storeAddress,
        folder,
      });
      gateways.push(gateway);
      await gateway.start();
    }
  };

  /// Actions that inject a fault for the given time and then end it.
  const faultActions: Record<
    string,
    (durationMilliseconds: number) => Promise<void>
  > = {
    async kill(durationMilliseconds) {
      const gateway = pickRandom(random, gateways);
      gateway.signal("SIGKILL");
      await gateway.waitForExit();
      await sleep(durationMilliseconds / 2);
      await gateway.start();
    },
    async kill_all() {
      for (const gateway of gateways) gateway.signal("SIGKILL");
      await Promise.all(gateways.map((gateway) => gateway.waitForExit()));
      await Promise.all(gateways.map((gateway) => gateway.start()));
    },
    async stop() {
      const gateway = pickRandom(random, gateways);
      gateway.signal("SIGTERM");
      await gateway.waitForExit();
      await gateway.start();
    },
    async pause(durationMilliseconds) {
      const gateway = pickRandom(random, gateways);
      gateway.signal("SIGSTOP");
      await sleep(durationMilliseconds);
      gateway.signal("SIGCONT");
    },
    async reload() {
      pickRandom(random, gateways).signal("SIGHUP");
      await sleep(1);
    },
    async store_mode(durationMilliseconds) {
      const modes = ["busy", "silent", "deaf_watches"] as const;
      const mode = pickRandom(random, modes);
      const affected = random.next() < 0.4
        ? storeEndpoints
        : [pickRandom(random, storeEndpoints)];
      for (const endpoint of affected) endpoint.setMode(mode);
      await sleep(durationMilliseconds);
      for (const endpoint of affected) endpoint.setMode("serving");
    },
    async store_path(durationMilliseconds) {
      await degrade(pickRandom(random, storeProxies), durationMilliseconds);
    },
    async upstream_path(durationMilliseconds) {
      await degrade(pickRandom(random, upstreams).proxy, durationMilliseconds);
    },
    async upstream_crash(durationMilliseconds) {
      const proxied = pickRandom(random, upstreams);
      upstreams.splice(upstreams.indexOf(proxied), 1);
      proxied.proxy.close();
      proxied.upstream.close();
      await sleep(durationMilliseconds);
      store.remove(`servers/${proxied.upstream.id}`);
      await addUpstream(proxied.service);
    },
    async upstream_drain(durationMilliseconds) {
      const proxied = pickRandom(random, upstreams);
      await addUpstream(proxied.service);
      upstreams.splice(upstreams.indexOf(proxied), 1);
      writeEntry(proxied, "draining");
      await sleep(durationMilliseconds + REQUEST_TIMEOUT_MILLISECONDS);
      store.remove(`servers/${proxied.upstream.id}`);
      proxied.proxy.close();
      proxied.upstream.close();
    },
    async configuration() {
      version += 1 + randomInteger(random, 3);
      const moreKeys = Array.from(
        { length: version },
        (_, index) => `k${index}`,
      );
      const tenants = [{ Name: CUSTOMER, ApiKeys: [API_KEY, ...moreKeys] }];
      store.put(
        "op/config",
        sampleConfiguration(version, { Tenants: tenants }),
      );
      await sleep(1);
    },
    async history() {
      store.compact();
      await sleep(1);
    },
  };

  const degrade = async (proxy: FaultProxy, durationMilliseconds: number) => {
    const modes: ProxyMode[] = ["slow", "reset", "silent", "deaf", "mute"];
    proxy.setMode(pickRandom(random, modes));
    await sleep(durationMilliseconds);
    proxy.resetAll();
    proxy.setMode("pass");
  };

  const injectFaults = async (until: number) => {
    const running: Promise<void>[] = [];
    while (performance.now() < until) {
      await sleep(200 + randomInteger(random, 900));
      const name = pickRandom(random, Object.keys(faultActions));
      const durationMilliseconds = 200 + randomInteger(random, 2_000);
      faults.push(`${name} ${durationMilliseconds}`);
      const fault = faultActions[name]!(durationMilliseconds).catch(
        (error: Error) => {
          broken.push(`${name}: ${error.message}`);
        },
      );
      running.push(fault);
    }
    await Promise.all(running);
  };

  const call = (agent: Agent) => {
    const kind = pickRandom(
      random,
      ["stream", "once", "safe", "safe"] as const,
    );
    const hasRoute = random.next() > 0.03;
    const paths = { stream: "/ask/1", once: "/once/1", safe: "/look/1" };
    const id = `s${options.seed}-${nextRequest++}`;
    const startedAt = performance.now();
    const address = pickRandom(random, gateways).callerAddress.split(":");
    return new Promise<void>((resolve) => {
      let body = "";
      const finish = (status: number | undefined, isWhole: boolean) => {
        const took = performance.now() - startedAt;
        const allowedMilliseconds = REQUEST_TIMEOUT_MILLISECONDS;
        records.push({
          id,
          kind,
          hasRoute,
          status,
          body,
          isWhole,
          took,
          allowedMilliseconds,
        });
        resolve();
      };
      const outgoing = sendRequest({
        agent,
        host: address[0],
        port: address[1],
        method: kind === "safe" ? "GET" : "POST",
        path: hasRoute ? paths[kind] : "/nowhere/1",
        headers: {
          Host: HOST,
          Authorization: `Token ${API_KEY}`,
          "X-Attempt-Id": id,
          "X-Deadline-Ms": String(REQUEST_TIMEOUT_MILLISECONDS),
          "X-Token-Counts": "2000,200",
        },
      }, (response) => {
        response.on("data", (chunk: Buffer) => void (body += chunk));
        response.on(
          "end",
          () => finish(response.statusCode, response.complete),
        );
        response.on("error", () => finish(response.statusCode, false));
      });
      // A stopped process never responds, so the caller has its own timeout.
      outgoing.setTimeout(
        REQUEST_TIMEOUT_MILLISECONDS + 500,
        () => outgoing.destroy(),
      );
      outgoing.on("error", () => finish(undefined, false));
      outgoing.end(kind === "safe" ? undefined : `body of ${id}`);
    });
  };

  const runCaller = async () => {
    const agent = new Agent({ keepAlive: true });
    while (!hasEnded) {
      await call(agent);
      await sleep(CALLER_DELAY_MILLISECONDS);
    }
    agent.destroy();
  };

  const close = async () => {
    hasEnded = true;
    for (const gateway of gateways) {
      gateway.signal("SIGKILL");
      await gateway.waitForExit();
    }
    for (const { proxy, upstream } of upstreams) {
      proxy.close();
      upstream.close();
    }
    for (const proxy of storeProxies) proxy.close();
    store.close();
  };

  /// Plays the faults. Returns the requests after them.
  const play = async (): Promise<readonly RequestRecord[]> => {
    store.put("op/config", sampleConfiguration(version));
    for (const service of ["engines", "engines", "engines", "desk", "desk"]) {
      await addUpstream(service);
    }
    await startGateways();
    const callers = Array.from({ length: CALLER_COUNT }, runCaller);
    await injectFaults(performance.now() + options.faultMilliseconds);
    areFaultsOn = false;
    await Promise.all(gateways.map((gateway) => gateway.start()));
    await sleep(RECOVERY_MILLISECONDS);
    const firstAfter = records.length;
    await sleep(FAULT_FREE_MILLISECONDS);
    const after = records.slice(firstAfter).filter(({ hasRoute }) => hasRoute);
    hasEnded = true;
    await Promise.all(callers);
    return after;
  };

  const after = await play().finally(close);
  for (const record of records) {
    broken.push(...findViolations(record, executions.get(record.id) ?? []));
  }
  const served = ({ status, isWhole }: RequestRecord) =>
    status === 200 && isWhole;
  const servedAfter = after.filter(served).length /
    Math.max(1, after.length);
  if (servedAfter < MINIMUM_SERVED_AFTER_RATIO) {
    broken.push(`only ${servedAfter.toFixed(2)} were served after the faults`);
  }
  if (broken.length > 0) {
    for (const { vm, log } of gateways) {
      writeFileSync(`${folder}/${vm}.log`, log().join("\n"));
    }
  }
  if (broken.length === 0) rmSync(folder, { recursive: true });
  return {
    seed: options.seed,
    attempts: records.length,
    served: records.filter(served).length,
    servedAfter,
    faults,
    broken,
    logs: broken.length > 0 ? folder : undefined,
  };
}
