import test from "ava";
import type { Sheet } from "../../src/contracts/sheet.ts";
import { splitSheet } from "../../src/contracts/sheet_chunks.ts";
import { startSheetCollector } from "../../src/contracts/sheet_collector.ts";
import {
  CHUNK_PREFIX,
  createSheetStore,
} from "../../src/contracts/sheet_store.ts";
import type { KeyValueStore } from "../../src/infrastructure/key_value_store.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const GRACE_MILLISECONDS = 600_000;
const KEPT_REVISIONS = 16;

const sheetOf = (longPromptTokens: number): Sheet => ({
  ...sampleSheet(),
  options: { objective: "slowdown", longPromptTokens },
});

function setUp() {
  const clock = createFakeClock();
  const memory = createMemoryStore(clock);
  const open = (store: KeyValueStore = memory.connect()) =>
    createSheetStore({ store, clock });
  const sheets = open();
  const collector = startSheetCollector({
    clock,
    random: createSeededRandom(1),
    log: createSilentLogger(),
    links: createLocalNetwork(clock).join({
      vm: "a",
      incarnation: "a-1",
      dataCentre: "muttrah",
    }),
    sheets,
  });
  const apply = (longPromptTokens: number, base: number, by = sheets) =>
    clock.advanceUntil(by.apply({
      sheet: sheetOf(longPromptTokens),
      base,
      applyId: `apply-${base}`,
      author: "a",
    }));
  const count = async () => (await sheets.listChunks("")).length;
  return { clock, memory, open, collector, apply, count };
}

test("chunks go after the grace and their revisions", async (t) => {
  const { clock, collector, apply, count } = setUp();
  for (let base = 0; base <= KEPT_REVISIONS; base++) {
    await apply(base + 1, base);
  }
  const all = await count();
  t.is(await collector.sweep(""), 0);
  await clock.advance(GRACE_MILLISECONDS);
  // The first revision's options, index and root; its background sweeps take
  // part of them as well.
  await collector.sweep("");
  t.is(await count(), all - 3);
});

test("an apply that reuses a chunk being collected keeps it", async (t) => {
  const { clock, memory, open, collector, apply } = setUp();
  for (let base = 0; base <= KEPT_REVISIONS; base++) {
    await apply(base + 1, base);
  }
  await clock.advance(GRACE_MILLISECONDS);
  // The sweep runs after the apply wrote the chunks of revision 1 again and
  // before it writes the head.
  const inner = memory.connect();
  let swept = -1;
  const sheets = open({
    ...inner,
    async transact(comparisons, operations) {
      const isHead = comparisons.length > 0;
      if (isHead && swept < 0) swept = await collector.sweep("");
      return await inner.transact(comparisons, operations);
    },
  });
  await apply(1, KEPT_REVISIONS + 1, sheets);
  t.is(swept, 3);
  for (const hash of splitSheet(sheetOf(1)).chunks.keys()) {
    t.truthy(memory.peek(CHUNK_PREFIX + hash));
  }
});
