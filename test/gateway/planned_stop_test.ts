import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  API_KEY,
  HOST,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// A planned stop while callers send requests and read responses. The stop time
/// of the deployment is four seconds.

const head = (method: string, path: string, fields: readonly string[] = []) =>
  [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Authorization: Token ${API_KEY}`,
    "X-Attempt-Id: a1",
    "X-Deadline-Ms: 8000",
    ...fields,
    "",
    "",
  ].join("\r\n");

const wait = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

async function deploy(
  t: ExecutionContext,
  answer: string,
  configuration?: object,
) {
  const deployment = await startPlatformDeployment({ configuration });
  t.teardown(deployment.close);
  await deployment.addUpstream(
    "desk",
    "d1",
    () => ({ kind: "answer", body: answer }),
  );
  await until(() => deployment.isReady());
  await until(async () =>
    (await deployment.readMetrics())
      .includes("sequoiaturn_gateway_upstreams 1\n")
  );
  const [host, port] = deployment.gateways[0]!.addresses.callers.split(":");
  const open = () => {
    const socket = connect(Number(port), host);
    socket.on("error", () => {
      // The test sees the missing response.
    });
    return socket;
  };
  return { deployment, open };
}

/// Collects what a socket receives until its end.
function collect(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("close", () => resolve(Buffer.concat(chunks).toString("latin1")));
  });
}

test("a response that its caller reads slowly is complete", async (t) => {
  const answer = "x".repeat(1_800_000);
  const { deployment, open } = await deploy(t, answer);
  const socket = open();
  socket.pause();
  socket.write(head("GET", "/look/2f"));
  await wait(200);
  const drained = deployment.gateways[0]!.drain();
  await wait(3_000);
  const received = collect(socket);
  socket.resume();
  const text = await received;
  t.true(text.startsWith("HTTP/1.1 200"));
  t.is(text.length - text.indexOf("\r\n\r\n") - 4, answer.length);
  await drained;
});

test("a request whose body arrives during the stop is answered", async (t) => {
  const { Routes } = sampleConfiguration(1);
  const routes = Routes.map((route) => ({ ...route, TimeoutMs: 8_000 }));
  const configuration = sampleConfiguration(1, { Routes: routes });
  const { deployment, open } = await deploy(t, "done", configuration);
  const socket = open();
  const received = collect(socket);
  socket.write(`${head("POST", "/once/2f", ["Content-Length: 10"])}first`);
  await wait(100);
  const drained = deployment.gateways[0]!.drain();
  await wait(2_900);
  socket.write("after");
  const text = await received;
  t.regex(text, /^HTTP\/1.1 503/);
  t.regex(text, /not run|stopping/);
  await drained;
});

test("requests on kept connections are answered until these are closed", async (t) => {
  const { deployment, open } = await deploy(t, "done");
  const results = { answered: 0, cut: 0 };
  const isOver = { value: false };
  /// Sends one request after the other on a connection.
  const call = async () => {
    while (!isOver.value) {
      const socket = open();
      let isWaiting = false;
      let isClosing = false;
      const closed = new Promise<void>((resolve) =>
        socket.on("close", () => {
          if (isWaiting) results.cut += 1;
          resolve();
        })
      );
      socket.on("data", (chunk: Buffer) => {
        if (!isWaiting) return;
        isWaiting = false;
        results.answered += 1;
        isClosing = /connection: close/i.test(chunk.toString("latin1"));
        if (isClosing || isOver.value) socket.end();
        else setTimeout(send, 5);
      });
      const send = () => {
        if (socket.destroyed) return;
        isWaiting = socket.write(head("GET", "/look/2f"));
      };
      socket.on("connect", send);
      await closed;
      await wait(20);
    }
  };
  const callers = Array.from({ length: 20 }, call);
  await wait(300);
  const drained = deployment.gateways[0]!.drain();
  void deployment.gateways[0]!.drain();
  await wait(1_500);
  isOver.value = true;
  await Promise.all(callers);
  await drained;
  t.true(results.answered > 100);
  t.is(results.cut, 0);
});
