import test from "ava";
import fastCheck from "fast-check";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import {
  type Fleet,
  type FleetServiceAnswer,
  startFleet,
} from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Random schedules of callers, entries and faults.

const SEED = 20_261_204;
const RUNS = 500;
const ORDER = { service: "desk", method: "POST", path: "/orders" } as const;
const KEYS = 3;
const VMS = ["vm-1", "vm-2", "vm-3"];
/// Longer than any deadline, with all faults gone.
const END_MILLISECONDS = 60_000;
const DEADLINE_MILLISECONDS = 20_000;

interface Try {
  readonly key: string;
  readonly startedAt: number;
  killed: boolean;
  paused: boolean;
  endedAt?: number;
  result?: FleetServiceAnswer;
}

interface Schedule {
  readonly fleet: Fleet;
  readonly keys: readonly string[];
  readonly tries: Map<Try, string>;
  readonly paused: Set<string>;
}

const desk = (fleet: Fleet) => fleet.services.get("desk")!;

function issueKey(fleet: Fleet, vm: string): string {
  return fleet.entries.get(vm)!.handler.issueKey({
    id: "issue",
    headers: {
      keyHash: sampleSheet().customers[0]!.keyHashes[0]!,
      deadline: undefined,
      priority: undefined,
      idempotencyKey: undefined,
    },
    disconnectSignal: new AbortController().signal,
  });
}

function order(schedule: Schedule, vm: string, value: number) {
  const { fleet, keys, tries } = schedule;
  if (!fleet.entries.has(vm)) return;
  const idempotencyKey = keys[value % KEYS]!;
  const startedAt = fleet.clock.now();
  const paused = schedule.paused.has(vm);
  const made: Try = { key: idempotencyKey, startedAt, killed: false, paused };
  tries.set(made, vm);
  const call = { vm, key: "caller-key", headers: { idempotencyKey } };
  void fleet.callService(call, ORDER).then((result) => {
    made.result = result;
    made.endedAt = fleet.clock.now();
  });
}

function kill({ fleet, tries }: Schedule, vm: string) {
  for (const [made, at] of tries) {
    if (at === vm && !made.result) made.killed = true;
  }
  if (fleet.entries.has(vm)) fleet.kill(vm);
}

function pause({ fleet, tries, paused }: Schedule, vm: string) {
  paused.add(vm);
  for (const [made, at] of tries) {
    if (at === vm && !made.result) made.paused = true;
  }
  fleet.pause(vm);
}

function resume({ fleet, paused }: Schedule, vm: string) {
  paused.delete(vm);
  fleet.resume(vm);
}

function start({ fleet, paused }: Schedule, vm: string) {
  if (fleet.entries.has(vm)) return;
  paused.delete(vm);
  fleet.start(vm);
}

const ACTIONS = {
  order,
  kill,
  pause,
  resume,
  start,
  skew: ({ fleet }: Schedule, vm: string, value: number) =>
    fleet.skewClock(vm, (value - 10) * 720_000),
  cut: ({ fleet }: Schedule, vm: string, value: number) =>
    fleet.network.setCut(vm, VMS[value % VMS.length]!, value < 10),
  storeDown: ({ fleet }: Schedule) => fleet.store.setDown(true),
  storeUp: ({ fleet }: Schedule) => fleet.store.setDown(false),
  storeLatency: ({ fleet }: Schedule, _vm: string, value: number) =>
    fleet.store.setLatency([0, 50, 1_200][value % 3]!),
  loseStoreAnswers: ({ fleet }: Schedule, _vm: string, value: number) =>
    fleet.store.loseAnswers(value % 3),
  refuseWrites: ({ fleet }: Schedule, _vm: string, value: number) =>
    fleet.store.refuseWrites(value % 3),
  deskDelay: ({ fleet }: Schedule, _vm: string, value: number) =>
    desk(fleet).setDelay([0, 100, 5_000][value % 3]!),
  loseDeskAnswers: ({ fleet }: Schedule, _vm: string, value: number) =>
    desk(fleet).loseAnswers(value % 3),
  loseDeskCalls: ({ fleet }: Schedule, _vm: string, value: number) =>
    desk(fleet).loseCalls(value % 3),
  deskDown: ({ fleet }: Schedule) => desk(fleet).setDown(true),
  deskUp: ({ fleet }: Schedule) => desk(fleet).setDown(false),
};

const faults = Object.keys(ACTIONS) as (keyof typeof ACTIONS)[];
const step = fastCheck.record({
  action: fastCheck.oneof(
    { weight: 1, arbitrary: fastCheck.constant("order" as const) },
    { weight: 2, arbitrary: fastCheck.constantFrom(...faults) },
  ),
  vm: fastCheck.constantFrom(...VMS),
  value: fastCheck.nat(20),
  wait: fastCheck.constantFrom(0, 1, 3, 100, 600, 3_000),
});

async function heal({ fleet }: Schedule): Promise<void> {
  for (const name of VMS) {
    fleet.resume(name);
    for (const other of VMS) fleet.network.setCut(name, other, false);
  }
  fleet.store.setDown(false);
  fleet.store.setLatency(0);
  await fleet.clock.advance(END_MILLISECONDS);
}

function findFault({ fleet, keys, tries }: Schedule): string | undefined {
  const all = [...tries.keys()];
  for (const key of keys) {
    const runs = desk(fleet).runsOf(key);
    const own = all.filter((made) => made.key === key);
    const ended = own.filter((made) => !made.killed);
    const allNotRun = own.length === ended.length &&
      ended.every((made) => made.result?.error?.executed === "no");
    if (runs > 1) return `${runs} runs`;
    if (allNotRun && runs > 0) return "it ran though not run";
    const answered = ended.some((made) => made.result?.answer);
    if (answered && runs === 0) return "an answer without a run";
  }
  const late = all.some(({ paused, endedAt = 0, startedAt }) =>
    !paused && endedAt - startedAt > DEADLINE_MILLISECONDS
  );
  if (late) return "a try outlived its deadline";
  const open = all.some((made) => !made.killed && !made.result);
  return open ? "a try never ended" : undefined;
}

test("no schedule runs a key twice", async (t) => {
  let tries = 0;
  let runs = 0;
  let answered = 0;
  const property = fastCheck.asyncProperty(
    fastCheck.array(step, { minLength: 10, maxLength: 40 }),
    fastCheck.nat(1_000),
    async (steps, seed) => {
      const fleet = await startFleet({
        sheet: sampleSheet({ engines: 1 }),
        entries: VMS.length,
        seed,
      });
      const random = createSeededRandom(seed);
      const time = fleet.clock.wallTime();
      const keys = Array.from(
        { length: KEYS },
        (_, index) =>
          index === 0
            ? issueKey(fleet, "vm-1")
            : createKey(time, random.hex(10)),
      );
      const schedule: Schedule = {
        fleet,
        keys,
        tries: new Map(),
        paused: new Set(),
      };
      for (const { action, vm, value, wait } of steps) {
        ACTIONS[action](schedule, vm, value);
        await fleet.clock.advance(wait);
      }
      await heal(schedule);
      for (const entry of fleet.entries.values()) entry.close();
      tries += schedule.tries.size;
      runs += desk(fleet).runs().size;
      answered +=
        [...schedule.tries.keys()].filter((made) => made.result?.answer).length;
      const fault = findFault(schedule);
      if (fault) throw new Error(`${fault} in seed ${seed}`);
    },
  );
  t.timeout(240_000);
  await fastCheck.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
  t.log(`${tries} tries, ${answered} answered, ${runs} keys run`);
  t.pass();
});
