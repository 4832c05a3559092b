import test, { type ExecutionContext } from "ava";
import { fleetDocuments } from "../../platform/fleet_documents.ts";
import type { GatewayDialect } from "../../src/gateway/dialect.ts";
import {
  formatRequest,
  openCallerConnection,
} from "../../stand_ins/platform/caller_connection.ts";
import {
  isConnected,
  type PlatformDeployment,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type {
  ReceivedRequest,
  UpstreamAction,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Every request that a gateway has read gets an answer, also on connections that
/// are kept for the next one.

const ORDER = "/once/2f";
const limits = (overrides: object) => ({
  Limits: { ...sampleConfiguration(1).Limits, ...overrides },
});

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/// Starts a gateway and one upstream of `desk`.
async function deploy(
  t: ExecutionContext,
  { act = () => ({ kind: "answer", body: "done" }), configuration, dialect }: {
    act?: (request: ReceivedRequest) => UpstreamAction;
    configuration?: object;
    dialect?: Partial<GatewayDialect>;
  } = {},
) {
  const deployment = await startPlatformDeployment({
    configuration: sampleConfiguration(1, configuration),
    ...(dialect ? { dialect } : {}),
  });
  t.teardown(deployment.close);
  const desk = await deployment.addUpstream("desk", "d1", act);
  await until(() => isConnected(deployment, 1));
  await until(() => deployment.isReady());
  const connection = openCallerConnection(
    deployment.gateways[0]!.addresses.callers,
  );
  t.teardown(() => connection.socket.destroy());
  return { deployment, desk, connection };
}

/// Writes a configuration and waits until it is in force.
async function configure(
  { store, readMetrics }: PlatformDeployment,
  version: number,
  overrides: object,
) {
  store.put("op/config", sampleConfiguration(version, overrides));
  await until(async () =>
    (await readMetrics()).includes(`configuration_version ${version}\n`)
  );
}

/// Blocks the event loop, as a pause of the process does. What others send
/// meanwhile waits in the socket.
const pauseProcess = (milliseconds: number) =>
  void Atomics.wait(
    new Int32Array(new SharedArrayBuffer(4)),
    0,
    0,
    milliseconds,
  );

interface RefusedBodyCase {
  readonly title: string;
  readonly path: string;
  readonly key?: string;
  readonly status: number;
}

const REFUSED_BODIES: readonly RefusedBodyCase[] = [
  { title: "that is too large", path: ORDER, status: 413 },
  { title: "without a route", path: "/nowhere", status: 404 },
  { title: "with an unknown key", path: ORDER, key: "another", status: 401 },
];

for (const { title, path, key, status } of REFUSED_BODIES) {
  test(`a request after a long body ${title} is answered on the same connection`, async (t) => {
    const { connection } = await deploy(t);
    const size = 2_000_000;
    const request = formatRequest(path, { body: "y".repeat(size), key });
    for (let sent = 0; sent < request.length; sent += 50_000) {
      connection.send(request.slice(sent, sent + 50_000));
      await sleep(5);
    }
    connection.send(formatRequest(ORDER));
    await until(() => connection.statuses().length >= 2);
    t.deepEqual(connection.statuses(), [status, 200]);
  });
}

interface IdleTimeoutCase {
  readonly title: string;
  /// Idle timeout before the first request, and while it is answered.
  readonly timeouts: readonly [number, number];
  readonly idleMilliseconds: number;
}

const CHANGED_IDLE_TIMEOUTS: readonly IdleTimeoutCase[] = [
  { title: "raised", timeouts: [400, 4_000], idleMilliseconds: 2_000 },
  { title: "lowered", timeouts: [4_000, 100], idleMilliseconds: 2_000 },
  { title: "removed", timeouts: [400, 0], idleMilliseconds: 2_000 },
];

for (const { title, timeouts, idleMilliseconds } of CHANGED_IDLE_TIMEOUTS) {
  for (const isBeforeAnswer of [true, false]) {
    const when = isBeforeAnswer ? "before" : "after";
    test(`a connection whose idle timeout is ${title} ${when} an answer serves the next request`, async (t) => {
      let answer = () => {};
      const { deployment, desk, connection } = await deploy(t, {
        configuration: limits({ IdleTimeoutMs: timeouts[0] }),
        act: () => ({
          kind: "raw",
          write(socket, head) {
            const fields = ["Content-Length: 4", "Connection: close"];
            answer = () => void socket.end(`${head(fields)}\r\ndone`);
            if (!isBeforeAnswer || desk.requests.length > 1) answer();
          },
        }),
      });
      const changed = limits({ IdleTimeoutMs: timeouts[1] });
      connection.send(formatRequest(ORDER));
      if (isBeforeAnswer) {
        await until(() => desk.requests.length === 1);
        await configure(deployment, 2, changed);
        answer();
      }
      await until(() => connection.statuses().length === 1);
      if (!isBeforeAnswer) await configure(deployment, 2, changed);
      await sleep(idleMilliseconds);
      connection.send(formatRequest(ORDER));
      await until(() => connection.statuses().length === 2);
      t.deepEqual(connection.statuses(), [200, 200]);
    });
  }
}

test.serial("a request that arrives during a pause of the process is answered on its kept connection", async (t) => {
  const { connection } = await deploy(t, {
    configuration: limits({ IdleTimeoutMs: 500 }),
  });
  connection.send(formatRequest(ORDER));
  await until(() => connection.statuses().length === 1);
  await sleep(200);
  connection.send(formatRequest(ORDER));
  pauseProcess(2_000);
  await until(() => connection.statuses().length === 2);
  t.deepEqual(connection.statuses(), [200, 200]);
});

test("a connection without requests is closed after its idle timeout", async (t) => {
  const { connection } = await deploy(t, {
    configuration: limits({ IdleTimeoutMs: 500 }),
  });
  connection.send(formatRequest(ORDER));
  await until(() => connection.statuses().length === 1);
  const since = performance.now();
  await until(connection.isClosed);
  const took = performance.now() - since;
  t.true(took > 500 && took < 3_000, `${took}`);
});

interface HeaderLimitCase {
  readonly title: string;
  readonly limits: readonly [number, number];
  readonly statuses: readonly number[];
}

const CHANGED_HEADER_LIMITS: readonly HeaderLimitCase[] = [
  { title: "raised", limits: [4_000, 12_000], statuses: [200, 200, 200] },
  { title: "lowered", limits: [12_000, 4_000], statuses: [200, 431, 200] },
];

for (
  const { title, limits: [first, second], statuses } of CHANGED_HEADER_LIMITS
) {
  test(`a limit on headers that is ${title} applies to connections that are open`, async (t) => {
    const { deployment, connection } = await deploy(t, {
      configuration: limits({ MaxHeaderBytes: first }),
    });
    const lines = [[], [`X-Note: ${"n".repeat(8_000)}`], []];
    for (const [index, line] of lines.entries()) {
      connection.send(formatRequest(ORDER, { lines: line }));
      await until(() => connection.statuses().length === index + 1);
      if (index > 0) continue;
      await configure(deployment, 2, limits({ MaxHeaderBytes: second }));
    }
    t.deepEqual(connection.statuses(), statuses);
  });
}

const latin1 = (text: string) => Buffer.from(text, "utf8").toString("latin1");

test("a customer's key and name that aren't ASCII are passed as they are configured", async (t) => {
  const [name, key] = ["Zürich à 北", "clé-à-北"];
  const { desk, connection } = await deploy(t, {
    configuration: { Tenants: [{ Name: name, ApiKeys: [key] }] },
  });
  connection.send(formatRequest(ORDER, { key: latin1(key) }));
  await until(() => connection.statuses().length === 1);
  t.deepEqual(connection.statuses(), [200]);
  t.is(desk.requests[0]!.headers["x-tenant"], latin1(name));
});

interface HeaderBytesCase {
  readonly title: string;
  readonly value: string;
}

const HEADER_BYTES: readonly HeaderBytesCase[] = [
  { title: "UTF-8", value: latin1("café €") },
  { title: "other bytes over 127", value: "caf\xe9 \x80\xff" },
];

for (const { title, value } of HEADER_BYTES) {
  test(`a header with ${title} is passed on byte for byte in both directions`, async (t) => {
    const { desk, connection } = await deploy(t, {
      act: () => ({
        kind: "raw",
        write: (socket, head) =>
          void socket.write(
            `${head([`X-Note: ${value}`, "Content-Length: 4"])}\r\ndone`,
            "latin1",
          ),
      }),
    });
    connection.send(formatRequest(ORDER, { lines: [`X-Note: ${value}`] }));
    await until(() => connection.received().endsWith("done"));
    t.is(/^x-note: (.*)\r$/im.exec(connection.received())?.[1], value);
    t.is(desk.requests[0]!.headers["x-note"], value);
  });
}

interface InvalidRequestCase {
  readonly title: string;
  readonly path?: string;
  readonly lines?: readonly string[];
}

const INVALID_REQUESTS: readonly InvalidRequestCase[] = [
  { title: "two hosts", lines: ["Host: callers.example"] },
  { title: "a tab in its path", path: "/once/\t" },
];

for (const { title, path = ORDER, lines } of INVALID_REQUESTS) {
  test(`a request with ${title} is refused and suspends no upstream`, async (t) => {
    const { deployment, connection } = await deploy(t);
    connection.send(formatRequest(path, { lines }));
    await until(() => connection.statuses().length === 1);
    t.deepEqual(connection.statuses(), [400]);
    t.regex(await deployment.readMetrics(), /suspended_upstreams 0\n/);
  });
}

test("an entry whose id can't be written into a header names no upstream", (t) => {
  const entry = Buffer.from(JSON.stringify({
    Service: "desk",
    Address: "127.0.0.1:1",
    Zone: "north",
    Slots: 1,
    State: "ready",
  }));
  const parse = (key: string) => fleetDocuments.parseUpstream(key, entry)?.id;
  t.is(parse("servers/d1"), "d1");
  for (const id of ["", "a\r\nX-Tenant: b", "a\0", "dé1"]) {
    t.is(parse(`servers/${id}`), undefined);
  }
});

interface FaultCase {
  readonly title: string;
  readonly dialect: Partial<GatewayDialect>;
}

const FAULTS: readonly FaultCase[] = [
  {
    title: "before the upstream",
    dialect: {
      buildUpstreamHeaders() {
        throw new Error("no headers");
      },
    },
  },
  {
    title: "after the upstream",
    dialect: {
      buildCallerHeaders: () => [
        ["X-Response-Signature", "signed by d1"],
        ["X-Note", "€"],
      ],
    },
  },
];

for (const { title, dialect } of FAULTS) {
  for (const path of [ORDER, "/look/2f", "/ask/2f"]) {
    test(`a fault of the gateway ${title} ends ${path} with a failure that has no signature`, async (t) => {
      const { deployment, connection } = await deploy(t, { dialect });
      const stream = () => ({ kind: "stream", to: 2 }) as const;
      await deployment.addUpstream("engines", "e1", stream);
      await until(() => isConnected(deployment, 2));
      connection.send(formatRequest(path));
      await until(() =>
        connection.statuses().length > 0 || connection.isClosed()
      );
      t.deepEqual(connection.statuses(), [502]);
      t.notRegex(connection.received(), /signature/i);
    });
  }
}
