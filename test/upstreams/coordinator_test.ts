import test, { type ExecutionContext } from "ava";
import { ORDER_TIMEOUT_MILLISECONDS } from "../../src/upstreams/coordinator.ts";
import { describePrompt } from "../../src/upstreams/prompt_blocks.ts";
import { LEASE_SECONDS } from "../../src/upstreams/coordinator_lease.ts";
import {
  EngineLostError,
  EngineRefusedError,
} from "../../src/upstreams/engine_client.ts";
import {
  type CoordinatorFleet,
  LOAD_SPACING_MILLISECONDS,
  type OrderFault,
  startCoordinatorFleet,
} from "../../stand_ins/coordinator_fleet.ts";

const LEASE_MILLISECONDS = LEASE_SECONDS * 1_000;
const STEP_MILLISECONDS = 500;
/// Time within which a fleet of four engines has to reach a new mix although an
/// order fails.
const CONVERGENCE_TIMEOUT_MILLISECONDS = 180_000;

async function startFleet(checksFencing = true) {
  const fleet = startCoordinatorFleet({ vms: 2, engines: 4, checksFencing });
  fleet.adoptShares({ 1: 1 });
  await fleet.clock.advance(30_000);
  return fleet;
}

/// Advances the clock and checks at each step that all `versions` are ready.
async function advanceWhileReady(
  t: ExecutionContext,
  fleet: CoordinatorFleet,
  options: { duration: number; versions: readonly string[] },
) {
  for (let time = 0; time < options.duration; time += STEP_MILLISECONDS) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    for (const version of options.versions) {
      if ((fleet.ready()[version] ?? 0) > 0) continue;
      t.fail(`no engine is ready with ${version}`);
    }
  }
}

test("one coordinator makes the engines load the sheet's mix", async (t) => {
  const fleet = await startFleet();
  t.is(fleet.sent.length, 0);
  fleet.adoptShares({ 1: 1, 2: 1 });
  const duration = 30_000;
  await advanceWhileReady(t, fleet, { duration, versions: ["1"] });
  t.deepEqual(fleet.ready(), { 1: 2, 2: 2 });
  t.is(fleet.sent.length, 2);
  fleet.adoptShares({ 2: 1 });
  await advanceWhileReady(t, fleet, { duration, versions: ["2"] });
  t.deepEqual(fleet.ready(), { 2: 4 });
  t.is(new Set(fleet.sent.map((order) => order.vm)).size, 1);
});

test("loads are spaced for the weight store's rate", async (t) => {
  const fleet = await startFleet();
  fleet.adoptShares({ 2: 1 });
  await fleet.clock.advance(60_000);
  const times = fleet.sent.map((order) => order.sentAt);
  t.is(times.length, 4);
  for (const [index, time] of times.slice(1).entries()) {
    t.true(time - times[index]! >= LOAD_SPACING_MILLISECONDS);
  }
});

/// Runs a long answer on an engine, so that the other engines are less busy.
async function keepBusy(fleet: CoordinatorFleet, engine: string) {
  const call = {
    streamId: "busy",
    attempt: 1,
    model: "text",
    prompt: describePrompt("hello"),
    maximumTokens: 100_000,
    priority: 0,
    context: [],
  };
  const { signal } = new AbortController();
  const answer = fleet.engines.get(engine)!.complete(call, signal);
  for await (const chunk of answer) if (chunk.end) return;
}

const once = (action: OrderFault): OrderFault => {
  let done = false;
  return (order) => {
    if (done) return order.deliver();
    done = true;
    return action(order);
  };
};

