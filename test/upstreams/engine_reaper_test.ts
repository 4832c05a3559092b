import test from "ava";
import { describePrompt } from "../../src/upstreams/prompt_blocks.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// What keepers free and what they leave alone.

const KEY = "caller-key";
const LONG_ANSWER_TOKENS = 2_000;
/// Takes longer than the limit below.
const FOREIGN_ANSWER_TOKENS = 5_000;
/// Time in which a listed stream without an owner is cancelled.
const LISTED_LIMIT_MILLISECONDS = 25_000;

const startSmallFleet = () =>
  startFleet({ sheet: sampleSheet({ engines: 1 }), entries: 4, seed: 1 });

type SmallFleet = Awaited<ReturnType<typeof startSmallFleet>>;

function startStream({ engines }: SmallFleet, streamId: string) {
  const call = {
    streamId,
    attempt: 1,
    model: "text",
    prompt: describePrompt("word".repeat(100)),
    maximumTokens: FOREIGN_ANSWER_TOKENS,
    priority: 0,
    context: [],
  };
  const { signal } = new AbortController();
  const stream = engines.get("engine-1")!.complete(call, signal);
  void stream[Symbol.asyncIterator]().next().catch(() => {});
}

const LISTED = [
  { name: "of a lost VM", id: "vm-9:0:request", isFreed: true },
  { name: "of an earlier run of a VM", id: "vm-2:0:request", isFreed: true },
  { name: "of another system", id: "batch-17", isFreed: false },
];

for (const { name, id, isFreed } of LISTED) {
  const verb = isFreed ? "frees" : "leaves";
  test(`the keeper ${verb} a listed stream ${name}`, async (t) => {
    const fleet = await startSmallFleet();
    startStream(fleet, id);
    await fleet.clock.advance(LISTED_LIMIT_MILLISECONDS);
    t.is(fleet.heldTokens() === 0, isFreed);
  });
}

test("the keeper frees a listed stream that its living owner let go", async (t) => {
  const fleet = await startSmallFleet();
  const { incarnation } = fleet.entries.get("vm-1")!.identity;
  startStream(fleet, `vm-1:${incarnation}:request`);
  await fleet.clock.advance(LISTED_LIMIT_MILLISECONDS);
  t.is(fleet.heldTokens(), 0);
});

test("a stream that starts after its release is cancelled", async (t) => {
  const fleet = await startSmallFleet();
  const { holdings } = fleet.entries.get("vm-1")!;
  const holding = holdings.hold("engine-1", "stream", "late");
  void holding.release({ mayStartLate: true });
  await fleet.clock.advance(1_000);
  startStream(fleet, holding.id);
  await fleet.clock.advance(10_000);
  t.is(fleet.heldTokens(), 0);
});

for (const lost of [["vm-2"], ["vm-3"], ["vm-2", "vm-4"], ["vm-2", "vm-3"]]) {
  test(`an owner cut off from ${lost.join(", ")} keeps its stream`, async (t) => {
    const fleet = await startSmallFleet();
    const completion = { prompt: "word", maximumTokens: LONG_ANSWER_TOKENS };
    const answer = fleet.complete({ vm: "vm-1", key: KEY }, completion);
    await fleet.clock.advance(1_000);
    for (const vm of lost) fleet.network.setCut(vm, "vm-1", true);
    const { text } = await fleet.clock.advanceUntil(answer);
    t.true(text === expectedAnswer("word", LONG_ANSWER_TOKENS));
  });
}
