import { Agent, request as sendRequest } from "node:http";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
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
  brokenPromises,
  type SeenAttempt,
  SOAK_EVENTS,
  streamEvent,
} from "./invariants.ts";

/// Real gateway processes under faults that come from outside of them, in
/// series and at the same time, while callers keep their connections and check
/// what they get. One seed decides callers and faults.

export interface SoakOptions {
  readonly seed: number;
  readonly gateways: number;
  /// Time with faults; a quiet time follows.
  readonly faultMilliseconds: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly attempts: number;
  readonly served: number;
  /// Share of the attempts of the quiet time that were served.
  readonly servedAfter: number;
  readonly faults: readonly string[];
  readonly broken: readonly string[];
  /// Folder with the logs, if something was broken.
  readonly logs: string | undefined;
}

const QUIET_MILLISECONDS = 4_000;
/// Time after the last fault from which requests have to be served again.
const RECOVERY_MILLISECONDS = 5_000;
const LEAST_SERVED_AFTER = 0.9;
const CALLERS = 10;
const CALLER_PAUSE_MILLISECONDS = 30;
const ALLOWED_MILLISECONDS = 2_500;
/// Share of requests whose answer is lost, cut, refused or late.
const FAULTY_ANSWER_SHARE = 0.06;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, items.length)]!;
}

