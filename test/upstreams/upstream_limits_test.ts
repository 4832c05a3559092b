import test from "ava";
import { createSilentLogger } from "../../src/support/log.ts";
import { createUpstreamLimits } from "../../src/upstreams/upstream_limits.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";

/// Permits for requests to upstreams that state a limit.

const WINDOW_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 20;
const UPSTREAM = "u1";

const allowedInWindow = (limit: number) =>
  1.5 * limit * WINDOW_MILLISECONDS / 1_000 + 5;

interface FleetOptions {
  readonly vms: number;
  readonly limit: number;
}

interface SendOptions {
  readonly isRunning?: (index: number) => boolean;
  readonly upstream?: string;
}

async function startFleet({ vms: count, limit }: FleetOptions) {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, { detectionMilliseconds: 500 });
  const join = (index: number) => {
    const links = network.join({
      vm: `vm-${index}`,
      incarnation: String(clock.now()),
      dataCentre: "north",
    });
    return createUpstreamLimits({
      clock,
      log: createSilentLogger(),
      links,
      vmCount: () => count,
    });
  };
  const vms = Array.from({ length: count }, (_, index) => join(index));
  await clock.advance(600);
  const sent: number[] = [];
  /// Sends as many requests as the permits allow; each VM that runs wants one in
  /// each step.
  const sendFor = async (
    duration: number,
    { isRunning = () => true, upstream = UPSTREAM }: SendOptions = {},
  ) => {
    for (let passed = 0; passed < duration; passed += STEP_MILLISECONDS) {
      for (const [index, limits] of vms.entries()) {
        if (!isRunning(index) || limits.delayOf(upstream) > 0) continue;
        void limits.take(upstream).then((isGranted) => {
          if (isGranted) sent.push(clock.now());
        });
      }
      await clock.advance(STEP_MILLISECONDS);
    }
  };
  const most = () =>
    Math.max(
      0,
      ...sent.map((start) =>
        sent.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS)
          .length
      ),
    );
  vms[0]!.record(UPSTREAM, { limit, sentAt: clock.now() });
  await clock.advance(STEP_MILLISECONDS);
  return { clock, network, vms, join, sent, sendFor, most };
}

for (
  const { vms, limit } of [
    { vms: 1, limit: 1 },
    { vms: 7, limit: 1 },
    { vms: 7, limit: 0.3 },
    { vms: 7, limit: 25 },
    { vms: 76, limit: 1.6 },
    { vms: 360, limit: 2 },
  ]
) {
  test(`${vms} VMs together get ${limit} permits a second`, async (t) => {
    const fleet = await startFleet({ vms, limit });
    const seconds = 12;
    await fleet.sendFor(seconds * 1_000);
    t.true(fleet.most() <= allowedInWindow(limit), `${fleet.most()}`);
    t.true(fleet.sent.length >= 0.7 * (limit * seconds - 1));
  });
}

test("urgent requests get permits before others, within the limit", async (t) => {
  for (const limit of [1, 5]) {
    const fleet = await startFleet({ vms: 7, limit });
    const { clock, vms } = fleet;
    let granted = 0;
    for (let second = 0; second < 12; second++) {
      await fleet.sendFor(1_000);
      if (await clock.advanceUntil(vms[second % 7]!.take(UPSTREAM, true))) {
        granted += 1;
        fleet.sent.push(clock.now());
      }
    }
    t.true(granted >= 11, `${granted} of 12 at ${limit} a second`);
    t.true(fleet.most() <= allowedInWindow(limit), `${fleet.most()}`);
  }
});

test("the owner of a limit may stop, restart or be cut off", async (t) => {
  for (const limit of [1, 5]) {
    for (let owner = 0; owner < 7; owner++) {
      const fleet = await startFleet({ vms: 7, limit });
      const { network, sendFor } = fleet;
      await sendFor(3_000);
      network.remove(`vm-${owner}`);
      await sendFor(3_000, { isRunning: (index) => index !== owner });
      const before = fleet.sent.length;
      fleet.vms[owner] = fleet.join(owner);
      await sendFor(4_000);
      t.true(fleet.sent.length > before, "the permits go on");
      for (let other = 0; other < 7; other++) {
        if (other === owner) continue;
        network.setCut(`vm-${owner}`, `vm-${other}`, true);
        network.setCut(`vm-${other}`, `vm-${owner}`, true);
      }
      await sendFor(6_000);
      const most = fleet.most();
      t.true(most <= allowedInWindow(limit), `${owner}: ${most}`);
    }
  }
});

test("parts of a network partition together stay within a limit", async (t) => {
  const limit = 4;
  const fleet = await startFleet({ vms: 8, limit });
  for (let left = 0; left < 8; left++) {
    for (let right = 0; right < 8; right++) {
      if (left % 2 === right % 2) continue;
      fleet.network.setCut(`vm-${left}`, `vm-${right}`, true);
    }
  }
  await fleet.sendFor(10_000);
  t.true(fleet.most() <= allowedInWindow(limit), `${fleet.most()}`);
});

test("a VM that joins learns of the limits", async (t) => {
  const fleet = await startFleet({ vms: 3, limit: 1 });
  fleet.network.remove("vm-1");
  await fleet.clock.advance(600);
  const joined = fleet.join(1);
  t.is(joined.count(), 0);
  await fleet.clock.advance(600);
  t.is(joined.count(), 1);
});

test("VMs of a build that knows no limits don't keep permits from the others", async (t) => {
  const limit = 5;
  const seconds = 12;
  const withEarlierVms = 3;
  const fleet = await startFleet({ vms: 4, limit });
  for (let index = 0; index < withEarlierVms; index++) {
    fleet.network.join({
      vm: `earlier-${index}`,
      incarnation: "1",
      dataCentre: "north",
    });
  }
  for (let upstream = 0; upstream < 8; upstream++) {
    fleet.vms[0]!.record(`u${upstream}`, { limit, sentAt: fleet.clock.now() });
  }
  await fleet.clock.advance(600);
  for (let upstream = 0; upstream < 8; upstream++) {
    fleet.sent.length = 0;
    await fleet.sendFor(seconds * 1_000, { upstream: `u${upstream}` });
    t.true(fleet.most() <= allowedInWindow(limit), `${fleet.most()}`);
    t.true(fleet.sent.length >= 0.7 * (limit * seconds - 1));
  }
});

interface EndCase {
  readonly title: string;
  readonly sentBefore: boolean;
  readonly isLimited: boolean;
}

const END_CASES: readonly EndCase[] = [
  {
    title: "a response to a later request that states no limit ends it",
    sentBefore: false,
    isLimited: false,
  },
  {
    title: "a response to an earlier request that states no limit doesn't",
    sentBefore: true,
    isLimited: true,
  },
];

for (const { title, sentBefore, isLimited } of END_CASES) {
  test(`${title} for all VMs`, async (t) => {
    const { clock, vms } = await startFleet({ vms: 3, limit: 1 });
    const sentAt = sentBefore ? clock.now() - 200 : clock.now();
    vms[2]!.record(UPSTREAM, { limit: undefined, sentAt });
    await clock.advance(50);
    t.deepEqual(
      vms.map((limits) => limits.isLimited(UPSTREAM)),
      vms.map(() => isLimited),
    );
  });
}
