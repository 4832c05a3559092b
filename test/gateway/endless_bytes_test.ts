import test from "ava";
import { formatRequest } from "../../stand_ins/platform/caller_connection.ts";
import {
  CALLERS,
  checkEndless,
  chunk,
  CHUNKED,
  deployEndless,
  KILOBYTES,
  type Write,
  writeEndlessly,
} from "../../stand_ins/endless_bytes.ts";

/// Upstreams that send bytes without end, in pieces of any size.

const STREAM_FIELDS = ["Content-Type: text/event-stream", CHUNKED];

/// Writes the beginning of a response and then `text` without end.
const after = (
  begin: (head: (fields?: readonly string[]) => string) => string,
  text: string,
): Write =>
(socket, head) => {
  socket.write(begin(head));
  writeEndlessly(socket, text);
};

interface EndlessCase {
  readonly title: string;
  readonly path: string;
  readonly write: Write;
}

const inBody = (path: string, fields: readonly string[], text: string) => ({
  path,
  write: after((head) => `${head(fields)}\r\n`, text),
});

const ENDLESS: readonly EndlessCase[] = [
  {
    title: "a reason of the status",
    path: "/once/bad",
    write: after(() => "HTTP/1.1 200 ", KILOBYTES),
  },
  {
    title: "a header field",
    path: "/once/bad",
    write: after((head) => head(), KILOBYTES),
  },
  {
    title: "header fields",
    path: "/once/bad",
    write: after((head) => head(), "a: b\r\n".repeat(1_000)),
  },
  {
    title: "informational responses",
    path: "/once/bad",
    write: after(() => "", "HTTP/1.1 103 Early\r\n\r\n".repeat(100)),
  },
  {
    title: "a body in large chunks",
    ...inBody("/once/bad", [CHUNKED], chunk(KILOBYTES)),
  },
  {
    title: "a body in chunks of a byte",
    ...inBody("/once/bad", [CHUNKED], chunk("x").repeat(4_000)),
  },
  {
    title: "a body without a length",
    ...inBody("/once/bad", [], KILOBYTES),
  },
  {
    title: "the size of a chunk",
    ...inBody("/once/bad", [CHUNKED], "0".repeat(16_384)),
  },
  {
    title: "the extension of a chunk",
    path: "/once/bad",
    write: after((head) => `${head([CHUNKED])}\r\n5;`, KILOBYTES),
  },
  {
    title: "trailer fields",
    path: "/once/bad",
    write: after(
      (head) => `${head([CHUNKED])}\r\n${chunk("done")}0\r\n`,
      "a: b\r\n".repeat(1_000),
    ),
  },
  {
    title: "an event in chunks of a byte",
    ...inBody("/ask/bad", STREAM_FIELDS, chunk("x").repeat(4_000)),
  },
  {
    title: "comments in chunks of a byte",
    ...inBody(
      "/ask/bad",
      STREAM_FIELDS,
      `${chunk(":")}${chunk("\n")}${chunk("\n")}`.repeat(1_500),
    ),
  },
];
// Guards against bytes without end that end the process or starve its requests.
for (const { title, path, write } of ENDLESS) {
  test.serial(`a gateway bears ${CALLERS} responses with ${title} without end`, async (t) => {
    const deployment = await deployEndless(t, write);
    const connections = Array.from({ length: CALLERS }, deployment.open);
    for (const connection of connections) {
      connection.send(
        formatRequest(path, { lines: ["X-Token-Counts: 1460,80"] }),
      );
    }
    await checkEndless(t, deployment, connections);
    for (const connection of connections) {
      t.notRegex(connection.received(), /\r\n0\r\n\r\n$/);
    }
  });
}
