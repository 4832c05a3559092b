import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type {
  ReceivedRequest,
  UpstreamAction,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Upstreams that send something other than one well-formed response, over real
/// connections.

const STREAM_REQUEST = {
  path: "/ask/2f",
  headers: { "X-Token-Counts": "1460,80" },
  body: "a prompt",
};
const SAFE_REQUEST = { path: "/look/2f", method: "GET" };
const ONCE_REQUEST = { path: "/once/2f", body: "an order" };

type Write = (UpstreamAction & { kind: "raw" })["write"];

const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;
const chunk = (text: string) =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const STREAM_FIELDS = ["Content-Type: text/event-stream"];
const CHUNKED_FIELDS = [...STREAM_FIELDS, "Transfer-Encoding: chunked"];

/// Writes `text` again and again until the connection closes, as fast as it is
/// read or every `interval` milliseconds.
function writeEndlessly(socket: Socket, text: string, interval?: number) {
  const write = () => {
    if (socket.destroyed) return;
    const isFlowing = socket.write(text);
    if (interval !== undefined) setTimeout(write, interval);
    else if (isFlowing) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

async function deploy(
  t: ExecutionContext,
  service: string,
  act: (request: ReceivedRequest) => UpstreamAction,
) {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const upstream = await deployment.addUpstream(service, "u1", act);
  await until(() => deployment.isReady());
  await until(async () =>
    (await deployment.readMetrics())
      .includes("sequoiaturn_gateway_upstreams 1\n")
  );
  return { deployment, upstream };
}

interface StreamCase {
  readonly title: string;
  readonly write: Write;
  /// Longest time in which the request has to end, in milliseconds.
  readonly within: number;
}

/// In none of these cases may the caller get a stream that looks complete.
const brokenStreams: readonly StreamCase[] = [
  {
    title: "a stream without a length that stalls",
    write: (socket, head) =>
      socket.write(`${head(STREAM_FIELDS)}\r\n${event(1)}`),
    within: 3_000,
  },
  {
    title: "a stalled stream that sends single bytes",
    write: (socket, head) => {
      socket.write(`${head(CHUNKED_FIELDS)}\r\n${chunk(event(1))}`);
      writeEndlessly(socket, chunk("d"), 100);
    },
    within: 3_000,
  },
  {
    title: "a stalled stream that sends comments",
    write: (socket, head) => {
      socket.write(`${head(CHUNKED_FIELDS)}\r\n${chunk(event(1))}`);
      writeEndlessly(socket, chunk(": alive\n\n"), 100);
    },
    within: 3_000,
  },
  {
    title: "an event without end",
    write: (socket, head) => {
      socket.write(`${head(CHUNKED_FIELDS)}\r\n${chunk(event(1))}`);
      writeEndlessly(socket, chunk("x".repeat(16_384)));
    },
    within: 1_000,
  },
  {
    title: "a chunk extension without end",
    write: (socket, head) => {
      socket.write(`${head(CHUNKED_FIELDS)}\r\n${chunk(event(1))}5;`);
      writeEndlessly(socket, "x".repeat(16_384));
    },
    within: 3_000,
  },
  {
    title: "a stream that ends within an event",
    write: (socket, head) =>
      socket.end(
        `${head(CHUNKED_FIELDS)}\r\n${chunk(`${event(1)}id: 2\nda`)}0\r\n\r\n`,
      ),
    within: 1_000,
  },
];

for (const { title, write, within } of brokenStreams) {
  test(`${title} doesn't reach the caller as complete`, async (t) => {
    const { deployment } = await deploy(
      t,
      "engines",
      () => ({ kind: "raw", write }),
    );
    const startedAt = performance.now();
    const result = await deployment.send(STREAM_REQUEST);
    const took = performance.now() - startedAt;
    t.false(result.isWhole && result.status === 200, result.body.slice(0, 200));
    t.true(took <= within, `took ${took}`);
    t.true(result.body.length <= 300_000);
  });
}

interface HeadCase {
  readonly title: string;
  readonly write: Write;
}

const endlessHeads: readonly HeadCase[] = [
  {
    title: "a header without end",
    write: (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nX-Long: ");
      writeEndlessly(socket, "x".repeat(16_384));
    },
  },
  {
    title: "headers without end",
    write: (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n");
      writeEndlessly(socket, "X-Field: value\r\n".repeat(1_000));
    },
  },
  {
    title: "informational responses without end",
    write: (socket) => writeEndlessly(socket, "HTTP/1.1 103 Early\r\n\r\n"),
  },
  {
    title: "a body without end",
    write: (socket, head) => {
      socket.write(`${head(["Transfer-Encoding: chunked"])}\r\n`);
      writeEndlessly(socket, chunk("x".repeat(16_384)));
    },
  },
  {
    title: "bytes that are no response",
    write: (socket) => writeEndlessly(socket, "\0".repeat(16_384)),
  },
];

/// Memory that a process of a VM of 250 MB may need for such responses beside
/// its heap of 160 MB. An upstream takes 70 requests at the same time, and the
/// stand-in's own buffers are part of it.
const MAXIMUM_GROWTH_BYTES = 64_000_000;

for (const { title, write } of endlessHeads) {
  test.serial(`seventy callers get a failure soon after ${title}`, async (t) => {
    const { deployment } = await deploy(
      t,
      "desk",
      () => ({ kind: "raw", write }),
    );
    const before = process.memoryUsage().external;
    let highest = before;
    const watch = setInterval(() => {
      highest = Math.max(highest, process.memoryUsage().external);
    }, 20);
    const startedAt = performance.now();
    const results = await Promise.all(
      Array.from({ length: 70 }, () => deployment.send(ONCE_REQUEST)),
    );
    const took = performance.now() - startedAt;
    clearInterval(watch);
    for (const { status, isWhole } of results) {
      t.true(status === 502 || status === 504 || status === 503, `${status}`);
      t.true(isWhole);
    }
    t.true(took <= 3_000, `took ${took}`);
    t.true(
      highest - before <= MAXIMUM_GROWTH_BYTES,
      `${highest - before} bytes`,
    );
  });
}

interface CopyCase {
  readonly title: string;
  /// Writes bytes after the response `whole`.
  readonly after: (socket: Socket, whole: string) => void;
}

const lateCopies: readonly CopyCase[] = [
  {
    title: "together with the response",
    after: (socket, whole) => socket.write(whole),
  },
  {
    title: "on the idle connection",
    after: (socket, whole) => setTimeout(() => socket.write(whole), 30),
  },
  {
    title: "in part, on the idle connection",
    after: (socket, whole) =>
      setTimeout(() => socket.write(whole.slice(0, 40)), 30),
  },
  {
    title: "while the connection carries the next request",
    after: (socket, whole) => setTimeout(() => socket.write(whole), 60),
  },
];

for (const { title, after } of lateCopies) {
  test(`a second copy of a response ${title} doesn't reach the next caller`, async (t) => {
    let next = 0;
    const { deployment } = await deploy(t, "desk", () => {
      const body = `answer ${next++}`;
      const isFirst = next === 1;
      return {
        kind: "raw",
        write: (socket, head) => {
          const length = [`Content-Length: ${body.length}`];
          const whole = `${head(length)}\r\n${body}`;
          // Later responses are slow, so that the copy arrives before them.
          if (!isFirst) {
            setTimeout(() => socket.destroyed || socket.write(whole), 60);
            return;
          }
          socket.write(whole);
          after(socket, whole);
        },
      };
    });
    const first = await deployment.send(SAFE_REQUEST);
    t.is(first.body, "answer 0");
    for (let count = 0; count < 4; count++) {
      const result = await deployment.send(SAFE_REQUEST);
      t.not(result.body, "answer 0");
      t.true(result.status !== 200 || result.isWhole);
      await new Promise((resolve) => setTimeout(resolve, 25));
    }
  });
}
