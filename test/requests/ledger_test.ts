import test from "ava";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const KEY = "caller-key";
const ORDER = { service: "desk", method: "POST", path: "/orders" } as const;
const RANDOM = createSeededRandom(4);

const start = (entries = 3) =>
  startFleet({ sheet: sampleSheet(), entries, seed: 4 });

const newKey = ({ clock }: Fleet, age = 0) =>
  createKey(clock.wallTime() - age, RANDOM.hex(10));

const order = (fleet: Fleet, vm: string, idempotencyKey: string) =>
  fleet.callService({ vm, key: KEY, headers: { idempotencyKey } }, ORDER);

const issueKey = (fleet: Fleet, vm: string) =>
  fleet.entries.get(vm)!.handler.issueKey({
    id: "issue",
    headers: {
      keyHash: sampleSheet().customers[0]!.keyHashes[0]!,
      deadline: undefined,
      priority: undefined,
      idempotencyKey: undefined,
    },
    disconnectSignal: new AbortController().signal,
  });

const desk = (fleet: Fleet) => fleet.services.get("desk")!;

test("a duplicate waits for the request that runs on another VM", async (t) => {
  const fleet = await start();
  const key = newKey(fleet);
  desk(fleet).setDelay(5_000);
  const first = order(fleet, "vm-1", key);
  await fleet.clock.advance(1_000);
  const second = await fleet.clock.advanceUntil(order(fleet, "vm-2", key));
  t.deepEqual(second.answer, (await first).answer);
  t.is(desk(fleet).executionCount(key), 1);
});

test("the outcome of a claim stays unknown after its VM has failed", async (t) => {
  const fleet = await start();
  const key = newKey(fleet);
  desk(fleet).setDelay(5_000);
  void order(fleet, "vm-1", key);
  await fleet.clock.advance(1_000);
  fleet.kill("vm-1");
  for (const restart of [false, true]) {
    if (restart) fleet.start("vm-1");
    const { error } = await fleet.clock.advanceUntil(
      order(fleet, "vm-2", key),
    );
    t.is(error?.code, "outcome_unknown");
    t.is(error?.statusPath, "/v1/services/desk/orders/status");
  }
  t.is(desk(fleet).executionCount(key), 1);
});

test("a claim that was never sent is taken over", async (t) => {
  const fleet = await start();
  const key = newKey(fleet);
  desk(fleet).setDown(true);
  const first = await fleet.clock.advanceUntil(order(fleet, "vm-1", key));
  t.is(first.error?.executed, "no");
  desk(fleet).setDown(false);
  const second = await fleet.clock.advanceUntil(order(fleet, "vm-2", key));
  t.is(second.answer?.status, 200);
  t.is(desk(fleet).executionCount(key), 1);
});

test("nothing runs while the store is down or does not reply", async (t) => {
  const fleet = await start();
  for (const fault of ["down", "silent"]) {
    if (fault === "down") fleet.store.setDown(true);
    else fleet.store.setLatency(60_000);
    const key = newKey(fleet);
    const started = fleet.clock.now();
    const { error } = await fleet.clock.advanceUntil(
      order(fleet, "vm-1", key),
    );
    t.is(error?.code, "store_unavailable");
    t.is(error?.executed, "no");
    t.true(fleet.clock.now() - started <= 3_000);
    t.is(desk(fleet).executionCount(key), 0);
    fleet.store.setDown(false);
  }
});

const ISSUER_FAULTS = {
  "doesn't respond": (fleet: Fleet, isSilent: boolean) =>
    fleet.network.setSilent("vm-1", isSilent),
  "has no link": (fleet: Fleet, isCut: boolean) => {
    fleet.network.setCut("vm-1", "vm-2", isCut);
    fleet.network.setCut("vm-2", "vm-1", isCut);
  },
};

for (const [fault, setFault] of Object.entries(ISSUER_FAULTS)) {
  for (const duration of [1_000, 3_000]) {
    test(`a call is answered although the issuer of its key ${fault} for ${duration} ms`, async (t) => {
      const fleet = await start();
      const key = issueKey(fleet, "vm-1");
      setFault(fleet, true);
      fleet.clock.schedule(duration, () => setFault(fleet, false));
      const sent = order(fleet, "vm-2", key);
      const { answer, error } = await fleet.clock.advanceUntil(sent);
      t.is(error, undefined);
      t.is(answer?.status, 200);
      t.is(desk(fleet).executionCount(key), 1);
    });
  }
}

test("an issued key works during an outage of the store", async (t) => {
  const fleet = await start();
  const key = issueKey(fleet, "vm-1");
  const unused = issueKey(fleet, "vm-1");
  fleet.store.setDown(true);
  const writes = fleet.store.counters.writes;
  for (const vm of ["vm-2", "vm-3", "vm-1"]) {
    const { answer } = await fleet.clock.advanceUntil(order(fleet, vm, key));
    t.is(answer?.status, 200);
  }
  t.is(fleet.store.counters.writes, writes);
  t.is(desk(fleet).executionCount(key), 1);
  fleet.kill("vm-1");
  fleet.store.setDown(false);
  fleet.start("vm-1");
  await fleet.clock.advance(1_000);
  for (const vm of ["vm-1", "vm-2"]) {
    for (const unavailable of [key, unused]) {
      const { error } = await fleet.clock.advanceUntil(
        order(fleet, vm, unavailable),
      );
      t.is(error?.code, "outcome_unknown");
    }
  }
  t.is(desk(fleet).executionCount(key) + desk(fleet).executionCount(unused), 1);
});

test("keys that are too old or too far in the future never run", async (t) => {
  const fleet = await start();
  const cases = [
    { age: 86_400_000, code: "outcome_unknown" },
    { age: -120_000, code: "key_invalid" },
  ];
  for (const { age, code } of cases) {
    const key = newKey(fleet, age);
    const { error } = await fleet.clock.advanceUntil(
      order(fleet, "vm-1", key),
    );
    t.is(error?.code, code as never);
    t.is(desk(fleet).executionCount(key), 0);
  }
});
