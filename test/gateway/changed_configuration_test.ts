import test from "ava";
import {
  type CallerConnection,
  formatRequest,
} from "../../stand_ins/platform/caller_connection.ts";
import {
  configure,
  deployForCaller,
} from "../../stand_ins/platform/caller_deployment.ts";
import {
  sampleConfiguration,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Requests and open connections while the configuration changes.

const ORDER = "/once/2f";
const limits = (overrides: object) => ({
  Limits: { ...sampleConfiguration(1).Limits, ...overrides },
});

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/// Blocks the event loop, as a pause of the process does. What others send
/// meanwhile waits in the socket.
const pauseProcess = (milliseconds: number) =>
  void Atomics.wait(
    new Int32Array(new SharedArrayBuffer(4)),
    0,
    0,
    milliseconds,
  );

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
      const { deployment, desk, connection } = await deployForCaller(t, {
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
  const { connection } = await deployForCaller(t, {
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
  const { connection } = await deployForCaller(t, {
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
    const { deployment, connection } = await deployForCaller(t, {
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

interface ChangeCase {
  readonly title: string;
  readonly overrides: object;
}

const { Routes, Services } = sampleConfiguration(1);
const withTimeout = (milliseconds: number) =>
  Routes.map((route) => ({ ...route, TimeoutMs: milliseconds }));
const CHANGES: readonly ChangeCase[] = [
  { title: "has no routes", overrides: { Routes: [] } },
  { title: "has no services", overrides: { Routes: [], Services: [] } },
  { title: "has no customers", overrides: { Tenants: [] } },
  {
    title: "has no engine profile",
    overrides: { Services: Services.map(({ Name }) => ({ Name })) },
  },
  {
    title: "has a timeout of 0",
    overrides: { Routes: withTimeout(0) },
  },
];

/// Whether one complete response with a status was received, on a connection that
/// is still open.
function isAnswered({ received, isClosed }: CallerConnection): boolean {
  const [head = "", body] = received().split("\r\n\r\n", 2);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return !isClosed() && body !== undefined &&
    (length === undefined
      ? received().endsWith("0\r\n\r\n")
      : body.length === Number(length));
}

for (const { title, overrides } of CHANGES) {
  test.serial(`a request whose body is read while a configuration that ${title} comes into force is answered`, async (t) => {
    const { deployment, connection } = await deployForCaller(t);
    const request = formatRequest(ORDER);
    connection.send(request.slice(0, -1));
    await sleep(50);
    await configure(deployment, 2, overrides);
    connection.send(request.slice(-1));
    await until(() => isAnswered(connection));
    t.is(connection.statuses().length, 1);
  });

  test.serial(`requests that wait for a slot while a configuration that ${title} comes into force are answered`, async (t) => {
    const { deployment, engine, open } = await deployForCaller(t, {
      stream: { kind: "stream", to: 8, pauseMilliseconds: 100 },
      configuration: { Routes: withTimeout(20_000) },
    });
    const connections = Array.from({ length: 12 }, open);
    const lines = ["X-Token-Counts: 3000,200"];
    for (const { send } of connections) {
      const request = formatRequest("/ask/2f", { lines });
      send(request.replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 20000"));
    }
    await until(() => engine.requests.length > 0);
    await configure(deployment, 2, overrides);
    await until(() => connections.every(isAnswered));
    t.true(connections.every(({ statuses }) => statuses().length === 1));
  });

  test.serial(`a request between two attempts while a configuration that ${title} comes into force is answered`, async (t) => {
    const answers: (() => void)[] = [];
    const { deployment, desk, connection } = await deployForCaller(t, {
      act: () => ({
        kind: "raw",
        write: (socket) => void answers.push(() => socket.resetAndDestroy()),
      }),
    });
    connection.send(formatRequest("/look/2f"));
    await until(() => desk.requests.length === 1);
    await configure(deployment, 2, overrides);
    for (const answer of answers) answer();
    await until(() => isAnswered(connection));
    t.is(connection.statuses().length, 1);
  });
}
