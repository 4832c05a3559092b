import test, { type ExecutionContext } from "ava";
import { rankByRendezvous } from "../../src/vms/rendezvous.ts";
import {
  LIMIT_CUSTOMER,
  startLimitFleet,
} from "../../stand_ins/limit_fleet.ts";

const VMS = 9;
const LIMIT = 100;
/// Requests a second, far over the limit.
const OVERLOAD = 400;
const even = Array.from({ length: VMS }, () => 1);
const oneOnly = even.map((_, index) => index === 0 ? 1 : 0);

/// Requests admitted per second, measured after the first 5 s.
async function steadyRate(weights: readonly number[], seconds: number) {
  const fleet = startLimitFleet({ vms: VMS, requestsPerSecond: LIMIT });
  await fleet.start();
  await fleet.sendArrivals({ perSecond: OVERLOAD, weights, seconds: 5 });
  const admitted = await fleet.sendArrivals({
    perSecond: OVERLOAD,
    weights,
    seconds,
  });
  return admitted / seconds;
}

const assertNearLimit = (t: ExecutionContext, rate: number) =>
  t.true(rate > 0.9 * LIMIT && rate < 1.1 * LIMIT, `${rate} a second`);

for (const [name, weights] of [["even", even], ["skewed", oneOnly]] as const) {
  test(`${name} arrival over the limit is admitted at the limit`, async (t) => {
    assertNearLimit(t, await steadyRate(weights, 10));
  });
}

test("arrival below the limit is never refused", async (t) => {
  const fleet = startLimitFleet({ vms: VMS, requestsPerSecond: LIMIT });
  await fleet.start();
  const arrival = { perSecond: 60, weights: even, seconds: 10 };
  const admitted = await fleet.sendArrivals(arrival);
  t.is(fleet.refused(), 0);
  t.true(admitted > 500);
});

const FAILURES = [
  { name: "the owner fails", remove: [0] },
  { name: "a partition splits the VMs", cut: 4 },
];

for (const { name, remove = [], cut = 0 } of FAILURES) {
  test(`${name}: never twice the limit, and near it 5 s later`, async (t) => {
    const fleet = startLimitFleet({ vms: VMS, requestsPerSecond: LIMIT });
    await fleet.start();
    const arrival = { perSecond: OVERLOAD, weights: even, seconds: 5 };
    await fleet.sendArrivals(arrival);
    const ranked = rankByRendezvous(`limit ${LIMIT_CUSTOMER}`, fleet.names);
    for (const index of remove) fleet.remove(ranked[index]!);
    if (cut > 0) fleet.partition(ranked.slice(0, cut));
    const during = await fleet.sendArrivals(arrival);
    t.true(during < 2 * 5 * LIMIT, `${during} in 5 s`);
    const after = await fleet.sendArrivals({ ...arrival, seconds: 10 });
    t.true(after < 1.1 * 10 * LIMIT, `${after} in 10 s`);
    t.true(after > 0.8 * 10 * LIMIT, `${after} in 10 s`);
  });
}

test("VMs use an equal share until the owner is known to have failed", async (t) => {
  const fleet = startLimitFleet({ vms: VMS, requestsPerSecond: LIMIT });
  await fleet.start();
  const arrival = { perSecond: OVERLOAD, weights: even, seconds: 5 };
  await fleet.sendArrivals(arrival);
  const [owner] = rankByRendezvous(`limit ${LIMIT_CUSTOMER}`, fleet.names);
  fleet.remove(owner!);
  const admitted = await fleet.sendArrivals({ ...arrival, seconds: 3 });
  t.true(admitted > 0.6 * 3 * LIMIT, `${admitted} in 3 s`);
});

test("long requests over all VMs stay within their limit", async (t) => {
  const fleet = startLimitFleet({ vms: VMS, requestsPerSecond: LIMIT });
  await fleet.start();
  const tickets = await fleet.takeLongEverywhere();
  t.is(tickets.length, fleet.longLimit);
  await fleet.clock.advance(60_000);
  t.is((await fleet.takeLongEverywhere()).length, 0);
  tickets[0]!.release();
  await fleet.clock.advance(1_000);
  t.is((await fleet.takeLongEverywhere()).length, 1);
});

test("slots of long requests stay taken when their owner fails", async (t) => {
  const fleet = startLimitFleet({ vms: VMS, requestsPerSecond: LIMIT });
  await fleet.start();
  const [owner, ...others] = rankByRendezvous(
    `limit ${LIMIT_CUSTOMER}`,
    fleet.names,
  );
  const held = await fleet.takeLongEverywhere(others);
  t.is(held.length, fleet.longLimit);
  fleet.remove(owner!);
  await fleet.clock.advance(1_000);
  t.is((await fleet.takeLongEverywhere(others)).length, 0);
  await fleet.clock.advance(60_000);
  t.is((await fleet.takeLongEverywhere(others)).length, 0);
});

test("a customer that is not in the owner's sheet gets no grant", async (t) => {
  const fleet = startLimitFleet({
    vms: VMS,
    requestsPerSecond: LIMIT,
    sheetRevision: 0,
  });
  await fleet.start();
  const arrival = { perSecond: OVERLOAD, weights: even, seconds: 10 };
  t.true(await fleet.sendArrivals(arrival) <= LIMIT);
});
