import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { formatRefusal } from "../../stand_ins/platform/scripted_upstream.ts";
import type { LogFields, Logger } from "../../src/support/log.ts";

/// Returns a logger that keeps its lines.
function createRecordingLogger() {
  const lines: (LogFields & { readonly event: string })[] = [];
  const write = (event: string, fields: LogFields = {}) =>
    void lines.push({ event, ...fields });
  const log: Logger = { info: write, warn: write, with: () => log };
  return { lines, log };
}

test("the log tells whether a failed attempt was sent, and on which connection", async (t) => {
  const { lines, log } = createRecordingLogger();
  const deployment = await startPlatformDeployment({ log });
  t.teardown(deployment.close);
  let received = 0;
  await deployment.addUpstream("desk", "desk-1", () => ({
    kind: "answer",
    body: "done",
    // The first request's connection carries the second one too.
    strayBytes: received++ === 0 ? undefined : formatRefusal(undefined),
  }));
  await until(() => isConnected(deployment, 1));
  await deployment.send({ path: "/once/1" });
  const { status } = await deployment.send({ path: "/once/1" });
  t.is(status, 502);
  const line = lines.find(({ event }) => event === "try ended");
  t.like(line, { result: "failed", isReused: true, wasSent: true });
});
