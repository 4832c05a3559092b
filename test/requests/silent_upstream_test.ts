import test from "ava";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Sound upstreams that make no progress, don't respond, or can't be reached, for
/// up to three seconds.

const CALL = { vm: "vm-1", key: "caller-key" };
const ANSWER_TOKENS = 200;
const PROMPT = "word".repeat(8_000);
const ANSWER = expectedAnswer(PROMPT, ANSWER_TOKENS);
const COMPLETION = { prompt: PROMPT, maximumTokens: ANSWER_TOKENS };
const KEY = createKey(1_750_000_000_000, "0123456789abcdef0123");
const DURATIONS_MILLISECONDS = [1_000, 3_000];
/// Within the prefill of the prompt, and within its answer.
const TIMES = {
  "before it is sent": 0,
  "before its first token": 50,
  "in the middle": 1_500,
};

interface FleetSize {
  readonly longPromptTokens?: number;
  readonly memoryTokens?: number;
}

async function start({ longPromptTokens = 100_000, memoryTokens }: FleetSize) {
  const sample = sampleSheet();
  const options = { ...sample.options, longPromptTokens };
  const sheet = { ...sample, options };
  const engine = memoryTokens === undefined ? {} : { memoryTokens };
  const fleet = await startFleet({ sheet, entries: 2, seed: 5, engine });
  await fleet.clock.advance(3_000);
  return fleet;
}

const stall = (fleet: Fleet, duration: number) =>
  fleet.engines.forEach((engine) => engine.stall(duration));

const hang = (fleet: Fleet, duration: number) => {
  stall(fleet, duration);
  fleet.engines.forEach((engine) => engine.hang(duration));
};

const partitionVms = (
  fleet: Fleet,
  vms: readonly string[],
  duration: number,
) => {
  for (const vm of vms) fleet.setPartitioned(vm, true);
  fleet.clock.schedule(duration, () => {
    for (const vm of vms) fleet.setPartitioned(vm, false);
  });
};

const partition = (fleet: Fleet, duration: number) =>
  partitionVms(fleet, [...fleet.entries.keys()], duration);

const FAULTS = {
  "makes no progress": stall,
  "doesn't respond": hang,
  "can't be reached": partition,
};

for (const [fault, cause] of Object.entries(FAULTS)) {
  for (const duration of DURATIONS_MILLISECONDS) {
    for (const [time, wait] of Object.entries(TIMES)) {
      test(`a stream whose engine ${fault} for ${duration} ms ${time} is completed`, async (t) => {
        const fleet = await start({});
        const answer = fleet.complete(CALL, COMPLETION);
        await fleet.clock.advance(wait);
        cause(fleet, duration);
        const { text, error } = await fleet.clock.advanceUntil(answer);
        t.is(error, undefined);
        t.true(text === ANSWER);
      });
    }

    test(`a caller resumes its stream while its engine ${fault} for ${duration} ms`, async (t) => {
      const fleet = await start({ longPromptTokens: 1_000 });
      const gone = new AbortController();
      const headers = { idempotencyKey: KEY };
      const disconnectSignal = gone.signal;
      const call = { ...CALL, headers, disconnectSignal };
      const first = fleet.complete(call, COMPLETION);
      await fleet.clock.advance(1_500);
      gone.abort(new RequestError("caller_gone", { executed: "unknown" }));
      const { text: begin } = await fleet.clock.advanceUntil(first);
      cause(fleet, duration);
      const resumeOffset = begin.split(" ").length - 1;
      t.true(resumeOffset > 0);
      const again = { ...CALL, headers: { ...headers, resumeOffset } };
      const second = fleet.complete({ ...again, vm: "vm-2" }, COMPLETION);
      const { text, error } = await fleet.clock.advanceUntil(second);
      t.is(error, undefined);
      t.true(begin + text === ANSWER);
    });

    for (const wait of [1_000, 4_000]) {
      test(`a prompt over several engines, of which each ${fault} for ${duration} ms after ${wait} ms, is answered`, async (t) => {
        const fleet = await start({ memoryTokens: 20_000 });
        const prompt = "word".repeat(44_000);
        const answer = fleet.complete(CALL, { ...COMPLETION, prompt });
        await fleet.clock.advance(wait);
        cause(fleet, duration);
        const { error, end } = await fleet.clock.advanceUntil(answer);
        t.is(error, undefined);
        t.is(end?.usage.completionTokens, ANSWER_TOKENS);
      });
    }
  }
}

