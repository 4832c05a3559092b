import test from "ava";
import { createKey } from "../src/requests/idempotency_key.ts";
import { type Caller, createCaller } from "../stand_ins/caller.ts";
import { expectedAnswer } from "../stand_ins/engine_model.ts";
import {
  type ProcessDeployment,
  startProcessDeployment,
} from "../stand_ins/process_deployment.ts";
import { sampleSheet } from "../stand_ins/sample_sheet.ts";

/// Daemons as processes of their own, ended and frozen while requests run.

const API_KEY = "caller-key";
const PROMPT = "word".repeat(2_000);
const ANSWER_TOKENS = 120;
const ANSWER = expectedAnswer(PROMPT, ANSWER_TOKENS);
/// Slow enough that an answer is under way when something happens to it.
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

/// Starts a completion; resolves at its first token.
async function startAnswer(caller: Caller, headers: Record<string, string>) {
  let answer: ReturnType<Caller["complete"]> | undefined;
  const begun = new Promise<void>((resolve) => {
    answer = caller.complete({
      model: "text",
      prompt: PROMPT,
      maximumTokens: ANSWER_TOKENS,
      headers,
      onFirstToken: resolve,
    });
  });
  await Promise.race([begun, answer]);
  return { answer: answer! };
}

test.serial("a planned stop lets a running answer finish", async (t) => {
  const caller = callerAt(0);
  const { answer } = await startAnswer(caller, {});
  const stopped = deployment.daemons[0]!.stop("SIGTERM");
  const { complete, text } = await answer;
  t.true(complete);
  t.true(text === ANSWER);
  await caller.close();
  t.is(await stopped, 0);
});

test.serial("a long answer goes on at another entry after a kill", async (t) => {
  const [first, second] = [callerAt(0), callerAt(1)];
  const headers = { "idempotency-key": newKey("1") };
  const { answer } = await startAnswer(first, headers);
  await deployment.daemons[0]!.stop("SIGKILL");
  const cut = await answer;
  t.false(cut.complete);
  const offset = cut.text.split(" ").length - 1;
  const rest = await second.complete({
    model: "text",
    prompt: PROMPT,
    maximumTokens: ANSWER_TOKENS,
    headers: { ...headers, "x-resume-offset": String(offset) },
  });
  t.true(rest.complete);
  t.true(cut.text + rest.text === ANSWER);
  await Promise.all([first.close(), second.close()]);
});

for (const signal of ["SIGKILL", "SIGSTOP"] as const) {
  test.serial(`an order runs once though its entry got ${signal}`, async (t) => {
    const headers = {
      "idempotency-key": newKey("2"),
      "content-type": "application/json",
    };
    const order = { method: "POST" as const, path: "desk/orders", headers };
    const place = async (index: number) => {
      const caller = callerAt(index);
      const result = await caller.callService({ ...order, body: "{}" });
      await caller.close();
      return result;
    };
    t.is((await place(0)).status, 200);
    deployment.daemons[0]!.process.kill(signal);
    for (const index of [1, 2]) {
      const { status, problem } = await place(index);
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
