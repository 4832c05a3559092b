import test from "ava";
import { createContractBook } from "../../src/contracts/contract_book.ts";
import { startSheetFollower } from "../../src/contracts/sheet_follower.ts";
import { createNextHead } from "../../src/contracts/sheet_head.ts";
import {
  ChunksCall,
  HeadCall,
  RevisionMessage,
} from "../../src/contracts/sheet_messages.ts";
import { createSheetStore } from "../../src/contracts/sheet_store.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";
import type { Sheet } from "../../src/contracts/sheet.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// An accepted sheet comes into force everywhere and never goes back.

const EVERYWHERE_MILLISECONDS = 7_000;
const DATA_CENTRES = ["muttrah", "seeb", "qurum"];
const VMS = 9;

const sheetOf = (longPromptTokens: number): Sheet => ({
  ...sampleSheet(),
  options: { objective: "slowdown", longPromptTokens },
});

const start = () =>
  startFleet({
    sheet: sampleSheet(),
    entries: VMS,
    seed: 3,
    dataCentres: DATA_CENTRES,
  });

async function apply(fleet: Fleet, base: number, vm = "vm-1") {
  const entry = fleet.entries.get(vm)!;
  const proposal = {
    sheet: sheetOf(base + 1),
    base,
    applyId: `apply-${base}`,
    author: "operator",
  };
  const applied = await fleet.clock.advanceUntil(entry.sheets.apply(proposal));
  return { applied, entry };
}

const revisionOf = (fleet: Fleet, vm: string) =>
  fleet.entries.get(vm)!.book.current().revision;

const revisionsOf = (fleet: Fleet) =>
  [...fleet.entries.keys()].map((vm) => revisionOf(fleet, vm));

/// Cuts or restores every way between a VM and the others.
function isolate(fleet: Fleet, vm: string, cut: boolean) {
  for (const other of fleet.entries.keys()) {
    if (other === vm) continue;
    fleet.network.setCut(vm, other, cut);
    fleet.network.setCut(other, vm, cut);
  }
}

interface Fault {
  readonly prepare?: (fleet: Fleet) => void;
  /// Runs right after the head was written, before anyone hears of it.
  readonly cause?: (fleet: Fleet) => void;
}

const FAULTS: Readonly<Record<string, Fault>> = {
  "no fault": {},
  "a store outage after acceptance": {
    cause: (fleet) => fleet.store.setDown(true),
  },
  "stale reads of the store": {
    prepare: (fleet) => fleet.store.setStaleReads(true),
  },
  "a VM that no link reaches": {
    cause: (fleet) => isolate(fleet, "vm-5", true),
  },
  "one-way links to a VM": {
    cause: (fleet) => {
      for (const vm of fleet.entries.keys()) {
        if (vm !== "vm-5") fleet.network.setCut(vm, "vm-5", true);
      }
    },
  },
};

for (const [name, { prepare, cause }] of Object.entries(FAULTS)) {
  test(`in force everywhere in time with ${name}`, async (t) => {
    const fleet = await start();
    prepare?.(fleet);
    const { entry, applied } = await apply(fleet, 1);
    cause?.(fleet);
    void entry.follower.accept(applied);
    await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
    t.deepEqual(revisionsOf(fleet), Array(VMS).fill(2));
  });
}

test("in force everywhere though the accepting VM dies", async (t) => {
  const fleet = await start();
  await apply(fleet, 1);
  fleet.kill("vm-1");
  await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
  t.deepEqual(revisionsOf(fleet), Array(VMS - 1).fill(2));
});

// One of the three does not watch the store, so that only peers can tell it.
for (const vm of ["vm-2", "vm-5", "vm-8"]) {
  test(`a healed partition leaves ${vm} not behind`, async (t) => {
    const fleet = await start();
    isolate(fleet, vm, true);
    const { entry, applied } = await apply(fleet, 1);
    fleet.store.setDown(true);
    await fleet.clock.advanceUntil(entry.follower.accept(applied));
    await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
    isolate(fleet, vm, false);
    await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
    t.deepEqual(revisionsOf(fleet), Array(VMS).fill(2));
  });
}

