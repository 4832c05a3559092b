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

/// Tests of long completions whose callers reconnect with their key.

const PROMPT = "word".repeat(2_000);
const ANSWER_TOKENS = 400;
const ANSWER = expectedAnswer(PROMPT, ANSWER_TOKENS);
/// Time after the start of a fleet during which it admits no long requests.
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
  readonly disconnectSignal?: AbortSignal;
  readonly key?: string | undefined;
  readonly prompt?: string;
  readonly maximumTokens?: number;
}

function send(fleet: Fleet, vm: string, options: SendOptions = {}) {
  const {
    offset: resumeOffset,
    disconnectSignal: disconnectSignal,
    prompt = PROMPT,
  } = options;
  const idempotencyKey = "key" in options ? options.key : KEY;
  const headers = { idempotencyKey, resumeOffset };
  const { maximumTokens = ANSWER_TOKENS } = options;
  const call = {
    vm,
    key: "caller-key",
    headers,
    disconnectSignal: disconnectSignal,
  };
  return fleet.complete(call, { prompt, maximumTokens });
}

const tokensOf = (text: string) => text.split(" ").length - 1;

const started = (fleet: Fleet) =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters.started,
    0,
  );

/// Sends a request whose caller disconnects after one second. Resolves to what
/// the caller has received.
async function sendAndDisconnect(
  fleet: Fleet,
  vm: string,
  key?: { key: undefined },
) {
  const gone = new AbortController();
  const answer = send(fleet, vm, { disconnectSignal: gone.signal, ...key });
  await fleet.clock.advance(1_000);
  gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
  return await fleet.clock.advanceUntil(answer);
}

interface ReconnectCase {
  readonly name: string;
  /// Sends a request and breaks it off. Resolves to what the caller has received.
  readonly disconnect: (fleet: Fleet) => Promise<FleetAnswer>;
  readonly vm: string;
  /// Time in milliseconds after which the caller reconnects.
  readonly after: number;
}

const disconnectByKill = async (fleet: Fleet) => {
  const answer = send(fleet, "vm-1");
  await fleet.clock.advance(1_000);
  fleet.kill("vm-1");
  return await fleet.clock.advanceUntil(answer);
};

const restart = async (fleet: Fleet) => {
  const answer = await disconnectByKill(fleet);
  fleet.start("vm-1");
  await fleet.clock.advance(1_000);
  return answer;
};

const disconnectByDrain = async (fleet: Fleet) => {
  const stop = new AbortController();
  const answer = send(fleet, "vm-1", { disconnectSignal: stop.signal });
  await fleet.clock.advance(1_000);
  stop.abort(new RequestError("draining", { executed: "unknown" }));
  const first = await fleet.clock.advanceUntil(answer);
  await fleet.clock.advance(1_000);
  fleet.kill("vm-1");
  return first;
};

const disconnectByCaller = (fleet: Fleet) => sendAndDisconnect(fleet, "vm-1");

const RECONNECTS: readonly ReconnectCase[] = [
  { name: "its VM failed", disconnect: disconnectByKill, vm: "vm-2", after: 0 },
  {
    name: "its VM failed long ago",
    disconnect: disconnectByKill,
    vm: "vm-3",
    after: 25e3,
  },
  {
    name: "its VM was stopped",
    disconnect: disconnectByDrain,
    vm: "vm-2",
    after: 0,
  },
  { name: "its VM restarted", disconnect: restart, vm: "vm-1", after: 0 },
  {
    name: "its connection broke",
    disconnect: disconnectByCaller,
    vm: "vm-1",
    after: 0,
  },
  {
    name: "it changed VMs",
    disconnect: disconnectByCaller,
    vm: "vm-4",
    after: 500,
  },
  {
    name: "the stream ended",
    disconnect: disconnectByCaller,
    vm: "vm-4",
    after: 20e3,
  },
];

