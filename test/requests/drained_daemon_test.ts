import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { startDeployment } from "../../stand_ins/deployment.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Responses of daemons that are drained while requests run, over real sockets.

/// More than what the sockets between daemon and caller can buffer.
const LARGE_BYTES = 48_000_000;

async function start(t: ExecutionContext, drainLimitMilliseconds: number) {
  const deployment = await startDeployment({
    sheet: sampleSheet({ engines: 1, replicas: 1 }),
    vms: 1,
    flags: { drainLimitMilliseconds: String(drainLimitMilliseconds) },
  });
  t.teardown(() => deployment.close());
  return deployment;
}

/// Sends a request. Resolves to its connection once it was received.
async function send(address: string, path: string, body: object) {
  const [host, port] = address.split(":");
  const connection = connect(Number(port), host);
  await once(connection, "connect");
  const text = JSON.stringify(body);
  connection.write([
    `POST ${path} HTTP/1.1`,
    "host: a",
    "authorization: Bearer caller-key",
    "content-type: application/json",
    `idempotency-key: ${createKey(Date.now(), "0123456789abcdef0123")}`,
    `content-length: ${text.length}`,
    "",
    text,
  ].join("\r\n"));
  return connection;
}

async function readAll(connection: AsyncIterable<Buffer>) {
  const parts: Buffer[] = [];
  for await (const part of connection) parts.push(part);
  return Buffer.concat(parts);
}

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const COMPLETION = { model: "text", prompt: "hello", max_tokens: 10_000 };
const RUNNING = {
  "a completion": { path: "/v1/completions", body: COMPLETION, status: 503 },
  "a stream": {
    path: "/v1/completions",
    body: { ...COMPLETION, stream: true },
    status: 200,
  },
  "a call": { path: "/v1/services/desk/orders", body: {}, status: 503 },
};

for (const [kind, { path, body, status }] of Object.entries(RUNNING)) {
  test(`${kind} that runs longer than a daemon drains ends with an error`, async (t) => {
    const deployment = await start(t, 300);
    await deployment.applySheet();
    deployment.services.get("desk")!.setDelay(20_000);
    const [daemon] = deployment.daemons;
    const connection = await send(daemon!.callerAddress, path, body);
    const response = readAll(connection);
    await sleep(300);
    await daemon!.drain();
    const text = (await response).toString();
    t.true(text.startsWith(`HTTP/1.1 ${status} `), text.slice(0, 80));
    t.regex(text, /"code":"draining","executed":"unknown"/);
  });
}

test("a daemon doesn't stop before a slow caller has received its response", async (t) => {
  const server = createServer((_message, response) =>
    response.end(Buffer.alloc(LARGE_BYTES))
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const deployment = await start(t, 20_000);
  const { port } = server.address() as AddressInfo;
  const upstreams = deployment.sheet.upstreams.map((upstream) =>
    upstream.kind === "service"
      ? { ...upstream, address: `127.0.0.1:${port}` }
      : upstream
  );
  await deployment.applySheet({ ...deployment.sheet, upstreams });
  const [daemon] = deployment.daemons;
  const path = "/v1/services/desk/orders";
  const connection = await send(daemon!.callerAddress, path, {});
  await once(connection, "readable");
  const drained = daemon!.drain();
  await sleep(500);
  const response = await readAll(connection);
  await drained;
  t.true(response.length > LARGE_BYTES, `${response.length} bytes`);
});

test("a request whose body arrives while a daemon drains is refused", async (t) => {
  const deployment = await start(t, 1_500);
  await deployment.applySheet();
  const [daemon] = deployment.daemons;
  const [host, port] = daemon!.callerAddress.split(":");
  const connection = connect(Number(port), host);
  await once(connection, "connect");
  const text = JSON.stringify(COMPLETION);
  connection.write(
    "POST /v1/completions HTTP/1.1\r\nhost: a\r\n" +
      "authorization: Bearer caller-key\r\n" +
      "content-type: application/json\r\n" +
      `content-length: ${text.length}\r\n\r\n${text.slice(0, 5)}`,
  );
  const response = readAll(connection);
  await sleep(100);
  const drained = daemon!.drain();
  await sleep(300);
  connection.write(text.slice(5));
  const received = (await response).toString();
  await drained;
  t.regex(received, /^HTTP\/1.1 503/);
  t.regex(received, /"code":"draining","executed":"no"/);
});
