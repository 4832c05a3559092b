import test from "ava";
import type { Sheet } from "../../src/contracts/sheet.ts";
import { MAXIMUM_HISTORY_ENTRIES } from "../../src/contracts/sheet_head.ts";
import {
  createSheetStore,
  SheetConflictError,
  type SheetProposal,
  SheetUndecidedError,
} from "../../src/contracts/sheet_store.ts";
import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../../src/infrastructure/key_value_store.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const sheetOf = (longPromptTokens: number): Sheet => ({
  ...sampleSheet(),
  options: { objective: "slowdown", longPromptTokens },
});

function propose(applyId: string, base: number): SheetProposal {
  return { sheet: sheetOf(base + 1), base, applyId, author: applyId };
}

function setUp(wrap: (store: KeyValueStore) => KeyValueStore = (same) => same) {
  const clock = createFakeClock();
  const memory = createMemoryStore(clock);
  const open = () => createSheetStore({ store: wrap(memory.connect()), clock });
  const sheets = open();
  const apply = async (id: string, base: number, by = sheets) => {
    const applied = by.apply(propose(id, base));
    return (await clock.advanceUntil(applied)).revision;
  };
  return { clock, memory, sheets, open, apply };
}

test("of two applies at once one wins and the other learns of it", async (t) => {
  const { clock, sheets, open } = setUp();
  const both = Promise.allSettled([
    sheets.apply(propose("one", 0)),
    open().apply(propose("two", 0)),
  ]);
  const results = await clock.advanceUntil(both);
  const won = results.filter(({ status }) => status === "fulfilled");
  t.is(won.length, 1);
  const lost = results.find(({ status }) => status === "rejected");
  const error = (lost as PromiseRejectedResult).reason as SheetConflictError;
  t.true(error instanceof SheetConflictError);
  t.is(error.currentHead.revision, 1);
});

test("a write whose answer is lost is found to be accepted", async (t) => {
  const { memory, apply, sheets } = setUp();
  await apply("first", 0);
  // The write of the chunks and that of the head.
  for (const lost of [1, 2]) {
    memory.loseAnswers(lost);
    t.is(await apply(`lost-${lost}`, lost), lost + 1);
  }
  t.is((await sheets.readHead())!.revision, 3);
});

test("a delayed write can't overtake its repetition", async (t) => {
  const delayed: (() => Promise<unknown>)[] = [];
  const { apply, sheets } = setUp((store) => ({
    ...store,
    transact(comparisons, operations) {
      const isHead = comparisons.length > 0 && delayed.length === 0;
      if (!isHead) return store.transact(comparisons, operations);
      delayed.push(() => store.transact(comparisons, operations));
      return Promise.reject(new StoreOutcomeUnknownError("slow"));
    },
  }));
  t.is(await apply("slow", 0), 1);
  t.is(await apply("next", 1), 2);
  await delayed[0]!();
  t.is((await sheets.readHead())!.applyId, "next");
});

test("an apply is undecided while the store can't be asked", async (t) => {
  const { memory, apply, open } = setUp((store) => ({
    ...store,
    async transact(comparisons, operations) {
      const result = await store.transact(comparisons, operations);
      if (comparisons.length === 0) return result;
      memory.setDown(true);
      throw new StoreOutcomeUnknownError("lost");
    },
  }));
  await t.throwsAsync(apply("mine", 0), { instanceOf: SheetUndecidedError });
  memory.setDown(false);
  t.is(await apply("mine", 0, open()), 1);
});

test("nothing written is a certain failure", async (t) => {
  const { memory, apply } = setUp();
  memory.setDown(true);
  await t.throwsAsync(apply("mine", 0), { instanceOf: StoreUnavailableError });
});

test("a repeated apply keeps its answer under later revisions", async (t) => {
  const { apply } = setUp();
  await apply("mine", 0);
  for (let base = 1; base <= MAXIMUM_HISTORY_ENTRIES; base++) {
    await apply(`later-${base}`, base);
    t.is(await apply("mine", 0), 1);
  }
  await apply("one-more", MAXIMUM_HISTORY_ENTRIES + 1);
  await t.throwsAsync(apply("mine", 0), { message: /too old to tell/ });
  await t.throwsAsync(apply("other", 5), { instanceOf: SheetConflictError });
});

test("a stale read decides nothing", async (t) => {
  const { memory, apply, open, sheets } = setUp();
  await apply("first", 0);
  memory.setStaleReads(true);
  await apply("second", 1);
  await t.throwsAsync(sheets.readHead(), { instanceOf: StoreUnavailableError });
  await t.throwsAsync(apply("third", 2, open()), {
    instanceOf: StoreUnavailableError,
  });
  memory.setStaleReads(false);
  t.is(await apply("third", 2), 3);
});
