import test from "ava";
import { fleetDocuments } from "../../platform/fleet_documents.ts";
import type { GatewayDialect } from "../../src/gateway/dialect.ts";
import { formatRequest } from "../../stand_ins/platform/caller_connection.ts";
import { deployForCaller } from "../../stand_ins/platform/caller_deployment.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";

/// Every request that a gateway has read gets an answer, also on connections that
/// are kept for the next one.

const ORDER = "/once/2f";
const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

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
    const { connection } = await deployForCaller(t);
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

const latin1 = (text: string) => Buffer.from(text, "utf8").toString("latin1");

test("a customer's key and name that aren't ASCII are passed as they are configured", async (t) => {
  const [name, key] = ["Zürich à 北", "clé-à-北"];
  const { desk, connection } = await deployForCaller(t, {
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
    const { desk, connection } = await deployForCaller(t, {
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
    const { deployment, connection } = await deployForCaller(t);
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
      const { connection } = await deployForCaller(t, { dialect });
      connection.send(formatRequest(path));
      await until(() =>
        connection.statuses().length > 0 || connection.isClosed()
      );
      t.deepEqual(connection.statuses(), [502]);
      t.notRegex(connection.received(), /signature/i);
    });
  }
}
