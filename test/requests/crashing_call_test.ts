import test from "ava";
import { createKey } from "../../src/requests/idempotency_key.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Calls that crash the instances of a service that run them.

const KEY = "caller-key";
const VMS = ["vm-1", "vm-2", "vm-3"];
const INSTANCES = 8;
/// Longer than a report takes from one VM to another.
const PAUSE_MILLISECONDS = 1_000;

async function startCrashingFleet(): Promise<Fleet> {
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: 1, replicas: INSTANCES }),
    entries: VMS.length,
    seed: 7,
  });
  const desk = fleet.services.get("desk")!;
  desk.crashOn(({ method, query }) =>
    method === "POST" || query.includes("crash")
  );
  return fleet;
}

interface CallCase {
  readonly title: string;
  readonly method: "GET" | "POST";
  readonly path: string;
}

const CASES: readonly CallCase[] = [
  {
    title: "an idempotent call",
    method: "GET",
    path: "/orders/status?key=crash",
  },
  { title: "a one-time call with a new key", method: "POST", path: "/orders" },
];

for (const { title, method, path } of CASES) {
  test(`${title} that crashes services is refused by all VMs after three crashes`, async (t) => {
    const fleet = await startCrashingFleet();
    const send = async (target: { method: "GET" | "POST"; path: string }) => {
      const vm = VMS[sent % VMS.length]!;
      const idempotencyKey = createKey(
        fleet.clock.wallTime(),
        random.hex(10),
      );
      sent += 1;
      const headers = { idempotencyKey };
      const call = fleet.callService({ vm, key: KEY, headers }, {
        service: "desk",
        ...target,
      });
      const result = await fleet.clock.advanceUntil(call);
      await fleet.clock.advance(PAUSE_MILLISECONDS);
      return result;
    };
    const random = createSeededRandom(1);
    let sent = 0;
    const errors = [];
    while (sent < 6) errors.push((await send({ method, path })).error);
    t.is(fleet.services.get("desk")!.crashCount(), 3);
    t.is(errors.at(-1)?.code, "quarantined");
    t.is(errors.at(-1)?.executed, "no");
    const sound = { method: "GET", path: "/orders/status?key=sound" } as const;
    t.is((await send(sound)).answer?.status, 200);
  });
}

test("calls whose responses are lost by running services stay allowed", async (t) => {
  const fleet = await startCrashingFleet();
  const desk = fleet.services.get("desk")!;
  desk.loseAnswers(12);
  for (let count = 0; count < 4; count++) {
    const call = fleet.callService({ vm: VMS[0]!, key: KEY }, {
      service: "desk",
      method: "GET",
      path: "/orders/status?key=sound",
    });
    const { error } = await fleet.clock.advanceUntil(call);
    t.is(error?.code, "upstream_lost");
  }
  t.is(desk.crashCount(), 0);
});

test("equal calls on instances that crash at the same moment stay allowed", async (t) => {
  const fleet = await startCrashingFleet();
  const desk = fleet.services.get("desk")!;
  const send = (vm: string) =>
    fleet.callService({ vm, key: KEY }, {
      service: "desk",
      method: "GET",
      path: "/orders/status?key=sound",
    });
  desk.setDelay(100);
  desk.loseAnswers(2 * VMS.length);
  const running = Promise.all([...VMS, ...VMS].map(send));
  await fleet.clock.advance(50);
  desk.setDown(true);
  await fleet.clock.advanceUntil(running);
  desk.setDown(false);
  for (const vm of VMS) {
    const { answer } = await fleet.clock.advanceUntil(send(vm));
    t.is(answer?.status, 200);
  }
});
