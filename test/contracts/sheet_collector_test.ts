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

const RETENTION_MILLISECONDS = 600_000;
const RETAINED_REVISIONS = 16;

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

test("chunks are deleted once their revision is old and out of retention", async (t) => {
  const { clock, collector, apply, count } = setUp();
  for (let base = 0; base <= RETAINED_REVISIONS; base++) {
    await apply(base + 1, base);
  }
  const all = await count();
  t.is(await collector.sweep(""), 0);
  await clock.advance(RETENTION_MILLISECONDS);
  // 3 chunks are no longer referenced: options, index and root of the first
  // revision. Background sweeps may have deleted some of them before this one.
  await collector.sweep("");
  t.is(await count(), all - 3);
});

test("a chunk that an apply reuses during a sweep stays stored", async (t) => {
  const { clock, memory, open, collector, apply } = setUp();
  for (let base = 0; base <= RETAINED_REVISIONS; base++) {
    await apply(base + 1, base);
  }
  await clock.advance(RETENTION_MILLISECONDS);
  // The sweep runs after the apply has rewritten the chunks of revision 1 and
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
  await apply(1, RETAINED_REVISIONS + 1, sheets);
  t.is(swept, 3);
  for (const hash of splitSheet(sheetOf(1)).chunks.keys()) {
    t.truthy(memory.peek(CHUNK_PREFIX + hash));
  }
});
