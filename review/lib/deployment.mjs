// Shared parts of the scripts: a small deployment on loopback addresses. The
// gateways are processes started with the command and the settings template of
// deploy/system.toml. The platform's store runs in this process.

import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as sendRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

export const HOST = "callers.example";
export const API_KEY = "key-of-north-press";

/** Waits for a number of milliseconds. */
export const wait = (milliseconds) =>
  new Promise((done) => setTimeout(done, milliseconds));

/** Waits until `condition` holds; throws after `limit` milliseconds. */
export async function until(condition, what, limit = 20_000) {
  const start = performance.now();
  while (!await condition()) {
    if (performance.now() - start > limit) throw new Error(`not met: ${what}`);
    await wait(20);
  }
}

/** A loopback network of this run, so that runs beside each other don't meet. */
const network = `127.${1 + process.pid % 250}.${
  1 + Math.floor(Math.random() * 250)
}`;
let nextHost = 1;

/** Returns a loopback address that nothing of this run uses yet. */
export const newHost = () => `${network}.${nextHost++}`;

/** Collects the lines of record.txt in the folder of a case. */
export function createRecord(folder) {
  const start = performance.now();
  const lines = [];
  return {
    add(text) {
      const time = ((performance.now() - start) / 1_000).toFixed(3);
      lines.push(`${time.padStart(8)} ${text}`);
    },
    write() {
      writeFileSync(join(folder, "record.txt"), lines.join("\n") + "\n");
    },
  };
}

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

/** The platform's store, as far as the gateways use it. */
export async function startStore() {
  const items = new Map();
  const leases = new Set();
  const history = [];
  const waiting = new Set();
  let revision = 1;
  let nextLease = 1;

  const write = (Key, Value, Lease = 0) => {
    revision += 1;
    const CreateRevision = items.get(Key)?.CreateRevision ?? revision;
    const item = { Key, Value, Revision: revision, CreateRevision, Lease };
    items.set(Key, item);
    history.push(item);
    for (const wake of [...waiting]) wake();
  };
  const remove = (Key) => {
    if (!items.delete(Key)) return;
    revision += 1;
    history.push({ Key, Revision: revision, Removed: true });
    for (const wake of [...waiting]) wake();
  };
  const reply = (response, status, body = {}) => {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
  };
  const watch = (query, response) => {
    const after = Number(query.get("After"));
    const prefix = query.get("Prefix") ?? "";
    const respond = () => {
      const events = history.filter((event) =>
        event.Revision > after && event.Key.startsWith(prefix)
      );
      if (events.length === 0) return false;
      reply(response, 200, { events, StoreRevision: revision });
      return true;
    };
    if (respond()) return;
    const end = () => {
      waiting.delete(wake);
      clearTimeout(timer);
    };
    const wake = () => respond() && end();
    const timer = setTimeout(() => {
      end();
      reply(response, 200, { events: [], StoreRevision: revision });
    }, Number(query.get("WaitMs")));
    waiting.add(wake);
    response.on("close", end);
  };
  const transact = ({ Expected = [], Writes = [], Delete = [] }, response) => {
    const holds = Expected.every(({ Key, Revision }) =>
      (items.get(Key)?.Revision ?? 0) === Revision
    );
    if (!holds) return reply(response, 412, { Items: [] });
    if (Writes.some(({ Lease }) => Lease && !leases.has(Lease))) {
      return reply(response, 404);
    }
    for (const { Key, Value, Lease } of Writes) write(Key, Value, Lease);
    for (const key of Delete) remove(key);
    reply(response, 200, { Revision: revision });
  };
  const handle = async (message, response) => {
    const { pathname, searchParams } = new URL(message.url, "http://store");
    const [, , call, id] = pathname.split("/");
    const text = await readBody(message);
    if (call === "kv-range") {
      const prefix = searchParams.get("Prefix") ?? "";
      const Items = [...items.values()]
        .filter(({ Key }) => Key.startsWith(prefix));
      const page = { Items, HasMore: false, StoreRevision: revision };
      return reply(response, 200, page);
    }
    if (call === "kv-watch") return watch(searchParams, response);
    if (call === "kv-txn") return transact(JSON.parse(text), response);
    if (call === "kv-lease") {
      leases.add(nextLease);
      const { TtlMs } = JSON.parse(text);
      return reply(response, 200, { Lease: nextLease++, TtlMs });
    }
    if (call === "kv-keep") {
      return reply(response, leases.has(Number(id)) ? 200 : 404);
    }
    if (call === "kv-lease-end") {
      leases.delete(Number(id));
      for (const { Key, Lease } of [...items.values()]) {
        if (Lease === Number(id)) remove(Key);
      }
      return reply(response, 200);
    }
    reply(response, 404);
  };
  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  const host = newHost();
  await new Promise((done) => server.listen(0, host, done));
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a value as the operator or a runner does. */
    put: (key, value) =>
      write(key, Buffer.from(JSON.stringify(value)).toString("base64")),
    remove,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** The settings template with its placeholders filled in. */
function renderSettings(fields) {
  const template = readFileSync(
    join(ROOT, "deploy/settings.json.template"),
    "utf8",
  );
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split(".").reduce((at, name) => at?.[name], fields);
    return isJson ? JSON.stringify(value ?? null) : String(value ?? "");
  });
}

