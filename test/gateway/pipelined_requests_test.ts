import test, { type ExecutionContext } from "ava";
import { formatRequest } from "../../stand_ins/platform/caller_connection.ts";
import { deployForCaller } from "../../stand_ins/platform/caller_deployment.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";
import type {
  ReceivedRequest,
  UpstreamAction,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Requests that a caller sends before the answer to its last one.

/// Answers `/once/unframed` without a length after a delay, and all others with a
/// length after it.
function act({ target }: ReceivedRequest): UpstreamAction {
  const isFramed = !target.endsWith("unframed");
  const delay = 300;
  return {
    kind: "raw",
    write: (socket, head) =>
      void setTimeout(() => {
        const fields = isFramed ? ["Content-Length: 4"] : [];
        socket.end(`${head([...fields, "Connection: close"])}\r\ndone`);
      }, delay),
  };
}

async function deploy(t: ExecutionContext) {
  const deployed = await deployForCaller(t, { act });
  const isIdle = async () =>
    /running_requests 0\n/.test(await deployed.deployment.readMetrics());
  return { ...deployed, isIdle };
}

test("pipelined requests are answered in turn", async (t) => {
  const { connection, isIdle } = await deploy(t);
  const paths = ["/once/1", "/nowhere", "/once/2"];
  connection.send(paths.map((path) => formatRequest(path)).join(""));
  await until(() => connection.statuses().length === 3);
  t.deepEqual(connection.statuses(), [200, 404, 200]);
  await until(isIdle);
});

test("a request behind one whose answer closes the connection isn't passed on", async (t) => {
  const { desk, connection, isIdle } = await deploy(t);
  const lines = ["Connection: close"];
  connection.send(
    formatRequest("/once/1", { lines }) + formatRequest("/once/2"),
  );
  await until(connection.isClosed);
  t.deepEqual(connection.statuses(), [200]);
  t.deepEqual(desk.requests.map(({ target }) => target), ["/once/1"]);
  await until(isIdle);
});

test("a request behind one whose response has no length is answered", async (t) => {
  const { connection, isIdle } = await deploy(t);
  connection.send(formatRequest("/once/unframed") + formatRequest("/once/2"));
  await until(() => connection.statuses().length === 2);
  t.deepEqual(connection.statuses(), [200, 200]);
  t.false(connection.isClosed());
  await until(isIdle);
});

test("a pipelined request whose caller disconnects isn't passed on", async (t) => {
  const { desk, connection, isIdle } = await deploy(t);
  connection.send(formatRequest("/once/1") + formatRequest("/once/2"));
  await until(() => desk.requests.length > 0);
  connection.socket.destroy();
  await until(() => desk.requests.every(({ wasAborted }) => wasAborted));
  t.is(desk.requests.length, 1);
  await until(isIdle);
});

test("a request waits at most until its deadline for the one before it", async (t) => {
  const { desk, connection } = await deploy(t);
  const late = formatRequest("/once/2")
    .replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 200");
  connection.send(formatRequest("/once/1") + late);
  await until(() => connection.statuses().length === 2);
  t.deepEqual(connection.statuses(), [200, 503]);
  t.is(desk.requests.length, 1);
});

test("a request behind one that is answered during a planned stop is answered", async (t) => {
  const { deployment, desk, connection } = await deploy(t);
  connection.send(formatRequest("/once/1") + formatRequest("/look/2"));
  await until(() => desk.requests.length === 1);
  const drained = deployment.gateways[0]!.drain();
  await until(connection.isClosed);
  t.is(connection.statuses().length, 2);
  t.is(connection.received().match(/^connection: close\r$/gim)?.length, 1);
  await drained;
});
