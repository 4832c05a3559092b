import test from "ava";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import {
  type Fleet,
  type FleetAnswer,
  startFleet,
} from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Long completions whose callers come back with their key.

const PROMPT = "word".repeat(2_000);
const ANSWER_TOKENS = 400;
const ANSWER = expectedAnswer(PROMPT, ANSWER_TOKENS);
/// Time after a start in which long requests are not admitted yet.
const LIMITS_SETTLE_MILLISECONDS = 3_000;
const KEY = createKey(1_750_000_000_000, "0123456789abcdef0123");

async function startLongFleet(engine = {}) {
  const sample = sampleSheet();
  const options = { ...sample.options, longPromptTokens: 1_000 };
  const sheet = { ...sample, options };
  const fleet = await startFleet({ sheet, entries: 4, seed: 13, engine });
  await fleet.clock.advance(LIMITS_SETTLE_MILLISECONDS);
  return fleet;
}

interface SendOptions {
  readonly offset?: number;
  readonly gone?: AbortSignal;
  readonly key?: string | undefined;
  readonly prompt?: string;
  readonly maximumTokens?: number;
}

function send(fleet: Fleet, vm: string, options: SendOptions = {}) {
  const { offset: resumeOffset, gone, prompt = PROMPT } = options;
  const idempotencyKey = "key" in options ? options.key : KEY;
  const headers = { idempotencyKey, resumeOffset };
  const { maximumTokens = ANSWER_TOKENS } = options;
  const call = { vm, key: "caller-key", headers, gone };
  return fleet.complete(call, { prompt, maximumTokens });
}

const tokensOf = (text: string) => text.split(" ").length - 1;

const started = (fleet: Fleet) =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters.started,
    0,
  );

/// A caller that goes away after a second; what it has got by then.
async function sendAndLeave(
  fleet: Fleet,
  vm: string,
  key?: { key: undefined },
) {
  const gone = new AbortController();
  const answer = send(fleet, vm, { gone: gone.signal, ...key });
  await fleet.clock.advance(1_000);
  gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
  return await fleet.clock.advanceUntil(answer);
}

interface ReturnCase {
  readonly name: string;
  /// Brings about a return; resolves to what the caller has.
  readonly leave: (fleet: Fleet) => Promise<FleetAnswer>;
  readonly vm: string;
  /// Time after which the caller comes back.
  readonly after: number;
}

const leaveByKill = async (fleet: Fleet) => {
  const answer = send(fleet, "vm-1");
  await fleet.clock.advance(1_000);
  fleet.kill("vm-1");
  return await fleet.clock.advanceUntil(answer);
};

const restart = async (fleet: Fleet) => {
  const answer = await leaveByKill(fleet);
  fleet.start("vm-1");
  await fleet.clock.advance(1_000);
  return answer;
};

const leaveByChoice = (fleet: Fleet) => sendAndLeave(fleet, "vm-1");

const RETURNS: readonly ReturnCase[] = [
  { name: "its entry died", leave: leaveByKill, vm: "vm-2", after: 0 },
  {
    name: "its entry died long ago",
    leave: leaveByKill,
    vm: "vm-3",
    after: 25e3,
  },
  { name: "its entry restarted", leave: restart, vm: "vm-1", after: 0 },
  { name: "its connection broke", leave: leaveByChoice, vm: "vm-1", after: 0 },
  { name: "it changed entries", leave: leaveByChoice, vm: "vm-4", after: 500 },
  { name: "the stream ended", leave: leaveByChoice, vm: "vm-4", after: 20e3 },
];

for (const { name, leave, vm, after } of RETURNS) {
  test(`a caller resumes at its offset after ${name}`, async (t) => {
    const fleet = await startLongFleet();
    const first = await leave(fleet);
    const offset = tokensOf(first.text);
    t.true(offset > 0 && offset < ANSWER_TOKENS);
    await fleet.clock.advance(after);
    const second = send(fleet, vm, { offset });
    const { text, error } = await fleet.clock.advanceUntil(second);
    t.is(error, undefined);
    t.true(first.text + text === ANSWER);
    t.is(started(fleet), 1);
    await fleet.clock.advance(5_000);
    t.is(fleet.heldTokens(), 0);
  });
}