/** Words of the gateway's command in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

const ports = { front: 8227, readiness: 8220, range: [7340, 7355] };

/** Creates a gateway process with addresses of its own. */
export function createGateway(name, { store, folder, zone = "muttrah" }) {
  const ip = newHost();
  const file = join(folder, `${name}.json`);
  writeFileSync(
    file,
    renderSettings({
      NodeId: name,
      Zone: zone,
      Ip: ip,
      Listen: {
        Front: `${ip}:${ports.front}`,
        Readiness: `${ip}:${ports.readiness}`,
      },
      PortRange: ports.range,
      Limits: { CpuShare: 0.675, Cores: 1 },
      Bounds: {
        GraceS: 8,
        RetryBudgetRatio: 0.2,
        BudgetSlack: 102,
        BudgetWindowS: 10,
        HoldMaxMs: 20_000,
      },
      Provider: { Address: store.address },
    }),
  );
  const [program, ...words] = readCommand();
  const lines = [];
  let child;
  const isRunning = () =>
    child !== undefined && child.exitCode === null && child.signalCode === null;
  const isReady = () =>
    new Promise((done) => {
      const outgoing = sendRequest({
        host: ip,
        port: ports.readiness,
        path: "/sequoiaturn/ready",
        agent: false,
        timeout: 1_000,
      }, (response) => {
        response.resume();
        done(response.statusCode === 200);
      });
      outgoing.on("error", () => done(false));
      outgoing.on("timeout", () => outgoing.destroy());
      outgoing.end();
    });
  return {
    name,
    ip,
    frontPort: ports.front,
    isReady,
    isRunning,
    log: () => lines,
    start() {
      child = spawn(program, words, {
        cwd: ROOT,
        env: {
          PATH: process.env["PATH"],
          HOME: process.env["HOME"],
          SEQUOIATURN_CONFIG: file,
        },
        stdio: ["ignore", "pipe", "inherit"],
      });
      let rest = "";
      child.stdout.on("data", (chunk) => {
        const parts = (rest + chunk).split("\n");
        rest = parts.pop();
        lines.push(...parts);
      });
    },
    signal: (signal) => isRunning() && child.kill(signal),
    /** Ends the process at once and waits until it is gone. */
    async kill() {
      if (!isRunning()) return;
      const exited = new Promise((done) => child.once("exit", done));
      child.kill("SIGKILL");
      await exited;
    },
  };
}

/** Number of VMs that a gateway has links to, and of upstreams that it lists. */
export function readCounts({ ip }) {
  return new Promise((done) => {
    const outgoing = sendRequest({
      host: ip,
      port: 9100,
      path: "/metrics",
      agent: false,
      timeout: 2_000,
    }, async (response) => {
      const text = await readBody(response).catch(() => "");
      const valueOf = (name) =>
        Number(new RegExp(`^${name} (\\d+)$`, "m").exec(text)?.[1] ?? -1);
      done({
        peers: valueOf("sequoiaturn_gateway_peers"),
        upstreams: valueOf("sequoiaturn_gateway_upstreams"),
      });
    });
    outgoing.on("error", () => done({ peers: -1, upstreams: -1 }));
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.end();
  });
}

