import test from "ava";
import { createContractBook } from "../../src/contracts/contract_book.ts";
import { enginePriority } from "../../src/requests/engine_priority.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createEngineDirectory } from "../../src/upstreams/engine_directory.ts";
import { startLoadDigests } from "../../src/upstreams/load_digest.ts";
import {
  expectedFirstToken,
  ShortestWaitPlacement,
} from "../../src/upstreams/placement.ts";
import { createPrefillTracker } from "../../src/upstreams/prefill_tracker.ts";
import { createEngineModel } from "../../stand_ins/engine_model.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// What VMs know of engines and how they choose among them.

const DIGEST_MILLISECONDS = 50;

async function setUp() {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const models = new Map(["engine-1", "engine-2"].map((name) => [
    name,
    createEngineModel({ clock, name, model: "text" }),
  ]));
  const join = (vm: string) => {
    const links = network.join({ vm, incarnation: vm, dataCentre: "a" });
    const book = createContractBook();
    book.adopt({ revision: 1, sheet: sampleSheet({ engines: 2 }) });
    const prefills = createPrefillTracker();
    startLoadDigests({ clock, links, prefills });
    return createEngineDirectory({
      clock,
      book,
      prefills,
      createClient: ({ name }) => models.get(name)!,
    });
  };
  const first = join("vm-1");
  const second = join("vm-2");
  await clock.advance(300);
  return { clock, network, first, second, join };
}

const question = (priority: number, tokens = 1_000) => ({
  prompt: { text: "", tokens, blocks: [] },
  maximumTokens: 8,
  isLong: false,
  priority,
});

test("a send counts at the other VM until its prefill ends", async (t) => {
  const { clock, first, second } = await setUp();
  const wait = () => expectedFirstToken(second.find("engine-1")!, question(10));
  const idle = wait();
  const send = first.recordSend("engine-1", 50_000, { priority: 10 });
  await clock.advance(DIGEST_MILLISECONDS);
  t.true(wait() > idle + 1_000);
  send.prefillEnded();
  await clock.advance(DIGEST_MILLISECONDS);
  t.is(wait(), idle);
});

test("a VM that is gone no longer counts, a new one learns of all", async (t) => {
  const { clock, network, first, second, join } = await setUp();
  first.recordSend("engine-1", 50_000, { priority: 10, isLong: true });
  await clock.advance(DIGEST_MILLISECONDS);
  const third = join("vm-3");
  await clock.advance(DIGEST_MILLISECONDS);
  const longAt = (engines: typeof third) =>
    engines.find("engine-1")!.prefills.reduce((sum, { long }) => sum + long, 0);
  t.deepEqual([longAt(second), longAt(third)], [1, 1]);
  network.remove("vm-1");
  t.deepEqual([longAt(second), longAt(third)], [0, 0]);
});

test("less urgent prefills don't count for a more urgent prompt", async (t) => {
  const { first } = await setUp();
  const placement = new ShortestWaitPlacement(createSeededRandom(1));
  first.recordSend("engine-1", 300_000, { priority: 15, isLong: true });
  first.recordSend("engine-2", 4_000, { priority: 10 });
  const candidates = first.all();
  const choose = (priority: number) =>
    placement.choose({ ...question(priority), candidates })!.upstream.name;
  t.is(choose(10), "engine-1");
  t.is(choose(15), "engine-2");
});

test("priority by length follows the sheet's objective", (t) => {
  const cases = [
    ["slowdown", 4_000, 10],
    ["slowdown", 8_000, 11],
    ["slowdown", 90_000, 14],
    ["slowdown", 100_000, 15],
    ["timeToFirstToken", 4_000, 10],
    ["timeToFirstToken", 90_000, 11],
    ["timeToFirstToken", 900_000, 11],
  ] as const;
  for (const [objective, tokens, expected] of cases) {
    const given = { objective, tokens, level: 1, longPromptTokens: 100_000 };
    const question = { ...given, ordersByLength: true };
    t.is(enginePriority(question), expected, `${objective} ${tokens}`);
  }
});
