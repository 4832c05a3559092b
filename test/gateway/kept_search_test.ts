import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ScriptedUpstream } from "../../stand_ins/platform/scripted_upstream.ts";

/// Streams with a single retry whose replacement needs memory of several engines.

const ENGINES = 5;
const EVENTS = 4;
/// Time that an engine takes to reserve memory.
const ORDER_MILLISECONDS = 200;
/// So many that one VM may take one.
const RETRY_ALLOWANCE = 12;

/// Sends a prompt to engines of which the first falls silent after two events.
/// `onOrder` is called when an engine is first asked for memory of the replacement;
/// it returns whether the order gets lost.
async function sendPrompt(
  t: ExecutionContext,
  onOrder: (first: Socket) => boolean,
) {
  const configuration = sampleConfiguration(1);
  for (const route of configuration.Routes) route.TimeoutMs = 12_000;
  const deployment = await startPlatformDeployment({
    configuration,
    retryAllowance: RETRY_ALLOWANCE,
  });
  t.teardown(deployment.close);
  let runs = 0;
  let first: Socket | undefined;
  for (let index = 0; index < ENGINES; index++) {
    const engine: ScriptedUpstream = await deployment.addUpstream(
      "engines",
      `e${index}`,
      ({ headers }) => {
        runs += 1;
        const from = Number(headers["last-event-id"] ?? 0) + 1;
        if (runs > 1) return { kind: "stream", from, to: EVENTS };
        return {
          kind: "raw",
          write(socket, head) {
            first = socket;
            const events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
            socket.write(
              `${head(["Content-Type: text/event-stream"])}\r\n${events}`,
            );
          },
        };
      },
      {
        firstOrderDelayMilliseconds: ORDER_MILLISECONDS,
        losesOrder: () =>
          first !== undefined && engine.orders.length === 0 && onOrder(first),
      },
    );
  }
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, ENGINES));
  const { isWhole, body } = await deployment.send({
    path: "/ask/2f",
    headers: { "X-Token-Counts": "150000,50", "X-Deadline-Ms": "12000" },
    body: "a prompt",
  });
  return { isWhole, events: body.match(/^id: /gm)?.length, runs };
}

const WHOLE = { isWhole: true, events: EVENTS, runs: 2 };

test("a stream uses the retry that it took before its silent engine reset the connection", async (t) => {
  const result = await sendPrompt(t, (first) => {
    first.resetAndDestroy();
    return false;
  });
  t.deepEqual(result, WHOLE);
});

test("a stream uses the retry that it took before an engine lost a reservation", async (t) => {
  let hasLost = false;
  const result = await sendPrompt(t, () => {
    if (hasLost) return false;
    hasLost = true;
    return true;
  });
  t.true(hasLost);
  t.deepEqual(result, WHOLE);
});
