import test from "ava";
import {
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ScriptedUpstream } from "../../stand_ins/platform/scripted_upstream.ts";

const ENGINES = 3;
/// Longest time that memory may be reserved without a request that uses it.
const MAXIMUM_UNUSED = 9_000;
const DEADLINE = 12_000;

/// Returns the times for which each reservation of an engine was held.
function holdTimes({ orders }: ScriptedUpstream): number[] {
  const held = new Map<unknown, { from: number; until: number }>();
  for (const { Operation, Id, HoldMs, receivedAt } of orders) {
    const now = Number(receivedAt);
    const { from = now, until = now } = held.get(Id) ?? {};
    const end = Operation === "reserve"
      ? now + Number(HoldMs)
      : Math.min(now, until);
    held.set(Id, { from, until: end });
  }
  return [...held.values()].map(({ from, until }) => until - from);
}

for (const ticketState of ["held", "used"] as const) {
  test(`memory that is ${ticketState} while the engine of its request hangs is reserved for as long as it may be`, async (t) => {
    t.timeout(30_000);
    const configuration = sampleConfiguration(1);
    for (const route of configuration.Routes) route.TimeoutMs = DEADLINE;
    const deployment = await startPlatformDeployment({ configuration });
    t.teardown(deployment.close);
    const engines: ScriptedUpstream[] = [];
    for (let index = 0; index < ENGINES; index++) {
      engines.push(
        await deployment.addUpstream(
          "engines",
          `e${index}`,
          () => ({ kind: "silence" }),
          { ticketState: () => ticketState },
        ),
      );
    }
    await until(() => deployment.isReady());
    await until(() => isConnected(deployment, ENGINES));
    // No other engine has memory for a second attempt.
    await deployment.send({
      path: "/ask/2f",
      headers: {
        "X-Token-Counts": "250000,50",
        "X-Deadline-Ms": String(DEADLINE),
      },
      body: "a prompt",
    });
    await until(() => engines.some(({ orders }) => orders.length > 0));
    const longest = Math.max(...engines.flatMap(holdTimes));
    t.is(longest > MAXIMUM_UNUSED, ticketState === "used", `${longest} ms`);
  });
}
