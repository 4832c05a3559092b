import test from "ava";
import { createSilentLogger } from "../../src/support/log.ts";
import type {
  EngineClient,
  LoadReport,
} from "../../src/upstreams/engine_client.ts";
import { createSharedLoadReports } from "../../src/upstreams/shared_load_reports.ts";
import { createMembership } from "../../src/vms/membership.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createLocalVmList } from "../../stand_ins/local_vm_list.ts";

const ENGINE = "engine-1";
const SECONDS = 10;

/// Time without a report after which placement doesn't use an engine.
const USABLE_MILLISECONDS = 5_000;

async function startVms(count: number, otherEngines = 0) {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, { detectionMilliseconds: 3_200 });
  const vmList = createLocalVmList(clock);
  /// VMs that can't reach the engine.
  const stuck = new Set<string>();
  const asked = new Map<string, number>();
  const received = new Map<string, LoadReport[]>();
  let version = "1";
  const names = Array.from({ length: count }, (_, index) => `vm-${index + 1}`);
  for (const vm of names) {
    const self = { vm, incarnation: `${vm}-1`, dataCentre: "muttrah" };
    const links = network.join(self);
    const log = createSilentLogger();
    const membership = createMembership({
      clock,
      log,
      self,
      vmList,
      peers: links,
    });
    const load = (): Promise<LoadReport> => {
      if (stuck.has(vm)) return Promise.reject(new Error("no way there"));
      asked.set(vm, (asked.get(vm) ?? 0) + 1);
      return Promise.resolve({
        age: 100,
        queuedTokens: 7,
        runningStreams: 1,
        freeTokens: 10,
        memoryTokens: 20,
        prefillTokensPerSecond: 1_000,
        decodeMilliseconds: 1,
        model: "text",
        version,
      });
    };
    const reports: LoadReport[] = [];
    received.set(vm, reports);
    const shared = createSharedLoadReports({ clock, links, membership });
    const ignore = { onReport: () => {}, onFailure: () => {} };
    const silent = { load: () => new Promise(() => {}) };
    for (let index = 0; index < otherEngines; index++) {
      shared.subscribe(`other-${index}`, silent as EngineClient, ignore);
    }
    shared.subscribe(
      ENGINE,
      { load } as EngineClient,
      {
        onReport: (report) => void reports.push(report),
        onFailure: () => {},
      },
    );
  }
  await clock.advance(2_000);
  const forget = () => {
    asked.clear();
    for (const reports of received.values()) reports.length = 0;
  };
  forget();
  const load = (next: string) => void (version = next);
  return { clock, network, names, asked, stuck, received, forget, load };
}

const total = (counts: ReadonlyMap<string, number>) =>
  [...counts.values()].reduce((sum, count) => sum + count, 0);

test("one VM asks an engine and all have its reports", async (t) => {
  const vms = await startVms(9);
  await vms.clock.advance(SECONDS * 1_000);
  t.is(vms.asked.size, 1);
  t.true(total(vms.asked) <= 4 * SECONDS + 1);
  for (const reports of vms.received.values()) {
    t.true(reports.length >= 4 * SECONDS - 1);
    t.like(reports.at(-1), { queuedTokens: 7, version: "1" });
    t.true(reports.at(-1)!.age < 200);
  }
  vms.load("2");
  await vms.clock.advance(1_000);
  for (const reports of vms.received.values()) {
    t.is(reports.at(-1)!.version, "2");
  }
});

test("among 660 engines another VM asks before one counts as lost", async (t) => {
  const vms = await startVms(3, 659);
  await vms.clock.advance(10_000);
  const [first] = [...vms.asked].sort(([, left], [, right]) =>
    right - left
  )[0]!;
  vms.stuck.add(first);
  vms.forget();
  await vms.clock.advance(USABLE_MILLISECONDS);
  for (const vm of vms.names.filter((name) => name !== first)) {
    t.true(vms.received.get(vm)!.length > 0, vm);
  }
});

test("another VM asks when the reports of the first stop", async (t) => {
  const vms = await startVms(3);
  await vms.clock.advance(1_000);
  const [first] = vms.asked.keys();
  vms.network.remove(first!);
  vms.asked.delete(first!);
  vms.forget();
  await vms.clock.advance(2_500);
  for (const vm of vms.names.filter((name) => name !== first)) {
    t.true(vms.received.get(vm)!.length > 0, vm);
  }
  await vms.clock.advance(10_000);
  vms.forget();
  await vms.clock.advance(SECONDS * 1_000);
  vms.asked.delete(first!);
  t.is(vms.asked.size, 1);
});
