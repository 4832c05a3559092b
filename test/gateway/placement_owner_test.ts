import test from "ava";
import { createFleetView } from "../../src/gateway/fleet_view.ts";
import type { Links } from "../../src/links/links.ts";
import type { PlacementQuery } from "../../src/gateway/placement_decision.ts";
import { createPlacementParts } from "../../src/gateway/placement_parts.ts";
import { createUpstreamHealth } from "../../src/gateway/upstream_health.ts";
import { createUpstreamLimits } from "../../src/upstreams/upstream_limits.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { sampleUpstream } from "../../stand_ins/platform/sample_upstream.ts";

/// Placement by the owner of a data centre, under the fake clock.

const ENGINE = {
  slots: 8,
  memoryTokens: 300_000,
  stepsPerPass: 50,
  stepMilliseconds: 1,
  stepMillisecondsPerRequest: 0.01,
  stepMillisecondsPerThousandTokens: 0.003,
  readTokensPerSecond: 200_000,
  readMillisecondsPerMillionPairs: 0.2,
};
const SHORT: PlacementQuery = {
  service: "engines",
  promptTokens: 5_000,
  outputTokens: 1_000,
  objective: 300,
  silence: 2_000,
  age: 0,
  remaining: 10_000,
  avoided: [],
  isResumed: false,
};
const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "ask",
    host: "callers.example",
    prefix: "/ask/",
    kind: "stream" as const,
    isResumable: true,
    isPublic: true,
    timeoutMilliseconds: 10_000,
    objectiveMilliseconds: 300,
    pauseMilliseconds: 250,
    silenceMilliseconds: 2_000,
    priority: 1,
    maxUpstreams: 2,
    targets: [{ service: "engines", weight: 1 }],
  }],
  services: [{ name: "engines", maxConnections: 1_000, engine: ENGINE }],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  },
};

interface FleetOptions {
  readonly vmsPerDataCentre: number;
  readonly enginesPerDataCentre: number;
  readonly dataCentres?: readonly string[];
  /// VMs of a build that knows no holds.
  readonly earlierVms?: readonly string[];
}

/// Links over which calls arrive without the field `held`.
function withoutHolds(links: Links): Links {
  return {
    ...links,
    onCall: (type, handler) =>
      links.onCall(type, (value, from) => {
        const { query, ...rest } = value as { query?: PlacementQuery };
        return handler({ ...rest, query: { ...query, held: [] } }, from);
      }),
  };
}

function createFleet(options: FleetOptions) {
  const { dataCentres = ["north"], earlierVms = [] } = options;
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, { hubsPerDataCentre: 2 });
  const join = (vm: string, dataCentre: string) => {
    const ownLinks = network.join({ vm, incarnation: "1", dataCentre });
    const links = earlierVms.includes(vm) ? withoutHolds(ownLinks) : ownLinks;
    const random = createSeededRandom(vm.length);
    const view = createFleetView(clock);
    const source = { kind: "store" as const, revision: 1 };
    view.setConfiguration(CONFIGURATION, source);
    for (const place of dataCentres) {
      for (let index = 0; index < options.enginesPerDataCentre; index++) {
        const id = `${place}-e${index}`;
        view.setUpstream(sampleUpstream(id, { dataCentre: place }), source);
      }
    }
    const log = createSilentLogger();
    const health = createUpstreamHealth({ clock, random, log, links });
    const vmCount = () => options.vmsPerDataCentre * dataCentres.length;
    const upstreamLimits = createUpstreamLimits({ clock, log, links, vmCount });
    const parts = createPlacementParts({
      clock,
      random,
      log,
      links,
      view,
      health,
      upstreamLimits,
      vmCount,
    });
    const start = (decision: { upstream: string }) =>
      parts.inFlightWork.start(decision.upstream, {
        requests: 1,
        shortRequests: 1,
        memoryTokens: 6_000,
        spans: 0,
        prefillMilliseconds: 28,
      });
    return { vm, view, health, start, ...parts };
  };
  const vms = dataCentres.flatMap((dataCentre) =>
    Array.from(
      { length: options.vmsPerDataCentre },
      (_, index) =>
        join(`${dataCentre}-${String(index).padStart(2, "0")}`, dataCentre),
    )
  );
  const place = (vm: typeof vms[number], query = SHORT) =>
    clock.advanceUntil(vm.placements.decide(query), 5_000);
  return { clock, network, vms, place };
}