test("a caller that lost everything gets the whole answer of one run", async (t) => {
  const fleet = await startLongFleet();
  await leaveByKill(fleet);
  const { text } = await fleet.clock.advanceUntil(send(fleet, "vm-2"));
  t.true(text === ANSWER);
  t.is(started(fleet), 1);
});

test("a second try takes over while the first still runs", async (t) => {
  const fleet = await startLongFleet();
  const first = send(fleet, "vm-1");
  await fleet.clock.advance(1_000);
  const second = send(fleet, "vm-2");
  const cut = await fleet.clock.advanceUntil(first);
  t.is(cut.error?.executed, "unknown");
  const { text } = await fleet.clock.advanceUntil(second);
  t.true(text === ANSWER);
  t.is(started(fleet), 1);
});

const DEAD_ENGINE = [
  { offset: 0, code: undefined },
  { offset: 7, code: "upstream_lost" as const },
];

for (const { offset, code } of DEAD_ENGINE) {
  test(`a caller with ${offset} tokens comes back to a dead engine`, async (t) => {
    const fleet = await startLongFleet();
    await leaveByKill(fleet);
    const isBusy = [...fleet.engines.values()]
      .find((engine) => engine.runningStreams() > 0)!;
    isBusy.crash();
    const again = send(fleet, "vm-2", { offset });
    const { text, error } = await fleet.clock.advanceUntil(again);
    t.is(error?.code, code);
    t.is(error?.executed, code && "unknown");
    if (!code) t.true(text === ANSWER);
  });
}

test("a caller that lost the end comes back for it", async (t) => {
  const fleet = await startLongFleet();
  await fleet.clock.advanceUntil(send(fleet, "vm-1"));
  await fleet.clock.advance(10_000);
  const offset = ANSWER_TOKENS - 5;
  const again = send(fleet, "vm-2", { offset });
  const { text, error } = await fleet.clock.advanceUntil(again);
  t.is(error, undefined);
  t.is(tokensOf(text), 5);
});

test("a stream that was taken over outlives the grace", async (t) => {
  const fleet = await startLongFleet();
  const maximumTokens = 10_000;
  void send(fleet, "vm-1", { maximumTokens });
  await fleet.clock.advance(1_000);
  fleet.kill("vm-1");
  await fleet.clock.advance(30_000);
  const again = send(fleet, "vm-2", { maximumTokens });
  const { text } = await fleet.clock.advanceUntil(again);
  t.true(text === expectedAnswer(PROMPT, maximumTokens));
  t.is(started(fleet), 1);
});

test("a stream taken over on the same entry stays announced", async (t) => {
  const fleet = await startLongFleet({ listsStreams: false });
  const gone = new AbortController();
  const maximumTokens = 20_000;
  void send(fleet, "vm-1", { gone: gone.signal, maximumTokens });
  await fleet.clock.advance(1_000);
  gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
  await fleet.clock.advance(30_000);
  void send(fleet, "vm-1", { maximumTokens });
  await fleet.clock.advance(32_000);
  fleet.kill("vm-1");
  await fleet.clock.advance(75_000);
  t.is(fleet.heldTokens(), 0);
});

test("without a key the stream ends with its caller", async (t) => {
  const fleet = await startLongFleet();
  await sendAndLeave(fleet, "vm-1", { key: undefined });
  await fleet.clock.settle();
  t.is(fleet.heldTokens(), 0);
});

for (const cause of ["caller", "entry"]) {
  test(`a stream whose ${cause} stays away is freed in time`, async (t) => {
    const fleet = await startLongFleet();
    const gone = new AbortController();
    void send(fleet, "vm-1", { gone: gone.signal, maximumTokens: 20_000 });
    await fleet.clock.advance(1_000);
    if (cause === "entry") fleet.kill("vm-1");
    else gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
    await fleet.clock.advance(50_000);
    t.true(fleet.heldTokens() > 0);
    await fleet.clock.advance(25_000);
    t.is(fleet.heldTokens(), 0);
  });
}

test("a key is not taken for another request", async (t) => {
  const fleet = await startLongFleet();
  await leaveByChoice(fleet);
  const other = send(fleet, "vm-2", { prompt: PROMPT + "other" });
  const { error } = await fleet.clock.advanceUntil(other);
  t.is(error?.code, "key_reused");
  t.is(error?.executed, "no");
});