test("no VM ever goes back, and a sheet changes whole", async (t) => {
  const fleet = await start();
  const { clock } = fleet;
  const seen = new Map<string, number>();
  const watch = () => {
    for (const [vm, entry] of fleet.entries) {
      const { revision, options } = entry.book.current();
      t.true(revision >= (seen.get(vm) ?? 0));
      if (revision > 1) t.is(options.longPromptTokens, revision);
      seen.set(vm, revision);
    }
    clock.schedule(10, watch);
  };
  watch();
  for (let base = 1; base <= 4; base++) {
    // Reads show the sheet before this apply until they recover.
    fleet.store.setStaleReads(true);
    const { entry, applied } = await apply(fleet, base, `vm-${base}`);
    void entry.follower.accept(applied);
    await clock.advance(2_500);
    fleet.store.setStaleReads(false);
    isolate(fleet, `vm-${base + 4}`, base % 2 === 1);
  }
  await clock.advance(2 * EVERYWHERE_MILLISECONDS);
  t.deepEqual(revisionsOf(fleet), Array(VMS).fill(5));
});

test("a starting VM takes the peers' sheet during a store outage", async (t) => {
  const fleet = await start();
  fleet.kill("vm-4");
  const { entry, applied } = await apply(fleet, 1);
  await fleet.clock.advanceUntil(entry.follower.accept(applied));
  fleet.store.setDown(true);
  const started = fleet.start("vm-4");
  t.false(started.isReady());
  await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
  t.true(started.isReady());
  t.is(revisionOf(fleet, "vm-4"), 2);
});

test("a starting VM believes the greatest head that it can hear of", async (t) => {
  const fleet = await start();
  fleet.store.setStaleReads(true);
  const { entry, applied } = await apply(fleet, 1);
  await fleet.clock.advanceUntil(entry.follower.accept(applied));
  fleet.kill("vm-4");
  const started = fleet.start("vm-4");
  while (!started.isReady()) {
    t.true(fleet.clock.now() < 60_000);
    await fleet.clock.advance(10);
  }
  t.is(revisionOf(fleet, "vm-4"), 2);
});

test("a starting VM is not ready without store and peers", async (t) => {
  const fleet = await start();
  fleet.store.setDown(true);
  for (const vm of [...fleet.entries.keys()]) fleet.kill(vm);
  const [first, second] = [fleet.start("vm-1"), fleet.start("vm-2")];
  await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
  t.false(first.isReady() || second.isReady());
  fleet.store.setDown(false);
  await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
  t.true(first.isReady() && second.isReady());
  t.deepEqual(revisionsOf(fleet), [1, 1]);
});

/// A follower at VM `a` and the links of a peer that the test plays.
function followAlone() {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const joinAs = (vm: string) =>
    network.join({ vm, incarnation: vm, dataCentre: "muttrah" });
  const memory = createMemoryStore(clock);
  const book = createContractBook();
  const open = () => createSheetStore({ store: memory.connect(), clock });
  const follower = startSheetFollower({
    clock,
    random: createSeededRandom(1),
    log: createSilentLogger(),
    links: joinAs("a"),
    sheets: open(),
    book,
  });
  return { clock, memory, book, follower, sheets: open(), peer: joinAs("b") };
}

test("of a burst of messages the last one counts", async (t) => {
  const { clock, memory, follower, peer } = followAlone();
  memory.setDown(true);
  const head = createNextHead(undefined, {
    root: "none",
    applyId: "apply-1",
    author: "b",
    time: 0,
  });
  peer.onCall(HeadCall, () => Promise.resolve({ head }));
  for (const newest of [0, 1]) {
    peer.send("a", RevisionMessage, { newest, inForce: 0 });
  }
  await clock.advance(100);
  t.is(follower.newest()?.revision, 1);
  follower.close();
});

test("chunks that are not what their hash says are not taken", async (t) => {
  const { clock, book, follower, sheets, peer } = followAlone();
  const sheet = sheetOf(5);
  let answers = 0;
  peer.onCall(ChunksCall, ({ hashes }) => {
    answers++;
    const bytes = Buffer.from("[]");
    return Promise.resolve({ chunks: hashes.map((hash) => ({ hash, bytes })) });
  });
  peer.send("a", RevisionMessage, { newest: 0, inForce: 1 });
  await clock.advance(100);
  await clock.advanceUntil(
    sheets.apply({ sheet, base: 0, applyId: "apply-1", author: "b" }),
  );
  await clock.advance(EVERYWHERE_MILLISECONDS);
  t.true(answers > 0);
  t.deepEqual(book.current().sheet, sheet);
  follower.close();
});

test("two VMs of each data centre watch the store", async (t) => {
  const fleet = await start();
  const watchers = 2 * DATA_CENTRES.length;
  // Every VM may watch for a moment until it knows its peers.
  t.true(fleet.store.counters.watches <= watchers + VMS);
  const before = fleet.store.counters.watches;
  fleet.store.setDown(true);
  await fleet.clock.advance(100);
  fleet.store.setDown(false);
  await fleet.clock.advance(EVERYWHERE_MILLISECONDS);
  t.is(fleet.store.counters.watches - before, watchers);
});