test("requests that arrive together are placed with full knowledge of each other", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 10 });
  await fleet.clock.advance(1_000);
  // Forty requests fill ten engines to half of their slots.
  const decisions = await fleet.clock.advanceUntil(
    Promise.all(fleet.vms.map((vm) => vm.placements.decide(SHORT))),
  );
  const perEngine = new Map<string, number>();
  for (const decision of decisions) {
    if (decision.kind !== "placed") return t.fail(decision.reason);
    const count = (perEngine.get(decision.upstream) ?? 0) + 1;
    perEngine.set(decision.upstream, count);
  }
  const counts = [...perEngine.values()];
  t.true(Math.max(...counts) <= 5, counts.join());
});

test("a placement that is never started stops counting", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 1 });
  await fleet.clock.advance(1_000);
  const [owner, , asker] = fleet.vms;
  await fleet.place(asker!);
  t.is(owner!.inFlightWork.workAt("north-e0").requests, 1);
  await fleet.clock.advance(1_100);
  t.is(owner!.inFlightWork.workAt("north-e0").requests, 0);
  const decision = await fleet.place(asker!);
  asker!.placements.abandon(decision);
  await fleet.clock.advance(100);
  t.is(owner!.inFlightWork.workAt("north-e0").requests, 0);
});

test("started work counts at the owner until it ends", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 1 });
  await fleet.clock.advance(1_000);
  const [owner, , asker] = fleet.vms;
  const decision = await fleet.place(asker!);
  if (decision.kind !== "placed") return t.fail();
  const item = asker!.start(decision);
  await fleet.clock.advance(3_000);
  t.is(owner!.inFlightWork.workAt("north-e0").requests, 1);
  item.end();
  await fleet.clock.advance(100);
  t.is(owner!.inFlightWork.workAt("north-e0").requests, 0);
});

test("a short prompt waits at the owner for a slot, or is refused in time", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 1 });
  await fleet.clock.advance(1_000);
  const [, , asker, other] = fleet.vms;
  const items = Array.from(
    { length: 8 },
    () => other!.start({ upstream: "north-e0" }),
  );
  await fleet.clock.advance(100);
  const startedAt = fleet.clock.now();
  const refusal = await fleet.place(asker!);
  t.is(refusal.kind, "refused");
  t.true(fleet.clock.now() - startedAt <= 1_100);
  const waiting = asker!.placements.decide(SHORT);
  await fleet.clock.advance(100);
  for (const item of items.slice(0, 4)) item.end();
  const decision = await fleet.clock.advanceUntil(waiting);
  t.is(decision.kind, "placed");
});

test("a prompt that no engine can take is refused at once", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 2 });
  await fleet.clock.advance(1_000);
  const cases = [
    { ...SHORT, promptTokens: 5_000_000 },
    { ...SHORT, promptTokens: 400_000, remaining: 500 },
  ];
  for (const query of cases) {
    const startedAt = fleet.clock.now();
    const decision = await fleet.place(fleet.vms[2]!, query);
    t.is(decision.kind, "refused");
    t.true(fleet.clock.now() - startedAt <= 30);
  }
});

test("the next hub places while the owner is gone, and knows the running work", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 2 });
  await fleet.clock.advance(1_000);
  const [owner, successor, asker, other] = fleet.vms;
  other!.start({ upstream: "north-e0" });
  await fleet.clock.advance(100);
  fleet.network.remove(owner!.vm);
  await fleet.clock.advance(100);
  t.is(successor!.inFlightWork.workAt("north-e0").requests, 1);
  t.is((await fleet.place(asker!)).kind, "placed");
});

test("requests are placed within a bounded time while the owner doesn't reply", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 4 });
  await fleet.clock.advance(1_000);
  const [owner, successor, asker] = fleet.vms;
  fleet.network.setSilent(owner!.vm, true);
  const startedAt = fleet.clock.now();
  t.is((await fleet.place(asker!)).kind, "placed");
  t.true(fleet.clock.now() - startedAt <= 250);
  // The next request asks the next hub at once.
  const secondAt = fleet.clock.now();
  t.is((await fleet.place(asker!)).kind, "placed");
  t.true(fleet.clock.now() - secondAt <= 20);
  fleet.network.setSilent(successor!.vm, true);
  await fleet.clock.advance(2_000);
  t.is((await fleet.place(asker!)).kind, "placed");
});

