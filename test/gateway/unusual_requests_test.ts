import { PassThrough } from "node:stream";
import type { IncomingMessage } from "node:http";
import test from "ava";
import { createPieceQuota } from "../../src/gateway/piece_quota.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createBodyReader } from "../../src/gateway/body_reader.ts";
import {
  type CallerConnection,
  formatRequest,
} from "../../stand_ins/platform/caller_connection.ts";
import { deployForCaller } from "../../stand_ins/platform/caller_deployment.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";

/// Requests in forms that HTTP permits and callers seldom use.

interface UnusualRequestCase {
  readonly title: string;
  readonly send: (connection: CallerConnection) => void;
  readonly statuses: readonly number[];
}

const ORDER = "/once/2f";
const STREAM = ["X-Token-Counts: 100,10"];
const request = (line: string, value: string) =>
  formatRequest(ORDER).replace(line, value);
const withTokens = (counts: string) =>
  formatRequest("/ask/2f", { lines: [`X-Token-Counts: ${counts}`] });
const chunked = (trailer: string) =>
  formatRequest(ORDER)
    .replace("Content-Length: 8", "Transfer-Encoding: chunked")
    .replace("an order", `8\r\nan order\r\n0\r\n${trailer}\r\n`);

const UNUSUAL_REQUESTS: readonly UnusualRequestCase[] = [
  {
    title: "Expect: 100-continue",
    send: ({ send }) =>
      send(formatRequest(ORDER, { lines: ["Expect: 100-continue"] })),
    statuses: [100, 200],
  },
  {
    title: "an upgrade that isn't supported",
    send: ({ send }) =>
      send(formatRequest(ORDER, {
        lines: ["Connection: Upgrade", "Upgrade: websocket"],
      })),
    statuses: [200],
  },
  {
    title: "chunks and trailers",
    send: ({ send }) => send(chunked("X-Note: 1\r\n") + chunked("")),
    statuses: [200, 200],
  },
  {
    title: "an empty line before the next one",
    send: ({ send }) =>
      send(`${formatRequest(ORDER)}\r\n${formatRequest(ORDER)}`),
    statuses: [200, 200],
  },
  {
    title: "the method CONNECT",
    send: ({ send }) =>
      send(
        "CONNECT callers.example:80 HTTP/1.1\r\nHost: callers.example\r\n\r\n",
      ),
    statuses: [405],
  },
  ...["1e300", "3e9", "2147483648", "NaN", "Infinity"].map((deadline) => ({
    title: `the deadline ${deadline}`,
    send: ({ send }: CallerConnection) => send(request("2500", deadline)),
    statuses: [200],
  })),
  ...["-5", "0", "-1e300"].map((deadline) => ({
    title: `the deadline ${deadline}`,
    send: ({ send }: CallerConnection) => send(request("2500", deadline)),
    statuses: [503],
  })),
  ...["1e308,1e308", "1e200,1", "1,1e308"].map((counts) => ({
    title: `the token counts ${counts}`,
    send: ({ send }: CallerConnection) => send(withTokens(counts)),
    statuses: [503],
  })),
  ...["-5,-7", "0,0", "1e999,x"].map((counts) => ({
    title: `the token counts ${counts}`,
    send: ({ send }: CallerConnection) => send(withTokens(counts)),
    statuses: [200],
  })),
];

for (const { title, send, statuses } of UNUSUAL_REQUESTS) {
  test(`a request with ${title} is answered`, async (t) => {
    const { connection } = await deployForCaller(t);
    send(connection);
    await until(() =>
      connection.statuses().length === statuses.length ||
      connection.isClosed()
    );
    t.deepEqual(connection.statuses(), statuses);
  });
}

// Guards against a caller's reset that ends the process.
test("callers that ask for a tunnel and reset the connection affect no others", async (t) => {
  const { deployment, open } = await deployForCaller(t);
  for (let count = 0; count < 12; count++) {
    const connection = open();
    connection.send(
      "CONNECT callers.example:80 HTTP/1.1\r\nHost: callers.example\r\n\r\n",
    );
    await until(() => connection.socket.bytesWritten > 0);
    connection.socket.resetAndDestroy();
    await until(connection.isClosed);
  }
  const { status } = await deployment.send({ path: "/once/1", body: "order" });
  t.is(status, 200);
  t.regex(await deployment.readMetrics(), /unexpected_errors_total 0\n/);
});

test("a connection whose request for a tunnel was refused is closed", async (t) => {
  const { connection } = await deployForCaller(t);
  connection.send("CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n");
  await until(() => connection.statuses().length > 0);
  connection.socket.write("bytes");
  await until(connection.isClosed);
  t.deepEqual(connection.statuses(), [405]);
});

test("a stream in HTTP/1.0 has no chunks and ends with its connection", async (t) => {
  const { connection } = await deployForCaller(t);
  const lines = STREAM;
  connection.send(formatRequest("/ask/2f", { lines, version: "1.0" }));
  await until(connection.isClosed);
  t.regex(connection.received(), /\r\n\r\n(id: \d\ndata: piece \d\n\n){3}$/);
});

test("a body in small pieces that stalls makes room for another one", async (t) => {
  const clock = createFakeClock();
  const bodies = createBodyReader({
    clock,
    pieceQuota: createPieceQuota(clock),
    maximumBytes: 1_000_000,
  });
  const begin = async () => {
    const stream = new PassThrough({ objectMode: true });
    const result = bodies.read(stream as unknown as IncomingMessage, 100_000);
    for (let piece = 0; piece < 1_100; piece++) stream.write(Buffer.from("x"));
    await new Promise((resolve) => setImmediate(resolve));
    return { stream, result };
  };
  const stalled = [];
  for (let body = 0; body < 8; body++) stalled.push(await begin());
  t.is((await (await begin()).result).kind, "no_memory");
  await clock.advance(10_000);
  for (const { result } of stalled) t.is((await result).kind, "no_memory");
  const { stream, result } = await begin();
  stream.end();
  t.is((await result).kind, "read");
});

test("a body without memory for it is discarded, and its memory used by the next", async (t) => {
  const clock = createSystemClock();
  const bodies = createBodyReader({
    clock,
    pieceQuota: createPieceQuota(clock),
    maximumBytes: 10,
  });
  const open = () => new PassThrough();
  const read = (stream: PassThrough) =>
    bodies.read(stream as unknown as IncomingMessage, 100);
  const [first, second, third] = [open(), open(), open()];
  const results = [read(first), read(second)];
  first.write("12345678");
  await until(() => first.readableLength === 0);
  second.write("12345678");
  t.is((await results[1]!).kind, "no_memory");
  second.end("1".repeat(1_000_000));
  await until(() => second.readableEnded);
  first.end();
  t.is((await results[0]!).kind, "read");
  const last = read(third);
  third.end("12345678");
  t.is((await last).kind, "read");
});