/// A runner behind a proxy, which the store lists at the proxy's address.
interface Backend {
  readonly service: string;
  readonly proxy: FaultProxy;
  readonly runner: ScriptedUpstream;
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = createSeededRandom(options.seed);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-soak-`);
  const store = createPlatformStore();
  const runs = new Map<string, ReceivedRequest[]>();
  const seen: SeenAttempt[] = [];
  const broken: string[] = [];
  const faults: string[] = [];
  const backends: Backend[] = [];
  const doors: StoreEndpoint[] = [];
  const storeProxies: FaultProxy[] = [];
  const gateways: GatewayProcess[] = [];
  let version = 1;
  let nextBackend = 1;
  let nextAttempt = 1;
  let hasFaults = true;
  let isOver = false;

  const act = (request: ReceivedRequest): UpstreamAction => {
    const id = String(request.headers["x-attempt-id"]);
    const isStream = request.target.startsWith("/ask/");
    const from = Number(request.headers["last-event-id"] ?? 0) + 1;
    const eventOf = (event: number) => streamEvent(id, event);
    const luck = hasFaults ? random.next() : 1;
    if (luck < FAULTY_ANSWER_SHARE) {
      const kind = randomInteger(random, 4);
      if (kind === 0) return { kind: "refuse" };
      const list = runs.get(id) ?? [];
      runs.set(id, [...list, request]);
      if (kind === 1) return { kind: "reset" };
      if (kind === 2) return { kind: "silence" };
      if (!isStream) return { kind: "foreign", body: "of another" };
      const cutAt = Math.min(SOAK_EVENTS, from + 2);
      return {
        kind: "stream",
        from,
        to: SOAK_EVENTS,
        resetAfter: cutAt,
        eventOf,
      };
    }
    const list = runs.get(id) ?? [];
    runs.set(id, [...list, request]);
    if (!isStream) return { kind: "answer", body: `done ${id}` };
    const pauseMilliseconds = 15;
    return {
      kind: "stream",
      from,
      to: SOAK_EVENTS,
      pauseMilliseconds,
      eventOf,
    };
  };

  const addBackend = async (service: string) => {
    const id = `${service}-${nextBackend++}`;
    const runner = await startScriptedUpstream({ id, act });
    const proxy = await startFaultProxy(runner.address);
    backends.push({ service, proxy, runner });
    list({ service, proxy, runner }, "ready");
  };
  const list = (
    { service, proxy, runner }: Backend,
    state: "ready" | "draining",
  ) =>
    store.put(`servers/${runner.id}`, {
      ...runner.entry(service, state),
      Address: proxy.address,
    });

  const startGateways = async () => {
    for (let index = 0; index < options.gateways; index++) {
      const door = await store.openEndpoint();
      const proxy = await startFaultProxy(door.address);
      doors.push(door);
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

  /// Each fault begins, lasts and ends by itself.
  const kinds: Record<string, (lasts: number) => Promise<void>> = {
    async kill(lasts) {
      const gateway = pick(random, gateways);
      gateway.signal("SIGKILL");
      await gateway.gone();
      await sleep(lasts / 2);
      await gateway.start();
    },
    async kill_all() {
      for (const gateway of gateways) gateway.signal("SIGKILL");
      await Promise.all(gateways.map((gateway) => gateway.gone()));
      await Promise.all(gateways.map((gateway) => gateway.start()));
    },
    async stop() {
      const gateway = pick(random, gateways);
      gateway.signal("SIGTERM");
      await gateway.gone();
      await gateway.start();
    },
    async pause(lasts) {
      const gateway = pick(random, gateways);
      gateway.signal("SIGSTOP");
      await sleep(lasts);
      gateway.signal("SIGCONT");
    },
    async reload() {
      pick(random, gateways).signal("SIGHUP");
      await sleep(1);
    },
    async store_mode(lasts) {
      const modes = ["busy", "silent", "deaf_watches"] as const;
      const mode = pick(random, modes);
      const hit = random.next() < 0.4 ? doors : [pick(random, doors)];
      for (const door of hit) door.setMode(mode);
      await sleep(lasts);
      for (const door of hit) door.setMode("serving");
    },
    async store_path(lasts) {
      await disturb(pick(random, storeProxies), lasts);
    },
    async upstream_path(lasts) {
      await disturb(pick(random, backends).proxy, lasts);
    },
    async upstream_crash(lasts) {
      const backend = pick(random, backends);
      backends.splice(backends.indexOf(backend), 1);
      backend.proxy.close();
      backend.runner.close();
      await sleep(lasts);
      store.remove(`servers/${backend.runner.id}`);
      await addBackend(backend.service);
    },
    async upstream_drain(lasts) {
      const backend = pick(random, backends);
      await addBackend(backend.service);
      backends.splice(backends.indexOf(backend), 1);
      list(backend, "draining");
      await sleep(lasts + ALLOWED_MILLISECONDS);
      store.remove(`servers/${backend.runner.id}`);
      backend.proxy.close();
      backend.runner.close();
    },
    async configuration() {
      version += 1 + randomInteger(random, 3);
      const more = Array.from({ length: version }, (_, index) => `k${index}`);
      const tenants = [{ Name: CUSTOMER, ApiKeys: [API_KEY, ...more] }];
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

  const disturb = async (proxy: FaultProxy, lasts: number) => {
    const modes: ProxyMode[] = ["slow", "reset", "silent", "deaf", "mute"];
    proxy.setMode(pick(random, modes));
    await sleep(lasts);
    proxy.resetAll();
    proxy.setMode("pass");
  };

  const causeFaults = async (until: number) => {
    const running: Promise<void>[] = [];
    while (performance.now() < until) {
      await sleep(200 + randomInteger(random, 900));
      const name = pick(random, Object.keys(kinds));
      const lasts = 200 + randomInteger(random, 2_000);
      faults.push(`${name} ${lasts}`);
      const fault = kinds[name]!(lasts).catch((error: Error) => {
        broken.push(`${name}: ${error.message}`);
      });
      running.push(fault);
    }
    await Promise.all(running);
  };

  const call = (agent: Agent) => {
    const kind = pick(random, ["stream", "once", "safe", "safe"] as const);
    const isKnown = random.next() > 0.03;
    const paths = { stream: "/ask/1", once: "/once/1", safe: "/look/1" };
    const id = `s${options.seed}-${nextAttempt++}`;
    const startedAt = performance.now();
    const address = pick(random, gateways).callerAddress.split(":");
    return new Promise<void>((resolve) => {
      let body = "";
      const finish = (status: number | undefined, isWhole: boolean) => {
        const took = performance.now() - startedAt;
        const allowed = ALLOWED_MILLISECONDS;
        seen.push({ id, kind, isKnown, status, body, isWhole, took, allowed });
        resolve();
      };
      const outgoing = sendRequest({
        agent,
        host: address[0],
        port: address[1],
        method: kind === "safe" ? "GET" : "POST",
        path: isKnown ? paths[kind] : "/nowhere/1",
        headers: {
          Host: HOST,
          Authorization: `Token ${API_KEY}`,
          "X-Attempt-Id": id,
          "X-Deadline-Ms": String(ALLOWED_MILLISECONDS),
          "X-Token-Counts": "2000,200",
        },
      }, (response) => {
        response.on("data", (piece: Buffer) => void (body += piece));
        response.on(
          "end",
          () => finish(response.statusCode, response.complete),
        );
        response.on("error", () => finish(response.statusCode, false));
      });
      // A frozen process never answers; callers give up by themselves.
      outgoing.setTimeout(ALLOWED_MILLISECONDS + 500, () => outgoing.destroy());
      outgoing.on("error", () => finish(undefined, false));
      outgoing.end(kind === "safe" ? undefined : `body of ${id}`);
    });
  };

  const runCaller = async () => {
    const agent = new Agent({ keepAlive: true });
    while (!isOver) {
      await call(agent);
      await sleep(CALLER_PAUSE_MILLISECONDS);
    }
    agent.destroy();
  };

  store.put("op/config", sampleConfiguration(version));
  for (const service of ["engines", "engines", "engines", "desk", "desk"]) {
    await addBackend(service);
  }
  await startGateways();
  const callers = Array.from({ length: CALLERS }, runCaller);
  await causeFaults(performance.now() + options.faultMilliseconds);
  hasFaults = false;
  await Promise.all(gateways.map((gateway) => gateway.start()));
  await sleep(RECOVERY_MILLISECONDS);
  const firstAfter = seen.length;
  await sleep(QUIET_MILLISECONDS);
  const after = seen.slice(firstAfter).filter(({ isKnown }) => isKnown);
  isOver = true;
  await Promise.all(callers);

  for (const attempt of seen) {
    broken.push(...brokenPromises(attempt, runs.get(attempt.id) ?? []));
  }
  const served = ({ status, isWhole }: SeenAttempt) =>
    status === 200 && isWhole;
  const servedAfter = after.filter(served).length / Math.max(1, after.length);
  if (servedAfter < LEAST_SERVED_AFTER) {
    broken.push(`only ${servedAfter.toFixed(2)} were served after the faults`);
  }
  for (const gateway of gateways) {
    if (broken.length > 0) {
      writeFileSync(`${folder}/${gateway.vm}.log`, gateway.log().join("\n"));
    }
    gateway.signal("SIGKILL");
    await gateway.gone();
  }
  for (const { proxy, runner } of backends) {
    proxy.close();
    runner.close();
  }
  for (const proxy of storeProxies) proxy.close();
  store.close();
  if (broken.length === 0) rmSync(folder, { recursive: true });
  return {
    seed: options.seed,
    attempts: seen.length,
    served: seen.filter(served).length,
    servedAfter,
    faults,
    broken,
    logs: broken.length > 0 ? folder : undefined,
  };
}
