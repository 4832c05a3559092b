import test from "ava";
import { createRetryBudget } from "../../src/gateway/retry_budget.ts";
import { createUpstreamHealth } from "../../src/gateway/upstream_health.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock, type FakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";

/// Time in which a VM's report reaches the others.
const REPORT_DELIVERY_MILLISECONDS = 10;

function joinVms(clock: FakeClock, count: number) {
  const network = createLocalNetwork(clock);
  const links = Array.from(
    { length: count },
    (_, index) =>
      network.join({
        vm: `vm-${index}`,
        incarnation: "1",
        dataCentre: "north",
      }),
  );
  return { network, links };
}

async function startHealth(count: number) {
  const clock = createFakeClock();
  const { links } = joinVms(clock, count);
  await clock.advance(100);
  const vms = links.map((each, index) =>
    createUpstreamHealth({
      clock,
      random: createSeededRandom(index),
      log: createSilentLogger(),
      links: each,
    })
  );
  const suspendedBy = () =>
    vms.filter((health) => health.isSuspended("e1")).length;
  return { clock, vms, suspendedBy };
}

test("an engine with broken responses to two VMs is suspended by all", async (t) => {
  const { clock, vms, suspendedBy } = await startHealth(30);
  vms[0]!.recordBroken("e1");
  await clock.advance(REPORT_DELIVERY_MILLISECONDS);
  t.is(suspendedBy(), 0, "a single VM may have a fault of its own");
  vms[1]!.recordBroken("e1");
  await clock.advance(REPORT_DELIVERY_MILLISECONDS);
  t.true(suspendedBy() >= 28, `${suspendedBy()}`);
});

test("an engine that fails few VMs stays in use by those that it serves", async (t) => {
  const { clock, vms } = await startHealth(30);
  const served = vms.slice(3);
  for (const health of served) health.recordResponding("e1");
  for (const health of vms.slice(0, 3)) health.recordBroken("e1");
  await clock.advance(REPORT_DELIVERY_MILLISECONDS);
  t.true(served.every((health) => !health.isSuspended("e1")));
});

test("many VMs seldom send requests to an engine that keeps failing", async (t) => {
  const { clock, vms } = await startHealth(60);
  let attempts = 0;
  for (let passed = 0; passed < 12_000; passed += 20) {
    for (const health of vms) {
      if (health.isSuspended("e1")) continue;
      health.recordSent("e1");
      health.recordBroken("e1");
      attempts += 1;
      // Another VM's next request comes after it has received the report.
      if (passed > 0) break;
    }
    await clock.advance(20);
  }
  // Every VM may send one at first, then a few VMs at each end of a suspension.
  t.true(attempts < 60 + 40, `${attempts}`);
});

test("an engine that serves again is soon used by all VMs", async (t) => {
  const { clock, vms, suspendedBy } = await startHealth(30);
  for (const health of vms.slice(0, 2)) {
    health.recordBroken("e1");
    await clock.advance(REPORT_DELIVERY_MILLISECONDS);
  }
  await clock.advance(2_100);
  for (const health of vms) {
    if (health.isSuspended("e1")) continue;
    health.recordSent("e1");
    health.recordSuccess("e1");
  }
  t.is(suspendedBy(), 0);
});

const LIMITS = { ratio: 0.2, allowance: 228, window: 10_000 };

test("a VM that has all the failures may use other VMs' unused retries", async (t) => {
  const clock = createFakeClock();
  const { links } = joinVms(clock, 76);
  const [first] = links.map((each, index) =>
    createRetryBudget({
      clock,
      random: createSeededRandom(index),
      links: each,
      limits: LIMITS,
      vmCount: () => 76,
    })
  );
  let taken = 0;
  for (let passed = 0; passed < LIMITS.window; passed += 100) {
    if (first!.take("desk")) taken += 1;
    await clock.advance(100);
  }
  t.true(taken > 2 * LIMITS.allowance / 76, `${taken}`);
  t.true(taken <= LIMITS.allowance);
});

test("all VMs together stay within the retry allowance", async (t) => {
  for (const [partitions, count] of [[1, 76], [1, 8], [2, 76]] as const) {
    const clock = createFakeClock();
    const { network, links } = joinVms(clock, count);
    await clock.advance(100);
    const partitionOf = (index: number) => index % partitions;
    for (const [left, { self }] of links.entries()) {
      for (const [right, { self: other }] of links.entries()) {
        if (partitionOf(left) !== partitionOf(right)) {
          network.setCut(self.vm, other.vm, true);
        }
      }
    }
    const budgets = links.map((each, index) =>
      createRetryBudget({
        clock,
        random: createSeededRandom(index),
        links: each,
        limits: LIMITS,
        vmCount: () => count,
      })
    );
    let taken = 0;
    for (let passed = 0; passed < LIMITS.window; passed += 50) {
      for (const budget of budgets) {
        while (budget.take("desk")) taken += 1;
      }
      await clock.advance(50);
    }
    t.true(
      taken <= LIMITS.allowance,
      `${partitions} partitions of ${count}: ${taken}`,
    );
  }
});
