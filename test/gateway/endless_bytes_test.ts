import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import test, { type ExecutionContext } from "ava";
import {
  type CallerConnection,
  formatRequest,
  openCallerConnection,
} from "../../stand_ins/platform/caller_connection.ts";
import {
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";
import { createGatewayProcess } from "../../stand_ins/soak/gateway_process.ts";

/// Upstreams and callers that send bytes without end, in pieces of any size, to a
/// gateway process with the heap that the deployment gives it.

const HEAP_MEGABYTES = 160;
/// The heap and what the process takes beside it.
const MAXIMUM_RESIDENT_BYTES = 320_000_000;
const MAXIMUM_BODY_BYTES = 4_194_304;
const CALLERS = 100;
/// Time in which a sound request beside them is answered, once they have begun.
const SOUND_MILLISECONDS = 2_500;

type Write = (UpstreamAction & { kind: "raw" })["write"];

const chunk = (text: string) =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const CHUNKED = "Transfer-Encoding: chunked";
const STREAM_FIELDS = ["Content-Type: text/event-stream", CHUNKED];

/// Writes `text` as often as it is read until the connection closes.
function writeEndlessly(socket: Socket, text: string) {
  const bytes = Buffer.from(text);
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(bytes)) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

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

const KILOBYTES = "x".repeat(16_384);
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

/// Returns 0 for a process that has ended.
function readResidentBytes(processId: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return 1_024 * Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  } catch {
    return 0;
  }
}

async function deploy(t: ExecutionContext, write: Write) {
  const deployment = await startPlatformDeployment({
    configuration: sampleConfiguration(1, {
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: MAXIMUM_BODY_BYTES,
        HeaderTimeoutMs: 3_000,
        IdleTimeoutMs: 15_000,
      },
    }),
  });
  t.teardown(deployment.close);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-endless-`);
  t.teardown(() => rmSync(folder, { recursive: true }));
  for (const service of ["desk", "engines"]) {
    for (let index = 0; index < 2; index++) {
      await deployment.addUpstream(
        service,
        `${service}-${index}`,
        ({ target }) =>
          target.endsWith("sound")
            ? { kind: "answer", body: "done" }
            : { kind: "raw", write },
      );
    }
  }
  const { address: storeAddress } = await deployment.store.openEndpoint();
  const gateway = await createGatewayProcess("endless", {
    storeAddress,
    folder,
    nodeOptions: [`--max-old-space-size=${HEAP_MEGABYTES}`],
  });
  t.teardown(() => gateway.signal("SIGKILL"));
  await gateway.start();

  let highest = 0;
  const watch = setInterval(() => {
    highest = Math.max(highest, readResidentBytes(gateway.processId()));
  }, 20);
  t.teardown(() => clearInterval(watch));

  const open = () => {
    const connection = openCallerConnection(gateway.callerAddress);
    t.teardown(() => connection.socket.destroy());
    return connection;
  };
  /// Sends a sound request and returns its status and how long it took.
  const sendSound = async () => {
    const startedAt = performance.now();
    const connection = open();
    connection.send(formatRequest("/once/sound"));
    await until(() =>
      connection.statuses().length > 0 || connection.isClosed()
    );
    connection.socket.destroy();
    const took = performance.now() - startedAt;
    return { status: connection.statuses()[0], took };
  };
  await until(async () => (await sendSound()).status === 200);
  return { gateway, open, sendSound, highest: () => highest };
}

const isOver = (connection: CallerConnection) =>
  connection.isClosed() || /\r\n0\r\n\r\n$/.test(connection.received()) ||
  connection.statuses().some((status) => status !== 200);

/// Checks that the gateway bears what `connections` cause, beside sound requests.
async function check(
  t: ExecutionContext,
  { gateway, sendSound, highest }: Awaited<ReturnType<typeof deploy>>,
  connections: readonly CallerConnection[],
) {
  const sound = [];
  while (!connections.every(isOver) && gateway.isRunning()) {
    sound.push(await sendSound());
  }
  sound.push(await sendSound());
  t.true(gateway.isRunning());
  t.true(highest() <= MAXIMUM_RESIDENT_BYTES, `${highest()} bytes`);
  t.deepEqual(sound.map(({ status }) => status), sound.map(() => 200));
  const slowest = Math.max(...sound.slice(1).map(({ took }) => took));
  t.true(slowest <= SOUND_MILLISECONDS, `took ${slowest}`);
}

// Guards against bytes without end that end the process or starve its requests.
for (const { title, path, write } of ENDLESS) {
  test.serial(`a gateway bears ${CALLERS} responses with ${title} without end`, async (t) => {
    const deployment = await deploy(t, write);
    const connections = Array.from({ length: CALLERS }, deployment.open);
    for (const connection of connections) {
      connection.send(
        formatRequest(path, { lines: ["X-Token-Counts: 1460,80"] }),
      );
    }
    await check(t, deployment, connections);
    for (const connection of connections) {
      t.notRegex(connection.received(), /\r\n0\r\n\r\n$/);
    }
  });
}

for (const callers of [1, 30]) {
  test.serial(`a gateway bears bodies of ${callers} callers in chunks of a byte`, async (t) => {
    const deployment = await deploy(t, () => {});
    const connections = Array.from({ length: callers }, deployment.open);
    const pieces = chunk("x").repeat(4_000);
    for (const { socket, send } of connections) {
      send(
        formatRequest("/once/sound", { body: "", lines: [CHUNKED] })
          .replace(/Content-Length: 0\r\n/, ""),
      );
      writeEndlessly(socket, pieces);
    }
    await check(t, deployment, connections);
    for (const connection of connections) {
      t.regex(connection.received(), /^$|^HTTP\/1\.1 (413|503) /);
    }
  });
}

test.serial("a body of some kilobytes in chunks of a byte is served", async (t) => {
  const { open } = await deploy(t, () => {});
  const connection = open();
  connection.send(
    formatRequest("/once/sound", { body: "", lines: [CHUNKED] })
      .replace(/Content-Length: 0\r\n/, "") +
      chunk("x").repeat(8_000) + "0\r\n\r\n",
  );
  await until(() => connection.statuses().length > 0);
  t.deepEqual(connection.statuses(), [200]);
});