const LOSSES = {
  "has just ended": (fleet: Fleet) => fleet.engines.get("engine-1")!.crash(),
  "was suspended": (fleet: Fleet) =>
    fleet.entries.get(CALL.vm)!.engines.recordFailure("engine-1"),
};

for (const [loss, cause] of Object.entries(LOSSES)) {
  test(`a prompt over several engines, of which one ${loss}, is answered`, async (t) => {
    const fleet = await start({ memoryTokens: 20_000 });
    cause(fleet);
    // Takes all engines, unless one has ended.
    const tokens = loss === "has just ended" ? 44_000 : 60_000;
    const prompt = "word".repeat(tokens);
    const answer = fleet.complete(CALL, { ...COMPLETION, prompt });
    const { error, end } = await fleet.clock.advanceUntil(answer);
    t.is(error, undefined);
    t.is(end?.usage.completionTokens, ANSWER_TOKENS);
  });
}

const TARGETS = {
  "an idempotent call": { method: "GET", path: "/orders/status?key=sound" },
  "a one-time call": { method: "POST", path: "/orders" },
} as const;

for (const [kind, target] of Object.entries(TARGETS)) {
  for (const duration of DURATIONS_MILLISECONDS) {
    const isIdempotent = target.method === "GET";
    const call = { ...CALL, headers: { idempotencyKey: KEY } };

    test(`${kind} whose service can't be reached for ${duration} ms is answered`, async (t) => {
      const fleet = await start({});
      partition(fleet, duration);
      const sent = fleet.callService(call, { service: "desk", ...target });
      const { answer, error } = await fleet.clock.advanceUntil(sent);
      t.is(error, undefined);
      t.is(answer?.status, 200);
    });

    test(`${kind} whose service responds after ${duration} ms is answered`, async (t) => {
      const fleet = await start({});
      fleet.services.get("desk")!.setDelay(duration);
      const sent = fleet.callService(call, { service: "desk", ...target });
      const { answer } = await fleet.clock.advanceUntil(sent);
      t.is(answer?.status, 200);
    });

    test(`${kind} whose service can't be reached for ${duration} ms after it was sent is sent again only if it may run twice`, async (t) => {
      const fleet = await start({});
      fleet.services.get("desk")!.setDelay(200);
      const sent = fleet.callService(call, { service: "desk", ...target });
      await fleet.clock.advance(100);
      partition(fleet, duration);
      const { answer, error } = await fleet.clock.advanceUntil(sent);
      t.is(answer?.status, isIdempotent ? 200 : undefined);
      t.is(error?.executed, isIdempotent ? undefined : "unknown");
    });
  }
}

test("more streams than retries are completed after their VM has lost the engines", async (t) => {
  const fleet = await start({});
  const prompts = Array.from({ length: 80 }, (_, index) => `prompt ${index}`);
  const answers = prompts.map((prompt) =>
    fleet.complete(CALL, { ...COMPLETION, prompt })
  );
  await fleet.clock.advance(5);
  partitionVms(fleet, [CALL.vm], 3_000);
  const ended = await fleet.clock.advanceUntil(Promise.all(answers));
  t.deepEqual(ended.filter(({ error }) => error), []);
});

test("a stream whose connection is lost again and again is completed", async (t) => {
  const fleet = await start({});
  const answer = fleet.complete(CALL, COMPLETION);
  await fleet.clock.advance(1_000);
  for (let losses = 0; losses < 8; losses++) {
    await fleet.clock.advance(150);
    partition(fleet, 20);
  }
  const { text, error } = await fleet.clock.advanceUntil(answer);
  t.is(error, undefined);
  t.true(text === ANSWER);
});
