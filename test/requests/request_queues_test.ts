import test from "ava";
import { createFairQueue } from "../../src/requests/fair_queue.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import {
  createRequestQueues,
  type QueueRequirements,
} from "../../src/requests/request_queues.ts";
import { createDemandMeter } from "../../src/upstreams/demand_meter.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Queues in front of the engines.

const REQUEST: QueueRequirements = {
  customer: "caller",
  weight: 1,
  model: "text",
  version: "1",
  prompt: { text: "", tokens: 1_000, blocks: [] },
  maximumTokens: 8,
  priority: 10,
  isLong: false,
};
const SIGNAL = new AbortController().signal;

function setUp(expectedMilliseconds = 0) {
  const clock = createFakeClock();
  const state = { hasCapacity: false };
  const queues = createRequestQueues({
    clock,
    engineCapacity: {
      mayStart: () => state.hasCapacity,
      expectedWait: (_, { queuedTokens }) =>
        expectedMilliseconds + queuedTokens,
    },
    demand: createDemandMeter(clock),
    vmCount: () => 2,
  });
  const refusal = (remaining: number) => {
    try {
      queues.check(REQUEST, remaining);
      return "admitted";
    } catch (error) {
      const { code, executed, retryAfterSeconds } = error as RequestError;
      return [code, executed, retryAfterSeconds! >= 1];
    }
  };
  return { clock, state, queues, refusal };
}

test("customers share a queue by weight, counted in tokens", (t) => {
  const queue = createFairQueue<
    { customer: string; weight: number; tokens: number }
  >();
  const add = (customer: string, weight: number, tokens: number) =>
    queue.push({ customer, weight, tokens });
  for (let count = 0; count < 8; count++) add("flood", 1, 1_000);
  for (let count = 0; count < 2; count++) add("small", 1, 2_000);
  for (let count = 0; count < 4; count++) add("heavy", 2, 2_000);
  const order: string[] = [];
  while (queue.size > 0) {
    const item = queue.peek()!;
    queue.serve(item);
    order.push(item.customer);
  }
  const early = order.slice(0, 7);
  const countOf = (customer: string) =>
    early.filter((name) => name === customer).length;
  t.deepEqual(["flood", "small", "heavy"].map(countOf), [3, 2, 2]);
  t.is(queue.tokens, 0);
});

test("a request expected to miss its deadline is refused at once", (t) => {
  const { refusal } = setUp(1_000);
  t.deepEqual(refusal(1_000), ["deadline_infeasible", "no", true]);
  t.is(refusal(1_300), "admitted");
});

test("queued work counts against the deadline", async (t) => {
  const { refusal, queues, clock } = setUp();
  t.is(refusal(1_500), "admitted");
  queues.enter(REQUEST, SIGNAL).catch(() => {});
  await clock.settle();
  t.deepEqual(refusal(1_500), ["deadline_infeasible", "no", true]);
});

test("a full queue refuses requests until queued ones have started", async (t) => {
  const { refusal, queues, clock, state } = setUp();
  for (let count = 0; count < 256; count++) void queues.enter(REQUEST, SIGNAL);
  await clock.settle();
  t.deepEqual(refusal(Infinity), ["queue_full", "no", true]);
  state.hasCapacity = true;
  await clock.advance(100);
  t.is(refusal(Infinity), "admitted");
});

test("a request that ends while it waits was not executed", async (t) => {
  const { clock, queues, state } = setUp();
  const deadline = new AbortController();
  const waiting = queues.enter(REQUEST, deadline.signal);
  const options = { executed: "unknown" } as const;
  deadline.abort(new RequestError("deadline_exceeded", options));
  const error = await t.throwsAsync(waiting, { instanceOf: RequestError });
  t.deepEqual([error!.code, error!.executed], ["deadline_exceeded", "no"]);
  state.hasCapacity = true;
  await clock.advance(100);
  t.is(clock.pendingTimers(), 0);
});

test("an engine prefills one long prompt at a time", async (t) => {
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: 1 }),
    entries: 2,
    seed: 1,
    entry: {
      describePrompt: (text) => ({ text, tokens: 120_000, blocks: [] }),
    },
  });
  const engine = fleet.engines.get("engine-1")!;
  const call = (vm: string) =>
    fleet.complete({ vm, key: "caller-key" }, { prompt: vm, maximumTokens: 2 });
  const first = call("vm-1");
  await fleet.clock.advance(100);
  const second = call("vm-2");
  await fleet.clock.advance(5_000);
  t.is(engine.counters.started, 1);
  const answers = await fleet.clock.advanceUntil(Promise.all([first, second]));
  t.deepEqual(answers.map(({ error }) => error), [undefined, undefined]);
  t.is(engine.counters.started, 2);
});
