import test from "ava";
import { findCrashRefusal } from "../../src/requests/crash_attribution.ts";
import { createCrashRecords } from "../../src/requests/crash_records.ts";
import { createStoredCrashes } from "../../src/requests/stored_crashes.ts";
import { readStoredCrashes } from "../../src/requests/stored_crashes_reader.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";

/// Crashes of what is refused, which the store keeps for VMs that all start again.

/// Longer than reports, store calls and the retries of a write take.
const PAUSE_MILLISECONDS = 10_000;
const CRASHES = 5;

function start() {
  const clock = createFakeClock();
  const store = createMemoryStore(clock);
  const log = createSilentLogger();
  let started = 0;
  /// Starts a VM that has links only to others in its network.
  const startVm = (network = createLocalNetwork(clock)) => {
    started += 1;
    const links = network.join({
      vm: `vm-${started}`,
      incarnation: "1",
      dataCentre: "north",
    });
    const client = store.connect();
    const records = createCrashRecords({
      clock,
      log,
      links,
      onCleared: (key) => stored.remove(key),
    });
    const stored = createStoredCrashes({ clock, log, store: client, records });
    const stop = new AbortController();
    readStoredCrashes(
      { clock, store: client, storedCrashes: stored },
      stop.signal,
    );
    /// Records a crash as a gateway does.
    const crash = (
      fingerprint: string,
      parts: readonly string[],
      id: string,
    ) => {
      void records.record({ fingerprint, parts, process: id, ran: 20 });
      const refusal = findCrashRefusal(records, { fingerprint, parts });
      if (refusal) stored.save(refusal.key);
    };
    const isRefused = (fingerprint: string, parts: readonly string[] = []) =>
      findCrashRefusal(records, { fingerprint, parts }) !== undefined;
    return { records, stored, crash, isRefused, end: () => stop.abort() };
  };
  return { clock, store, startVm };
}

interface CauseCase {
  readonly title: string;
  /// What runs on an upstream in the crash of a number.
  readonly requests: (
    crash: number,
  ) => readonly (readonly [string, readonly string[]])[];
  readonly refused: readonly [string, readonly string[]];
  readonly allowed: readonly [string, readonly string[]];
}

const CAUSES: readonly CauseCase[] = [
  {
    title: "a request",
    requests: (crash) => [["deadly", []], [`other ${crash}`, []]],
    refused: ["deadly", []],
    allowed: ["other 1", []],
  },
  {
    title: "a part of prompts",
    requests: (crash) => [
      [`r${crash}`, ["common", "deadly", `own ${crash}`]],
      [`s${crash}`, ["common", `session ${crash}`]],
    ],
    refused: ["new", ["common", "deadly", "own"]],
    allowed: ["sound", ["common", "session"]],
  },
];

// Guards against VMs that all restart at once and forget what crashes upstreams.
for (const { title, requests, refused, allowed } of CAUSES) {
  test(`${title} that crashes upstreams is refused by VMs that know it from the store alone`, async (t) => {
    const { clock, startVm } = start();
    const first = startVm();
    await clock.advance(PAUSE_MILLISECONDS);
    for (let crash = 1; crash <= CRASHES; crash++) {
      for (const [fingerprint, parts] of requests(crash)) {
        first.crash(fingerprint, parts, `upstream ${crash}`);
      }
      await clock.advance(1_000);
    }
    t.true(first.isRefused(...refused));
    first.end();
    for (let restart = 1; restart <= 3; restart++) {
      const vm = startVm();
      await clock.advance(PAUSE_MILLISECONDS);
      t.true(vm.isRefused(...refused));
      t.false(vm.isRefused(...allowed));
      vm.end();
    }
  });
}

test("a request that has completed since isn't refused by VMs that start later", async (t) => {
  const { clock, startVm } = start();
  const network = createLocalNetwork(clock);
  const first = startVm(network);
  const second = startVm(network);
  await clock.advance(PAUSE_MILLISECONDS);
  for (let crash = 1; crash <= CRASHES; crash++) {
    first.crash("lucky", [], `upstream ${crash}`);
    await clock.advance(1_000);
  }
  t.true(second.isRefused("lucky"));
  const beforeClear = startVm();
  await clock.advance(PAUSE_MILLISECONDS);
  t.is(beforeClear.records.crashesOf("lucky").length, CRASHES);
  second.records.clear("lucky");
  await clock.advance(PAUSE_MILLISECONDS);
  const later = startVm();
  await clock.advance(PAUSE_MILLISECONDS);
  t.deepEqual(later.records.crashesOf("lucky"), []);
});

test("crashes are stored once the store accepts writes again", async (t) => {
  const { clock, store, startVm } = start();
  const first = startVm();
  await clock.advance(PAUSE_MILLISECONDS);
  store.setDown(true);
  for (let crash = 1; crash <= CRASHES; crash++) {
    first.crash("deadly", [], `upstream ${crash}`);
    await clock.advance(1_000);
  }
  store.setDown(false);
  await clock.advance(PAUSE_MILLISECONDS);
  first.end();
  const later = startVm();
  await clock.advance(PAUSE_MILLISECONDS);
  t.is(later.records.crashesOf("deadly").length, CRASHES);
});

test("crashes take a write for each crash of a key that is refused, and none for others", async (t) => {
  const { clock, store, startVm } = start();
  const vm = startVm();
  await clock.advance(PAUSE_MILLISECONDS);
  const before = store.counters.writes;
  for (let crash = 1; crash <= CRASHES; crash++) {
    for (let other = 0; other < 20; other++) {
      vm.crash(`${crash}-${other}`, [`part ${crash}`], `upstream ${crash}`);
    }
    vm.crash("deadly", [], `upstream ${crash}`);
    await clock.advance(1_000);
  }
  const refusedCrashes = CRASHES - 2;
  // Each write needs a lease.
  t.true(store.counters.writes - before <= 2 * refusedCrashes);
  t.is(vm.records.crashesOf("deadly").length, CRASHES);
});
