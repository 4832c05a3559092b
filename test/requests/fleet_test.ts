import test from "ava";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const KEY = "caller-key";

test("the other VMs answer after a VM was killed", async (t) => {
  const fleet = await startFleet({ sheet: sampleSheet(), entries: 3, seed: 1 });
  const { clock } = fleet;
  const prompt = "word".repeat(1_000);
  fleet.kill("vm-1");
  const answer = await clock.advanceUntil(
    fleet.complete({ vm: "vm-2", key: KEY }, { prompt, maximumTokens: 8 }),
  );
  t.is(answer.error, undefined);
  t.is(answer.text, expectedAnswer(prompt, 8));
  await clock.settle();
  t.is(fleet.heldTokens(), 0);
});

test("an action repeated at another VM is executed once", async (t) => {
  const fleet = await startFleet({ sheet: sampleSheet(), entries: 3, seed: 1 });
  const { clock } = fleet;
  const idempotencyKey = createKey(clock.wallTime(), "0123456789abcdef0123");
  const order = { service: "desk", method: "POST", path: "/orders" } as const;
  for (const vm of ["vm-1", "vm-2"]) {
    const call = { vm, key: KEY, headers: { idempotencyKey } };
    const result = await clock.advanceUntil(fleet.callService(call, order));
    t.is(result.answer?.status, 200);
  }
  t.is(fleet.services.get("desk")!.executionCount(idempotencyKey), 1);
});
