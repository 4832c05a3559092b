import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import type { ExecutionContext } from "ava";
import {
  type CallerConnection,
  formatRequest,
  openCallerConnection,
} from "./platform/caller_connection.ts";
import {
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "./platform/platform_deployment.ts";
import type { UpstreamAction } from "./platform/scripted_upstream.ts";
import { createGatewayProcess } from "./soak/gateway_process.ts";

/// A gateway process with the heap that the deployment gives it, for upstreams and
/// callers that send bytes without end, in pieces of any size.

const HEAP_MEGABYTES = 160;
/// The heap and what the process takes beside it.
const MAXIMUM_RESIDENT_BYTES = 320_000_000;
const MAXIMUM_BODY_BYTES = 4_194_304;
/// Responses or callers at the same time.
export const CALLERS = 100;
/// Time in which a sound request beside them is answered, once they have begun.
const SOUND_MILLISECONDS = 2_500;

export type Write = (UpstreamAction & { kind: "raw" })["write"];

/// One chunk of a body.
export const chunk = (text: string) =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
export const CHUNKED = "Transfer-Encoding: chunked";
export const KILOBYTES = "x".repeat(16_384);

/// Writes `text` as often as it is read until the connection closes.
export function writeEndlessly(socket: Socket, text: string) {
  const bytes = Buffer.from(text);
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(bytes)) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

/// Returns 0 for a process that has ended.
function readResidentBytes(processId: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return 1_024 * Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  } catch {
    return 0;
  }
}

/// Starts the gateway with upstreams that respond with `write`, and as they should
/// to paths that end with `sound`.
export async function deployEndless(t: ExecutionContext, write: Write) {
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
export async function checkEndless(
  t: ExecutionContext,
  { gateway, sendSound, highest }: Awaited<ReturnType<typeof deployEndless>>,
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