const FAULTS: Readonly<Record<string, OrderFault>> = {
  refused: () => Promise.reject(new EngineRefusedError("busy")),
  lost: () => Promise.reject(new EngineLostError("connection reset")),
  ignored: () => Promise.resolve(),
  "never answered": () => new Promise(() => {}),
  "carried out without an answer": (order) => {
    void order.deliver();
    return new Promise(() => {});
  },
};

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`an order that is ${name} is corrected`, async (t) => {
    const fleet = await startFleet();
    fleet.setFault(once(fault));
    fleet.adoptShares({ 1: 1, 2: 1 });
    const options = {
      duration: CONVERGENCE_TIMEOUT_MILLISECONDS,
      versions: ["1"],
    };
    await advanceWhileReady(t, fleet, options);
    t.deepEqual(fleet.ready(), { 1: 2, 2: 2 });
  });
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? "checks" : "ignores";
  test(`a coordinator paused during an order; engine ${kind} fencing`, async (t) => {
    const fleet = await startFleet(checksFencing);
    const { clock, engines } = fleet;
    const first = fleet.holder()!;
    fleet.setFault(once(async (order) => {
      fleet.pause(first);
      await new Promise<void>((resume) => {
        deliverLate = () => {
          resume();
          return order.deliver();
        };
      });
    }));
    let deliverLate = () => Promise.resolve();
    fleet.adoptShares({ 1: 1, 2: 1 });
    await clock.advance(5_000);
    t.is(fleet.sent.length, 1);
    const { engine, order: late } = fleet.sent[0]!;
    const versions = ["1"];
    await advanceWhileReady(t, fleet, { duration: 120_000, versions });
    const second = fleet.holder();
    t.true(second !== undefined && second !== first);
    fleet.adoptShares({ 1: 1, 3: 1 });
    await advanceWhileReady(t, fleet, { duration: 60_000, versions });
    t.deepEqual(fleet.ready(), { 1: 2, 3: 2 });
    const { counters } = engines.get(engine)!;
    t.true(counters.acceptedOrders.length > 0);
    fleet.resume(first);
    const arrival = deliverLate();
    await clock.advance(2_000);
    const outcome = await arrival.then(() => "accepted", () => "refused");
    t.is(outcome, checksFencing ? "refused" : "accepted");
    t.is(counters.refusedOrders, checksFencing ? 1 : 0);
    t.is(counters.acceptedOrders.includes(late), !checksFencing);
    await advanceWhileReady(t, fleet, { duration: 60_000, versions });
    t.deepEqual(fleet.ready(), { 1: 2, 3: 2 });
    t.is(fleet.holder(), second);
  });
}

test("a coordinator paused before it sends gives no order", async (t) => {
  const fleet = await startFleet();
  const first = fleet.holder()!;
  fleet.pause(first);
  fleet.adoptShares({ 1: 1, 2: 1 });
  await fleet.clock.advance(120_000);
  fleet.resume(first);
  await fleet.clock.advance(30_000);
  t.deepEqual(fleet.ready(), { 1: 2, 2: 2 });
  t.false(fleet.sent.some((order) => order.vm === first));
});

for (const changes of [false, true]) {
  const name = changes ? "a new coordinator" : "the coordinator";
  test(`${name} doesn't count a loading engine as ready`, async (t) => {
    const fleet = startCoordinatorFleet({
      vms: 2,
      engines: 2,
      checksFencing: true,
      loadMilliseconds: 28_000,
    });
    fleet.adoptShares({ 1: 1 });
    await fleet.clock.advance(5_000);
    fleet.adoptShares({ 2: 1 });
    const first = fleet.holder()!;
    let busy = false;
    const ready = () =>
      Object.values(fleet.ready()).reduce((sum, count) => sum + count, 0);
    for (let time = 0; time < 120_000; time += STEP_MILLISECONDS) {
      await fleet.clock.advance(STEP_MILLISECONDS);
      if (fleet.sent.length === 1 && !busy) {
        busy = true;
        if (changes) fleet.pause(first);
        void keepBusy(fleet, fleet.sent[0]!.engine);
      }
      t.true(ready() > 0);
    }
    t.deepEqual(fleet.ready(), { 2: 2 });
    t.is(fleet.holder() === first, !changes);
  });
}

test("a new coordinator gives engines that ignore fencing no orders at first", async (t) => {
  const fleet = startCoordinatorFleet({
    vms: 2,
    engines: 4,
    checksFencing: false,
  });
  fleet.adoptShares({ 1: 1, 2: 1 });
  await fleet.clock.advance(LEASE_MILLISECONDS + ORDER_TIMEOUT_MILLISECONDS);
  t.not(fleet.holder(), undefined);
  t.is(fleet.sent.length, 0);
  await fleet.clock.advance(30_000);
  t.is(fleet.sent.length, 2);
});

test("no orders are given while the store is down; the mix is reached afterwards", async (t) => {
  const fleet = await startFleet();
  fleet.store.setDown(true);
  await fleet.clock.advance(LEASE_MILLISECONDS);
  fleet.adoptShares({ 1: 1, 2: 1 });
  await fleet.clock.advance(120_000);
  t.is(fleet.holder(), undefined);
  t.is(fleet.sent.length, 0);
  fleet.store.setDown(false);
  await fleet.clock.advance(60_000);
  t.deepEqual(fleet.ready(), { 1: 2, 2: 2 });
});

test("a claim whose response is lost results in one coordinator", async (t) => {
  const fleet = startCoordinatorFleet({
    vms: 2,
    engines: 4,
    checksFencing: true,
  });
  fleet.store.loseAnswers(1);
  fleet.adoptShares({ 1: 1 });
  await fleet.clock.advance(1_000);
  t.not(fleet.holder(), undefined);
  await fleet.clock.advance(60_000);
  const holders = [...fleet.coordinators.values()].filter((coordinator) =>
    coordinator.status().fencing !== undefined
  );
  t.is(holders.length, 1);
});
