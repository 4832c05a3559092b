import test from "ava";
import { formatRequest } from "../../stand_ins/platform/caller_connection.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";
import {
  CALLERS,
  checkEndless,
  chunk,
  CHUNKED,
  deployEndless,
  KILOBYTES,
  writeEndlessly,
} from "../../stand_ins/endless_bytes.ts";

/// Callers that send bytes without end, in pieces of any size.

const asChunked = (path: string) =>
  formatRequest(path, { body: "", lines: [CHUNKED] })
    .replace(/Content-Length: 0\r\n/, "");

for (const callers of [1, 30]) {
  test.serial(`a gateway bears bodies of ${callers} callers in chunks of a byte`, async (t) => {
    const deployment = await deployEndless(t, () => {});
    const connections = Array.from({ length: callers }, deployment.open);
    const pieces = chunk("x").repeat(4_000);
    for (const { socket, send } of connections) {
      send(asChunked("/once/sound"));
      writeEndlessly(socket, pieces);
    }
    await checkEndless(t, deployment, connections);
    for (const connection of connections) {
      t.regex(connection.received(), /^$|^HTTP\/1\.1 (413|503) /);
    }
  });
}

interface EndlessCaller {
  readonly title: string;
  readonly begin: () => string;
  readonly text: string;
}

const ENDLESS_CALLERS: readonly EndlessCaller[] = [
  { title: "blank lines", begin: () => "", text: "\r\n".repeat(5_000) },
  {
    title: "header fields",
    begin: () => formatRequest("/once/sound").replace(/\r\n\r\n.*/s, "\r\n"),
    text: "a: b\r\n".repeat(1_000),
  },
  {
    title: "the size of a chunk",
    begin: () => asChunked("/once/sound"),
    text: "0".repeat(16_384),
  },
  {
    title: "the extension of a chunk",
    begin: () => `${asChunked("/once/sound")}5;`,
    text: KILOBYTES,
  },
  {
    title: "trailer fields",
    begin: () => `${asChunked("/once/sound")}${chunk("done")}0\r\n`,
    text: "a: b\r\n".repeat(1_000),
  },
  {
    title: "a body that is too large",
    begin: () => asChunked("/once/sound"),
    text: chunk(KILOBYTES),
  },
  {
    title: "a body of a request that is refused without it",
    begin: () => asChunked("/nowhere"),
    text: chunk("x").repeat(4_000),
  },
];

// Guards against callers whose bytes belong to no request and starve the others.
for (const { title, begin, text } of ENDLESS_CALLERS) {
  test.serial(`a gateway bears ${CALLERS} callers that send ${title} without end`, async (t) => {
    const deployment = await deployEndless(t, () => {});
    const connections = Array.from({ length: CALLERS }, deployment.open);
    for (const { socket, send } of connections) {
      send(begin());
      writeEndlessly(socket, text);
    }
    await checkEndless(t, deployment, connections);
    for (const connection of connections) {
      t.notRegex(connection.received(), /^HTTP\/1\.1 200/);
    }
  });
}

test.serial("a body of some kilobytes in chunks of a byte is served", async (t) => {
  const { open } = await deployEndless(t, () => {});
  const connection = open();
  connection.send(
    `${asChunked("/once/sound")}${chunk("x").repeat(8_000)}0\r\n\r\n`,
  );
  await until(() => connection.statuses().length > 0);
  t.deepEqual(connection.statuses(), [200]);
});
