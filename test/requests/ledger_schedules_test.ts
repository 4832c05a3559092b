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

/// Tests that no key runs twice under random schedules of requests, VM restarts
/// and faults.

const SEED = 20_261_204;
const RUNS = 500;
const ORDER = { service: "desk", method: "POST", path: "/orders" } as const;
const KEYS = 3;
const VMS = ["vm-1", "vm-2", "vm-3"];
/// Time without faults at the end of a schedule, longer than any deadline.
const RECOVERY_MILLISECONDS = 60_000;
const DEADLINE_MILLISECONDS = 20_000;

interface CallerRequest {
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
  readonly requests: Map<CallerRequest, string>;
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
  const { fleet, keys, requests } = schedule;
  if (!fleet.entries.has(vm)) return;
  const idempotencyKey = keys[value % KEYS]!;
  const startedAt = fleet.clock.now();
  const paused = schedule.paused.has(vm);
  const request: CallerRequest = {
    key: idempotencyKey,
    startedAt,
    killed: false,
    paused,
  };
  requests.set(request, vm);
  const call = { vm, key: "caller-key", headers: { idempotencyKey } };
  void fleet.callService(call, ORDER).then((result) => {
    request.result = result;
    request.endedAt = fleet.clock.now();
  });
}

function kill({ fleet, requests }: Schedule, vm: string) {
  for (const [request, at] of requests) {
    if (at === vm && !request.result) request.killed = true;
  }
  if (fleet.entries.has(vm)) fleet.kill(vm);
}

function pause({ fleet, requests, paused }: Schedule, vm: string) {
  paused.add(vm);
  for (const [request, at] of requests) {
    if (at === vm && !request.result) request.paused = true;
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

const actions = Object.keys(ACTIONS) as (keyof typeof ACTIONS)[];
const step = fastCheck.record({
  action: fastCheck.oneof(
    { weight: 1, arbitrary: fastCheck.constant("order" as const) },
    { weight: 2, arbitrary: fastCheck.constantFrom(...actions) },
  ),
  vm: fastCheck.constantFrom(...VMS),
  value: fastCheck.nat(20),
  wait: fastCheck.constantFrom(0, 1, 3, 100, 600, 3_000),
});

async function clearFaults({ fleet }: Schedule): Promise<void> {
  for (const name of VMS) {
    fleet.resume(name);
    for (const other of VMS) fleet.network.setCut(name, other, false);
  }
  fleet.store.setDown(false);
  fleet.store.setLatency(0);
  await fleet.clock.advance(RECOVERY_MILLISECONDS);
}

function findViolation(
  { fleet, keys, requests }: Schedule,
): string | undefined {
  const all = [...requests.keys()];
  for (const key of keys) {
    const runs = desk(fleet).executionCount(key);
    const own = all.filter((request) => request.key === key);
    const ended = own.filter((request) => !request.killed);
    const allNotRun = own.length === ended.length &&
      ended.every((request) => request.result?.error?.executed === "no");
    if (runs > 1) return `${runs} runs`;
    if (allNotRun && runs > 0) return "a key reported as not executed ran";
    const answered = ended.some((request) => request.result?.answer);
    if (answered && runs === 0) return "a request was answered without a run";
  }
  const exceeded = all.some(({ paused, endedAt = 0, startedAt }) =>
    !paused && endedAt - startedAt > DEADLINE_MILLISECONDS
  );
  if (exceeded) return "a request ended after its deadline";
  const unfinished = all.some((request) => !request.killed && !request.result);
  return unfinished ? "a request never ended" : undefined;
}

test("no schedule runs a key twice", async (t) => {
  let requests = 0;
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
        requests: new Map(),
        paused: new Set(),
      };
      for (const { action, vm, value, wait } of steps) {
        ACTIONS[action](schedule, vm, value);
        await fleet.clock.advance(wait);
      }
      await clearFaults(schedule);
      for (const entry of fleet.entries.values()) entry.close();
      requests += schedule.requests.size;
      runs += desk(fleet).executionCounts().size;
      answered +=
        [...schedule.requests.keys()].filter((request) =>
          request.result?.answer
        ).length;
      const violation = findViolation(schedule);
      if (violation) throw new Error(`${violation} in seed ${seed}`);
    },
  );
  t.timeout(240_000);
  await fastCheck.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
  t.log(`${requests} tries, ${answered} answered, ${runs} keys run`);
  t.pass();
});
