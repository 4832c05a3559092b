import test from "ava";
import {
  chunk,
  CHUNKED,
  writeEndlessly,
} from "../../stand_ins/endless_bytes.ts";
import {
  type CallerRequest,
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";

/// Bytes without end from upstreams that a VM reaches through another one. Both
/// VMs are in this process.

const CALLERS = 30;
/// Fewer streams than the engines have slots, so that there is one for a sound one.
const STREAM_CALLERS = 4;
const MAXIMUM_GROWTH_BYTES = 64_000_000;
/// Time in which each caller gets its response: its deadline, and some.
const WITHIN_MILLISECONDS = 4_000;

const STREAM: CallerRequest = {
  path: "/ask/bad",
  headers: { "X-Token-Counts": "1460,80", "X-Model": "m" },
  body: "a prompt",
};
const ONCE: CallerRequest = { path: "/once/bad", body: "an order" };

const byteChunks = chunk("x").repeat(4_000);

type Head = Parameters<(UpstreamAction & { kind: "raw" })["write"]>[1];

interface EndlessCase {
  readonly title: string;
  readonly request: CallerRequest;
  readonly begin: (head: Head) => string;
  readonly text: string;
}

const ENDLESS: readonly EndlessCase[] = [
  {
    title: "header fields",
    request: ONCE,
    begin: (head) => head(),
    text: "a: b\r\n".repeat(1_000),
  },
  {
    title: "a body in chunks of a byte",
    request: ONCE,
    begin: (head) => `${head([CHUNKED])}\r\n`,
    text: byteChunks,
  },
  {
    title: "a body without a length",
    request: ONCE,
    begin: (head) => `${head()}\r\n`,
    text: "x".repeat(16_384),
  },
  {
    title: "an event in chunks of a byte",
    request: STREAM,
    begin: (head) =>
      `${head(["Content-Type: text/event-stream", CHUNKED])}\r\n`,
    text: byteChunks,
  },
];

for (const { title, request, begin, text } of ENDLESS) {
  test.serial(`${title} without end through another VM end soon, beside sound requests`, async (t) => {
    const deployment = await startPlatformDeployment({ gateways: 2 });
    t.teardown(deployment.close);
    const service = request === STREAM ? "engines" : "desk";
    for (const id of ["u1", "u2"]) {
      await deployment.addUpstream(
        service,
        id,
        ({ target }) =>
          target.endsWith("bad")
            ? {
              kind: "raw",
              write(socket, head) {
                socket.write(begin(head));
                writeEndlessly(socket, text);
              },
            }
            : service === "engines"
            ? { kind: "stream", to: 3 }
            : { kind: "answer", body: "done" },
      );
    }
    await until(() => isConnected(deployment, 2));
    deployment.upstreamNetworks[0]!.partition("refuse");
    const sound = { ...request, path: request.path.replace("bad", "sound") };
    await until(async () => (await deployment.send(sound)).status === 200);

    const before = process.memoryUsage().heapUsed;
    let highest = before;
    const watch = setInterval(() => {
      highest = Math.max(highest, process.memoryUsage().heapUsed);
    }, 20);
    const startedAt = performance.now();
    const callers = request === STREAM ? STREAM_CALLERS : CALLERS;
    const results = await Promise.all([
      ...Array.from({ length: callers }, () => deployment.send(request)),
      deployment.send(sound),
    ]);
    const took = performance.now() - startedAt;
    clearInterval(watch);
    const [soundResult] = results.splice(-1);
    t.deepEqual([soundResult!.status, soundResult!.isWhole], [200, true]);
    for (const { status, isWhole } of results) {
      t.false(status === 200 && isWhole);
    }
    t.true(took <= WITHIN_MILLISECONDS, `took ${took}`);
    const growth = highest - before;
    t.true(growth <= MAXIMUM_GROWTH_BYTES, `${growth} bytes`);
    t.regex(await deployment.readMetrics(), /tunnels[^\n]* [1-9]/);
  });
}

test.serial("a long response through another VM is whole", async (t) => {
  const deployment = await startPlatformDeployment({ gateways: 2 });
  t.teardown(deployment.close);
  const body = "whole ".repeat(300_000);
  await deployment.addUpstream("desk", "u1", () => ({ kind: "answer", body }));
  await until(() => isConnected(deployment, 1));
  deployment.upstreamNetworks[0]!.partition("refuse");
  const results = await Promise.all(
    Array.from({ length: 4 }, () => deployment.send(ONCE)),
  );
  for (const result of results) {
    t.deepEqual([result.status, result.isWhole], [200, true]);
    t.true(result.body === body);
  }
});
