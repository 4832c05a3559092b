import { once } from "node:events";
import { connect, type Socket } from "node:net";
import test from "ava";
import { createCaller } from "../../stand_ins/caller.ts";
import {
  type Deployment,
  startDeployment,
} from "../../stand_ins/deployment.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Callers whose connections break or stall, over real sockets.

const KEY = "caller-key";
/// Longer than what the sockets between engine and caller can buffer.
const ENDLESS_TOKENS = 60_000;
/// Far beyond the timeout of a test, so that no deadline ends a stream here.
const DEADLINE_MILLISECONDS = 3_600_000;
let deployment: Deployment;

test.beforeEach(async () => {
  const sheet = sampleSheet({ keys: { caller: KEY } });
  const customers = sheet.customers.map((customer) => ({
    ...customer,
    shortDeadlineMilliseconds: DEADLINE_MILLISECONDS,
  }));
  deployment = await startDeployment({
    sheet: { ...sheet, customers },
    vms: 1,
    engine: {
      memoryTokens: 200_000,
      stepMilliseconds: 1,
      retainMilliseconds: 100,
    },
  });
  await deployment.applySheet();
});

test.afterEach.always(() => deployment.close());

async function openStream(): Promise<Socket> {
  const [host, port] = deployment.daemons[0]!.callerAddress.split(":");
  const socket = connect(Number(port), host);
  const body = JSON.stringify({
    model: "text",
    prompt: "hello",
    max_tokens: ENDLESS_TOKENS,
    stream: true,
  });
  socket.write([
    "POST /v1/completions HTTP/1.1",
    "host: a",
    `authorization: Bearer ${KEY}`,
    "content-type: application/json",
    `content-length: ${body.length}`,
    "",
    body,
  ].join("\r\n"));
  await once(socket, "data");
  return socket;
}

const runningStreams = () =>
  [...deployment.engines.values()].reduce(
    (total, engine) => total + engine.runningStreams(),
    0,
  );

/// Resolves when no stream runs. The timeout of the test bounds the wait.
async function untilIdle(): Promise<void> {
  while (runningStreams() > 0) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

test.serial("a caller that disconnects cancels its stream", async (t) => {
  const socket = await openStream();
  t.is(runningStreams(), 1);
  socket.destroy();
  await untilIdle();
  const [engine] = [...deployment.engines.values()].filter(({ counters }) =>
    counters.cancelled > 0
  );
  t.is(engine?.counters.finished, 0);
  t.is(engine?.heldTokens(), 0);
});

test.serial("a caller that stops reading delays no other caller", async (t) => {
  const stalled = await openStream();
  stalled.pause();
  const caller = createCaller(deployment.daemons[0]!.callerAddress, KEY);
  for (let count = 0; count < 5; count++) {
    const answer = await caller.complete({
      model: "text",
      prompt: `question ${count}`,
      maximumTokens: 8,
    });
    t.true(answer.complete);
  }
  await caller.close();
  stalled.destroy();
  await untilIdle();
  t.is(runningStreams(), 0);
});