for (const { name, disconnect, vm, after } of RECONNECTS) {
  test(`a caller resumes at its offset after ${name}`, async (t) => {
    const fleet = await startLongFleet();
    const first = await disconnect(fleet);
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

test("a caller without an offset receives the whole answer of a single run", async (t) => {
  const fleet = await startLongFleet();
  await disconnectByKill(fleet);
  const { text } = await fleet.clock.advanceUntil(send(fleet, "vm-2"));
  t.true(text === ANSWER);
  t.is(started(fleet), 1);
});

test("a second request takes over while the first still runs", async (t) => {
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

for (const outage of [1_000, 3_000]) {
  test(`a caller resumes at its offset after a store outage of ${outage} ms`, async (t) => {
    const fleet = await startLongFleet();
    const first = await disconnectByCaller(fleet);
    fleet.store.setDown(true);
    fleet.clock.schedule(outage, () => fleet.store.setDown(false));
    const second = send(fleet, "vm-2", { offset: tokensOf(first.text) });
    const { text, error } = await fleet.clock.advanceUntil(second);
    t.is(error, undefined);
    t.true(first.text + text === ANSWER);
  });
}

const ENGINE_FAILURES = [
  { offset: 0, code: undefined },
  { offset: 7, code: "upstream_lost" as const },
];

for (const { offset, code } of ENGINE_FAILURES) {
  test(`a caller with ${offset} tokens reconnects after its engine has failed`, async (t) => {
    const fleet = await startLongFleet();
    await disconnectByKill(fleet);
    const busyEngine = [...fleet.engines.values()]
      .find((engine) => engine.runningStreams() > 0)!;
    busyEngine.crash();
    const again = send(fleet, "vm-2", { offset });
    const { text, error } = await fleet.clock.advanceUntil(again);
    t.is(error?.code, code);
    t.is(error?.executed, code && "unknown");
    if (!code) t.true(text === ANSWER);
  });
}

test("a caller that missed the end resumes a finished stream", async (t) => {
  const fleet = await startLongFleet();
  await fleet.clock.advanceUntil(send(fleet, "vm-1"));
  await fleet.clock.advance(10_000);
  const offset = ANSWER_TOKENS - 5;
  const again = send(fleet, "vm-2", { offset });
  const { text, error } = await fleet.clock.advanceUntil(again);
  t.is(error, undefined);
  t.is(tokensOf(text), 5);
});

test("a stream that was taken over runs beyond the grace period", async (t) => {
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

test("a stream taken over on the same VM is still freed when the VM fails", async (t) => {
  const fleet = await startLongFleet({ listsStreams: false });
  const gone = new AbortController();
  const maximumTokens = 20_000;
  void send(fleet, "vm-1", { disconnectSignal: gone.signal, maximumTokens });
  await fleet.clock.advance(1_000);
  gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
  await fleet.clock.advance(30_000);
  void send(fleet, "vm-1", { maximumTokens });
  await fleet.clock.advance(32_000);
  fleet.kill("vm-1");
  await fleet.clock.advance(75_000);
  t.is(fleet.heldTokens(), 0);
});

test("without a key the stream ends when its caller disconnects", async (t) => {
  const fleet = await startLongFleet();
  await sendAndDisconnect(fleet, "vm-1", { key: undefined });
  await fleet.clock.settle();
  t.is(fleet.heldTokens(), 0);
});

for (const cause of ["caller", "entry"]) {
  test(`a stream whose ${cause} does not return is freed after the grace period`, async (t) => {
    const fleet = await startLongFleet();
    const gone = new AbortController();
    void send(fleet, "vm-1", {
      disconnectSignal: gone.signal,
      maximumTokens: 20_000,
    });
    await fleet.clock.advance(1_000);
    if (cause === "entry") fleet.kill("vm-1");
    else gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
    await fleet.clock.advance(50_000);
    t.true(fleet.heldTokens() > 0);
    await fleet.clock.advance(25_000);
    t.is(fleet.heldTokens(), 0);
  });
}

test("a key is not accepted for another request", async (t) => {
  const fleet = await startLongFleet();
  await disconnectByCaller(fleet);
  const other = send(fleet, "vm-2", { prompt: PROMPT + "other" });
  const { error } = await fleet.clock.advanceUntil(other);
  t.is(error?.code, "key_reused");
  t.is(error?.executed, "no");
});
