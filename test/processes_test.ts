import test from "ava";
import { createKey } from "../src/requests/idempotency_key.ts";
import { type Caller, createCaller } from "../stand_ins/caller.ts";
import { expectedAnswer } from "../stand_ins/engine_answer.ts";
import {
  type ProcessDeployment,
  startProcessDeployment,
} from "../stand_ins/process_deployment.ts";
import { sampleSheet } from "../stand_ins/sample_sheet.ts";

/// Tests with daemons in separate processes, which are stopped, killed or paused
/// while requests run.

const API_KEY = "caller-key";
const PROMPT = "word".repeat(2_000);
const COMPLETION_TOKENS = 120;
const COMPLETION_TEXT = expectedAnswer(PROMPT, COMPLETION_TOKENS);
/// Decode is slow enough for a completion to be running when its daemon is
/// stopped or killed.
const SLOW_DECODE = { stepMilliseconds: 25 };

let deployment: ProcessDeployment;

test.beforeEach(async () => {
  const sheet = sampleSheet({ keys: { caller: API_KEY } });
  const options = { ...sheet.options, longPromptTokens: 1_000 };
  deployment = await startProcessDeployment({
    sheet: { ...sheet, options },
    vms: 3,
    engine: SLOW_DECODE,
  });
  await deployment.applySheet();
});

test.afterEach.always(() => deployment.close());

const callerAt = (index: number): Caller =>
  createCaller(deployment.daemons[index]!.callerAddress, API_KEY);

const newKey = (digit: string) => createKey(Date.now(), digit.repeat(20));

/// Starts a completion. Resolves at its first token.
async function startCompletion(
  caller: Caller,
  headers: Record<string, string>,
) {
  let completion: ReturnType<Caller["complete"]> | undefined;
  const firstToken = new Promise<void>((resolve) => {
    completion = caller.complete({
      model: "text",
      prompt: PROMPT,
      maximumTokens: COMPLETION_TOKENS,
      headers,
      onFirstToken: resolve,
    });
  });
  await Promise.race([firstToken, completion]);
  return { completion: completion! };
}

test.serial("a graceful shutdown waits for a running completion", async (t) => {
  const caller = callerAt(0);
  const { completion } = await startCompletion(caller, {});
  const stopped = deployment.daemons[0]!.stop("SIGTERM");
  const { complete, text } = await completion;
  t.true(complete);
  t.true(text === COMPLETION_TEXT);
  await caller.close();
  t.is(await stopped, 0);
});

test.serial("a long completion is resumed at another VM after its VM is killed", async (t) => {
  const [first, second] = [callerAt(0), callerAt(1)];
  const headers = { "idempotency-key": newKey("1") };
  const { completion } = await startCompletion(first, headers);
  await deployment.daemons[0]!.stop("SIGKILL");
  const interrupted = await completion;
  t.false(interrupted.complete);
  const offset = interrupted.text.split(" ").length - 1;
  const remainder = await second.complete({
    model: "text",
    prompt: PROMPT,
    maximumTokens: COMPLETION_TOKENS,
    headers: { ...headers, "x-resume-offset": String(offset) },
  });
  t.true(remainder.complete);
  t.true(interrupted.text + remainder.text === COMPLETION_TEXT);
  await Promise.all([first.close(), second.close()]);
});

for (const signal of ["SIGKILL", "SIGSTOP"] as const) {
  test.serial(`an order is executed once although its VM received ${signal}`, async (t) => {
    const headers = {
      "idempotency-key": newKey("2"),
      "content-type": "application/json",
    };
    const order = { method: "POST" as const, path: "desk/orders", headers };
    const placeOrder = async (index: number) => {
      const caller = callerAt(index);
      const result = await caller.callService({ ...order, body: "{}" });
      await caller.close();
      return result;
    };
    t.is((await placeOrder(0)).status, 200);
    deployment.daemons[0]!.process.kill(signal);
    for (const index of [1, 2]) {
      const { status, problem } = await placeOrder(index);
      t.true(status === 200 || problem?.code === "outcome_unknown");
    }
    const caller = callerAt(1);
    const { text } = await caller.callService({
      method: "GET",
      path: `desk/orders/status?key=${headers["idempotency-key"]}`,
    });
    await caller.close();
    t.regex(text, /"runs":1\b/);
  });
}
