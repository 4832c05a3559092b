import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import test, { type ExecutionContext } from "ava";
import {
  formatRequest,
  openCallerConnection,
} from "../../stand_ins/platform/caller_connection.ts";
import {
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { createGatewayProcess } from "../../stand_ins/soak/gateway_process.ts";

/// A gateway whose process is paused while requests arrive.

const HEADER_TIMEOUT_MILLISECONDS = 800;
const WORK_MILLISECONDS = 1_800;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

async function deploy(t: ExecutionContext) {
  const { Limits } = sampleConfiguration(1);
  const limits = { ...Limits, HeaderTimeoutMs: HEADER_TIMEOUT_MILLISECONDS };
  const deployment = await startPlatformDeployment({
    configuration: sampleConfiguration(1, { Limits: limits }),
  });
  t.teardown(deployment.close);
  const desk = await deployment.addUpstream("desk", "d1", ({ target }) => ({
    kind: "answer",
    body: "done",
    workMilliseconds: target === "/once/long" ? WORK_MILLISECONDS : 0,
  }));
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-paused-`);
  t.teardown(() => rmSync(folder, { recursive: true }));
  const { address: storeAddress } = await deployment.store.openEndpoint();
  const gateway = await createGatewayProcess("paused", {
    storeAddress,
    folder,
  });
  t.teardown(async () => {
    gateway.signal("SIGKILL");
    await gateway.waitForExit();
  });
  await gateway.start();
  const open = () => {
    const connection = openCallerConnection(gateway.callerAddress);
    t.teardown(() => connection.socket.destroy());
    return connection;
  };
  const isServed = async () => {
    const probe = open();
    probe.send(formatRequest("/look/0"));
    await until(() => probe.statuses().length > 0);
    return probe.statuses()[0] === 200;
  };
  await until(isServed);
  return { desk, gateway, open };
}

interface Arrival {
  readonly title: string;
  /// Bytes of the request that arrive before the pause.
  readonly before: number;
}

const ARRIVALS: readonly Arrival[] = [
  { title: "arrives", before: 0 },
  { title: "is completed", before: 30 },
];

// Guards against a refusal for the time of the gateway's own pause.
for (const { title, before } of ARRIVALS) {
  test(`a request whose head ${title} while the gateway is paused is answered`, async (t) => {
    const { gateway, open } = await deploy(t);
    const connection = open();
    const request = formatRequest("/once/1");
    connection.send(request.slice(0, before));
    await sleep(100);
    gateway.signal("SIGSTOP");
    await sleep(100);
    connection.send(request.slice(before));
    await sleep(2 * HEADER_TIMEOUT_MILLISECONDS);
    gateway.signal("SIGCONT");
    await until(() => connection.statuses().length > 0);
    t.deepEqual(connection.statuses(), [200]);
  });
}

interface Case {
  readonly title: string;
  readonly signal?: NodeJS.Signals;
  /// Bytes of the next request that arrive before the pause.
  readonly before: number;
  /// The responses to both.
  readonly statuses: readonly number[];
}

const CASES: readonly Case[] = [
  { title: "is completed late", before: 30, statuses: [200, 200] },
  { title: "crosses a stop", signal: "SIGTERM", before: 0, statuses: [200] },
];

// Guards against a request that runs although its caller may send it again.
for (const { title, signal, before, statuses } of CASES) {
  test(`a request that ${title} behind a response while the gateway is paused runs only if it is answered`, async (t) => {
    const { desk, gateway, open } = await deploy(t);
    const connection = open();
    if (signal) gateway.signal(signal);
    await sleep(100);
    const next = formatRequest("/once/next", { deadline: 1_000 });
    connection.send(formatRequest("/once/long") + next.slice(0, before));
    await sleep(WORK_MILLISECONDS - 300);
    gateway.signal("SIGSTOP");
    await sleep(500);
    connection.send(next.slice(before));
    await sleep(100);
    gateway.signal("SIGCONT");
    await until(() => connection.statuses().length >= statuses.length);
    await sleep(500);
    t.deepEqual(connection.statuses(), statuses);
    const runs = desk.requests.filter(({ target }) => target === "/once/next");
    t.is(runs.length, statuses.length - 1);
  });
}
