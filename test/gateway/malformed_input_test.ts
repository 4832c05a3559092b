import { connect } from "node:net";
import test from "ava";
import fastCheck from "fast-check";
import { decodeFrames, encodeFrame } from "../../src/links/frame.ts";
import {
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { createReplicaView } from "../../stand_ins/replica_view.ts";

/// Malformed input takes down nothing but its own request or connection. An
/// error that nothing catches fails the test by itself.

const SEED = 20_261_205;
const CONNECTIONS = 150;
const PIECES = [
  "GET /look/2f HTTP/1.1\r\n",
  "POST /ask/2f HTTP/1.1\r\n",
  "Host: callers.example\r\n",
  "Transfer-Encoding: chunked\r\n",
  "Content-Length: 5\r\n",
  "Content-Length: -1\r\n",
  "Upgrade: websocket\r\nConnection: Upgrade\r\n",
  "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n",
  "X-Token-Counts: 1e9,NaN\r\n",
  "X-Deadline-Ms: -7\r\n",
  "\r\n",
  '5;ext="\r\nhello\r\n',
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.1 103 Early\r\n\r\n",
  "X-Attempt-Id: another\r\n",
  "Content-Type: text/event-stream\r\n",
  "id: 1\ndata: x\n\n",
  "X-Instance-Load: ,,\r\n",
];

const bytes = fastCheck.array(
  fastCheck.oneof(
    { weight: 3, arbitrary: fastCheck.constantFrom(...PIECES) },
    fastCheck.uint8Array({ maxLength: 40 }),
  ),
  { maxLength: 12 },
).map((parts) => Buffer.concat(parts.map((part) => Buffer.from(part))));

const sample = (runs: number, offset: number) =>
  fastCheck.sample(bytes, { seed: SEED + offset, numRuns: runs });

/// Sends bytes and resolves when the connection has closed or gone quiet.
function sendBytes(address: string, input: Buffer): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.on("error", () => {
      // The gateway may reset the connection.
    });
    socket.on("close", () => resolve());
    socket.on("connect", () => {
      socket.write(input);
      setTimeout(() => socket.destroy(), 30);
    });
    socket.resume();
  });
}

test("a gateway serves callers after malformed bytes from callers, links and upstreams", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const responses = sample(CONNECTIONS, 1);
  await deployment.addUpstream("desk", "d1", () => {
    const response = responses.pop();
    if (!response) return { kind: "answer", body: "done" };
    return {
      kind: "raw",
      write: (socket, head) => {
        socket.write(response.length % 2 === 0 ? head() : "");
        socket.end(response);
      },
    };
  });
  await until(() => deployment.isReady());
  await until(async () =>
    (await deployment.readMetrics())
      .includes("sequoiaturn_gateway_upstreams 1\n")
  );
  const { callers, links, readiness } = deployment.gateways[0]!.addresses;
  const inputs = sample(CONNECTIONS, 2);
  await Promise.all(
    [callers, links, readiness].flatMap((address) =>
      inputs.map((input) => sendBytes(address, input))
    ),
  );
  while (responses.length > 0) {
    const { status } = await deployment.send({
      path: "/once/2f",
      body: "an order",
      headers: { "X-Deadline-Ms": "300" },
    });
    t.not(status, undefined);
  }
  await until(async () => {
    const result = await deployment.send({ path: "/look/2f", method: "GET" });
    return result.status === 200 && result.body === "done";
  });
});

test("frames that can't be decoded are reported as such", (t) => {
  const frame = encodeFrame({
    kind: "message",
    name: "gateway.work",
    value: { isWhole: true, rows: [["e1", 1, 1, 1, 1, 1]] },
  });
  fastCheck.assert(
    fastCheck.property(
      fastCheck.nat(frame.length - 1),
      fastCheck.uint8Array({ minLength: 1, maxLength: 8 }),
      (offset, noise) => {
        const damaged = Buffer.concat([
          frame.subarray(0, offset),
          noise,
          frame.subarray(offset + noise.length),
        ]);
        try {
          for (const { kind } of decodeFrames(damaged)) t.truthy(kind);
        } catch (error) {
          t.true(error instanceof Error);
        }
      },
    ),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("malformed documents in the store are ignored and later ones applied", (t) => {
  const { put, view } = createReplicaView();
  const keys = [
    "op/config",
    "servers/e1",
    "sequoiaturn/vms/vm-1",
    "sequoiaturn/crashes/1",
    "other",
  ];
  fastCheck.assert(
    fastCheck.property(
      fastCheck.constantFrom(...keys),
      fastCheck.oneof(
        fastCheck.uint8Array(),
        fastCheck.json().map((text) => Buffer.from(text)),
      ),
      put,
    ),
    { seed: SEED, numRuns: 2_000 },
  );
  t.is(view.routeTable(), undefined);
  put("op/config", Buffer.from(JSON.stringify(sampleConfiguration(1))));
  t.is(view.routeTable()?.configuration.version, 1);
});
