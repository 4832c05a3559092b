import test from "ava";
import { readAnswers } from "../../stand_ins/platform/caller_answers.ts";
import { formatPatientRequest } from "../../stand_ins/platform/caller_connection.ts";
import { deployForCaller } from "../../stand_ins/platform/caller_deployment.ts";
import {
  sampleConfiguration,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Invalid or incomplete requests behind others on the same connection.

const HEADER_TIMEOUT_MILLISECONDS = 200;
const WORK_MILLISECONDS = 1_500;
const EVENTS = 15;
const TUNNEL_REQUEST = "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n";
const { Limits, Routes } = sampleConfiguration(1);
const CONFIGURATION = {
  Limits: { ...Limits, HeaderTimeoutMs: HEADER_TIMEOUT_MILLISECONDS },
  Routes: Routes.map((route) => ({ ...route, TimeoutMs: 14_000 })),
};

interface FaultCase {
  readonly title: string;
  readonly bytes: string;
  readonly status: number;
}

const FAULTS: readonly FaultCase[] = [
  { title: "the head doesn't arrive", bytes: "POST /once/2", status: 408 },
  { title: "isn't HTTP", bytes: "no request\r\n\r\n", status: 400 },
  {
    title: "has an invalid chunk",
    bytes: formatPatientRequest("/once/2", { body: "" })
      .replace("Content-Length: 0", "Transfer-Encoding: chunked") + "size",
    status: 400,
  },
  {
    title: "has a head without end",
    bytes: `POST /once/2 HTTP/1.1\r\nX-Note: ${"n".repeat(70_000)}`,
    status: 431,
  },
];

const deploy = (
  t: Parameters<typeof deployForCaller>[0],
  stream: { to?: number; formatEvent?: (event: number) => string } = {},
) =>
  deployForCaller(t, {
    configuration: CONFIGURATION,
    act: () => ({
      kind: "answer",
      body: "done",
      workMilliseconds: WORK_MILLISECONDS,
    }),
    stream: {
      kind: "stream",
      to: EVENTS,
      pauseMilliseconds: WORK_MILLISECONDS / (stream.to ?? EVENTS),
      ...stream,
    },
  });

for (const { title, bytes, status } of FAULTS) {
  for (const path of ["/once/1", "/look/1", "/ask/1"]) {
    test(`a request to ${path} is answered although the next one of its connection ${title}`, async (t) => {
      const { desk, engine, connection } = await deploy(t);
      connection.send(formatPatientRequest(path));
      await until(() => desk.requests.length + engine.requests.length === 1);
      if (path === "/ask/1") {
        await until(() => connection.received().includes("piece"));
      }
      connection.send(bytes);
      await until(connection.isClosed);
      const { complete, rest } = readAnswers(connection.received());
      t.is(rest, "");
      t.deepEqual(complete.map((answer) => answer.status), [200, status]);
      const body = path === "/ask/1" ? `piece ${EVENTS}\n\n` : "done";
      t.true(complete[0]?.body.endsWith(body));
      const [request] = [...desk.requests, ...engine.requests];
      t.false(request!.wasAborted);
    });
  }
}

test("whole requests are answered in turn before an invalid one", async (t) => {
  const { connection } = await deploy(t);
  const requests = formatPatientRequest("/once/1") +
    formatPatientRequest("/look/2");
  connection.send(`${requests}no request\r\n\r\n`);
  await until(connection.isClosed);
  const { complete, rest } = readAnswers(connection.received());
  t.is(rest, "");
  t.deepEqual(complete.map(({ status }) => status), [200, 200, 400]);
});

// Guards against a fault that stands for a request under way.
for (const { title, bytes, status } of FAULTS) {
  test(`a request and those that wait for it are answered in turn although the next one ${title}`, async (t) => {
    const { desk, connection } = await deploy(t);
    const requests = ["/once/1", "/once/2", "/once/3", "/once/4"]
      .map((path) => formatPatientRequest(path));
    connection.send(requests.join("") + bytes);
    await until(connection.isClosed);
    const { complete, rest } = readAnswers(connection.received());
    t.is(rest, "");
    const statuses = [...requests.map(() => 200), status];
    t.deepEqual(complete.map((answer) => answer.status), statuses);
    t.is(desk.requests.length, requests.length);
  });
}

test("a head that arrives late behind a request under way is answered", async (t) => {
  const { desk, connection } = await deploy(t);
  const next = formatPatientRequest("/look/2");
  connection.send(formatPatientRequest("/once/1") + next.slice(0, 20));
  await until(() => desk.requests.length === 1);
  const wait = 2 * HEADER_TIMEOUT_MILLISECONDS + 500;
  await new Promise((resolve) => setTimeout(resolve, wait));
  connection.send(next.slice(20));
  await until(() => connection.statuses().length === 2);
  t.deepEqual(connection.statuses(), [200, 200]);
});

for (const path of ["/once/1", "/ask/1"]) {
  test(`a request to ${path} is answered although one for a tunnel follows it`, async (t) => {
    const { desk, engine, connection } = await deploy(t);
    const others = path === "/ask/1" ? "" : formatPatientRequest("/look/2");
    connection.send(formatPatientRequest(path) + others);
    await until(() => desk.requests.length + engine.requests.length === 1);
    if (path === "/ask/1") {
      await until(() => connection.received().includes("piece"));
    }
    connection.send(TUNNEL_REQUEST);
    await until(connection.isClosed);
    const { complete, rest } = readAnswers(connection.received());
    t.is(rest, "");
    const before = path === "/ask/1" ? [200] : [200, 200];
    t.deepEqual(complete.map(({ status }) => status), [...before, 405]);
  });
}

for (
  const [title, bytes] of [
    ["an invalid request", "no request\r\n\r\n"],
    ["a request for a tunnel", TUNNEL_REQUEST],
  ]
) {
  test(`an upstream stops for a caller that leaves behind ${title}`, async (t) => {
    const { desk, connection } = await deploy(t);
    connection.send(formatPatientRequest("/once/1"));
    await until(() => desk.requests.length === 1);
    connection.send(bytes!);
    await new Promise((resolve) => setTimeout(resolve, 200));
    connection.socket.end();
    await until(() => desk.requests[0]!.wasAborted);
    t.pass();
  });
}

test("a slow reader gets its whole stream although a request for a tunnel follows it", async (t) => {
  const to = 300;
  const size = 60_000;
  const { connection, engine } = await deploy(t, {
    to,
    formatEvent: (event) => `id: ${event}\ndata: ${"n".repeat(size)}\n\n`,
  });
  connection.send(formatPatientRequest("/ask/1"));
  await until(() => engine.requests.length === 1);
  connection.socket.pause();
  connection.send(TUNNEL_REQUEST);
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  connection.socket.resume();
  await until(connection.isClosed);
  const { complete, rest } = readAnswers(connection.received());
  t.is(rest.length, 0);
  t.deepEqual(complete.map(({ status }) => status), [200, 405]);
  t.true(complete[0]!.body.length > to * size);
});