test("an owner of a build that knows no holds places no requests at held upstreams", async (t) => {
  const fleet = createFleet({
    vmsPerDataCentre: 40,
    enginesPerDataCentre: 3,
    earlierVms: ["north-00"],
  });
  await fleet.clock.advance(1_000);
  const asker = fleet.vms[2]!;
  const delay = 1_000;
  const held = ["north-e0", "north-e1"].map((upstream) => ({
    upstream,
    delay,
  }));
  for (let request = 0; request < 4; request++) {
    const decision = await fleet.place(asker, { ...SHORT, held });
    if (decision.kind === "refused") return t.fail(decision.reason);
    t.is(decision.upstream, "north-e2");
  }
  const allHeld = [...held, { upstream: "north-e2", delay }];
  const decision = await fleet.place(asker, { ...SHORT, held: allHeld });
  t.like(decision, { kind: "refused", isAtLimit: true, retryAfter: delay });
});

test("a full data centre uses engines of another one, and counts there", async (t) => {
  const fleet = createFleet({
    vmsPerDataCentre: 20,
    enginesPerDataCentre: 1,
    dataCentres: ["north", "south"],
  });
  await fleet.clock.advance(1_000);
  const asker = fleet.vms[5]!;
  for (let count = 0; count < 8; count++) asker.start({ upstream: "north-e0" });
  await fleet.clock.advance(600);
  const decision = await fleet.place(asker);
  if (decision.kind !== "placed") return t.fail(decision.reason);
  t.is(decision.upstream, "south-e0");
  const item = asker.start(decision);
  const southOwner = fleet.vms[20]!;
  await fleet.clock.advance(1_500);
  t.is(southOwner.inFlightWork.workAt("south-e0").requests, 1);
  item.end();
  await fleet.clock.advance(200);
  t.is(southOwner.inFlightWork.workAt("south-e0").requests, 0);
});

test("an owner learns of failures and recoveries from the VMs that it places for", async (t) => {
  const fleet = createFleet({ vmsPerDataCentre: 40, enginesPerDataCentre: 1 });
  await fleet.clock.advance(1_000);
  const [owner, , asker] = fleet.vms;
  const end = (hasFailed: boolean) => {
    const item = asker!.start({ upstream: "north-e0" });
    asker!.inFlightWork.recordResult("north-e0", hasFailed);
    item.end();
  };
  for (let count = 0; count < 5; count++) end(true);
  await fleet.clock.advance(50);
  t.true(owner!.health.failureShare("north-e0") > 0.4);
  owner!.health.recordUnreachable("north-e0");
  t.true(owner!.health.isSuspended("north-e0"));
  end(false);
  await fleet.clock.advance(50);
  t.false(owner!.health.isSuspended("north-e0"));
});

for (const isKnownFirst of [false, true]) {
  const when = isKnownFirst ? "no longer" : "not yet";
  test(`a request is placed although its owner's configuration has its service ${when}`, async (t) => {
    const fleet = createFleet({
      vmsPerDataCentre: 40,
      enginesPerDataCentre: 1,
    });
    await fleet.clock.advance(1_000);
    const [owner, successor, asker] = fleet.vms;
    const service = isKnownFirst ? "engines" : "later";
    const source = { kind: "store" as const, revision: 2 };
    const services = isKnownFirst
      ? []
      : [{ ...CONFIGURATION.services[0]!, name: service }];
    const configuration = { ...CONFIGURATION, version: 2, services };
    const changed = isKnownFirst ? [owner!, successor!] : [asker!];
    for (const { view } of changed) {
      view.setConfiguration(configuration, source);
    }
    const engine = sampleUpstream("north-e0", { dataCentre: "north" });
    for (const { view } of fleet.vms) {
      view.setUpstream({ ...engine, service }, source);
    }
    const decision = await fleet.place(asker!, { ...SHORT, service });
    t.like(decision, { kind: "placed", upstream: "north-e0" });
  });
}