const ENGINE = {
  Slots: 11,
  KvCapacityTokens: 315_000,
  Stride: 51,
  step_ms: 0.85,
  per_seq_ms: 0.00425,
  context_per_k: 0.00285,
  read_per_s: 177_000,
  pairs_per_m: 0.184,
};

/** A route of the operator's configuration. */
export const route = (prefix, kind, fields) => ({
  Name: prefix.replaceAll("/", ""),
  Host: HOST,
  Prefix: prefix,
  Kind: kind,
  TimeoutMs: 10_000,
  TargetLatencyMs: 300,
  Priority: 1,
  MaxAttempts: 2,
  Public: false,
  ...fields,
});

/** A configuration like that of the Muscat sheet. */
export const configuration = (version, overrides = {}) => ({
  Version: version,
  Routes: [
    route("/caption/", "streaming", {
      Service: "scribe",
      Resumable: true,
      GapAimMs: 250,
    }),
    route("/place-order/", "non_idempotent", {
      Service: "order-desk",
      MaxAttempts: 1,
      TimeoutMs: 800,
      TargetLatencyMs: 100,
    }),
    route("/order-status/", "safe", {
      Service: "order-desk",
      TimeoutMs: 800,
      TargetLatencyMs: 100,
    }),
  ],
  Services: [
    { Name: "scribe", MaxConnections: 364, Engine: ENGINE },
    { Name: "order-desk", MaxConnections: 100 },
  ],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 5_000,
    IdleTimeoutMs: 15_000,
  },
  Tenants: [{ Name: "north-press", ApiKeys: [API_KEY] }],
  ...overrides,
});

/** The store entry of a runner. */
export const runnerEntry = (service, address, fields = {}) => ({
  Service: service,
  Address: address,
  Zone: "muttrah",
  Version: "1",
  Slots: 11,
  State: "ready",
  ColdRemainingMs: 0,
  Seq: 1,
  born: 1_790_000_000_000,
  ...fields,
});

/** Starts a TCP listener on a loopback address of its own. */
export async function listenTcp(onSocket) {
  const host = newHost();
  const server = createTcpServer(onSocket);
  await new Promise((done) => server.listen(0, host, done));
  return { server, address: `${host}:${server.address().port}` };
}

/** Starts an HTTP listener on a loopback address of its own. */
export async function listenHttp(onRequest) {
  const host = newHost();
  const server = createServer(onRequest);
  await new Promise((done) => server.listen(0, host, done));
  return { server, address: `${host}:${server.address().port}` };
}

/**
 * Runs a case: `play` gets a deployment of ready gateways and returns the number
 * of times that the rule was broken. Exits with 1 if there were any, with 0 if
 * there were none, and with 2 if the case couldn't run.
 */
export async function runCase(
  folder,
  { hasTrouble, gateways: count, prepare, play },
) {
  const record = createRecord(folder);
  const settings = mkdtempSync(join(tmpdir(), "review-"));
  const gateways = [];
  let store;
  let exitCode = 2;
  const end = async () => {
    await Promise.all(gateways.map((gateway) => gateway.kill()));
    store?.close();
    rmSync(settings, { recursive: true, force: true });
  };
  const timer = setTimeout(async () => {
    record.add("the case ran for too long");
    record.write();
    await end();
    process.exit(2);
  }, 115_000);
  try {
    store = await startStore();
    store.put("op/config", configuration(1));
    const prepared = await prepare({ store, record });
    for (let index = 1; index <= count; index++) {
      const name = `front-muttrah-${index}`;
      const options = { store, folder: settings };
      gateways.push(createGateway(name, options));
    }
    for (const gateway of gateways) gateway.start();
    await until(
      async () => {
        const counts = await Promise.all(gateways.map(readCounts));
        const ready = await Promise.all(
          gateways.map((gateway) => gateway.isReady()),
        );
        return ready.every((each) => each) &&
          counts.every(({ peers }) => peers === count - 1);
      },
      "gateways ready and linked",
    );
    record.add(`trouble: ${hasTrouble ? "yes" : "no"}; gateways: ${count}`);
    const broken = await play({ ...prepared, store, gateways, record });
    record.add(`the rule was broken ${broken} times`);
    exitCode = broken > 0 ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack ?? error}`);
  }
  clearTimeout(timer);
  await end();
  record.write();
  process.exit(exitCode);
}
