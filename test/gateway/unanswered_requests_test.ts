import test, { type ExecutionContext } from "ava";
import {
  formatRequest,
  openCallerConnection,
} from "../../stand_ins/platform/caller_connection.ts";
import {
  isConnected,
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
const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/// Starts a gateway and one upstream of `desk`.
async function deploy(
  t: ExecutionContext,
  { act = () => ({ kind: "answer", body: "done" }), configuration = {} }: {
    act?: (request: ReceivedRequest) => UpstreamAction;
    configuration?: object;
  } = {},
) {
  const deployment = await startPlatformDeployment({
    configuration: sampleConfiguration(1, configuration),
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
