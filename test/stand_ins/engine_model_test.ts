import test from "ava";
import { createEngineModel } from "../../stand_ins/engine_model.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

/// How the engine model admits streams that wait for memory.

const MEMORY_TOKENS = 10_000;
const HELD_TOKENS = 9_500;

function setUp() {
  const clock = createFakeClock();
  const engine = createEngineModel({
    clock,
    name: "engine-1",
    model: "text",
    memoryTokens: MEMORY_TOKENS,
  });
  const reserve = () =>
    engine.reserve({
      id: "held",
      owner: "other",
      tokens: HELD_TOKENS,
      leaseMilliseconds: 5_000,
    });
  const call = {
    streamId: "waiting",
    attempt: 1,
    model: "text",
    prompt: { text: "a", tokens: 1_000, blocks: [] },
    maximumTokens: 1,
    priority: 10,
    context: [],
  };
  const complete = async () => {
    const chunks = engine.complete(call, new AbortController().signal);
    for await (const chunk of chunks) if (chunk.end) return true;
    return false;
  };
  return { clock, engine, reserve, complete };
}

test("a stream that waits for memory starts when a reservation is released", async (t) => {
  const { clock, engine, reserve, complete } = setUp();
  await reserve();
  const answer = complete();
  await clock.advance(1_000);
  t.is(engine.counters.prefilledTokens, 0);
  await engine.release("held");
  t.true(await clock.advanceUntil(answer, 1_000));
});

test("a stream that waits for memory starts when a reservation expires", async (t) => {
  const { clock, reserve, complete } = setUp();
  await reserve();
  t.true(await clock.advanceUntil(complete(), 6_000));
});
