import test from "ava";
import { createStoreReplica } from "../../src/gateway/store_replica.ts";
import { startViewSharing } from "../../src/gateway/view_sharing.ts";
import type { WatchEvent } from "../../src/infrastructure/key_value_store.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";

/// Time after the store's acknowledgement from which the platform judges
/// whether a VM acts on a change.
const BOUND_MILLISECONDS = 2_000;

function change(
  key: string,
  { revision, size = 100 }: { revision: number; size?: number },
): WatchEvent {
  const value = Buffer.alloc(size, `${revision}`);
  const stored = { key, value, modifiedRevision: revision, lease: "0" };
  return { kind: "put", value: stored };
}

/// VMs in two data centres beside a store whose changes reach those that follow
/// it and that it doesn't turn away.
function startVms(count: number) {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, { detectionMilliseconds: 3_000 });
  let revision = 0;
  const vms = Array.from({ length: count }, (_, index) => {
    const vm = `vm-${String(index).padStart(2, "0")}`;
    const dataCentre = index % 2 === 0 ? "north" : "south";
    const links = network.join({ vm, incarnation: "1", dataCentre });
    const mirror = createStoreReplica();
    const state = {
      vm,
      mirror,
      isActive: true,
      isTurnedAway: false,
      /// Whether this VM knows that the store turns it away.
      isLost: false,
    };
    startViewSharing({
      clock,
      random: createSeededRandom(index),
      log: createSilentLogger(),
      links,
      mirror,
      isConnected: () => state.isActive && !state.isLost,
      setActive: (isActive) => void (state.isActive = isActive),
      callPause: () => 0,
      onBehind: () => {},
      relisting: () => 0,
      onRelisting: () => {},
    });
    return state;
  });
  const write = (events: readonly WatchEvent[]) => {
    for (const { isActive, isTurnedAway, mirror } of vms) {
      if (!isActive || isTurnedAway) continue;
      mirror.applyChanges(events, "store");
      mirror.advanceRevision(revision);
    }
  };
  return {
    clock,
    network,
    vms,
    change(key: string, size?: number) {
      revision += 1;
      write([change(key, { revision, size })]);
    },
    behind: () =>
      vms.filter(({ mirror }) => mirror.revision() < revision)
        .map(({ vm }) => vm),
  };
}

test("two VMs of each data centre follow the store for all", async (t) => {
  const world = startVms(20);
  world.change("a");
  await world.clock.advance(3_000);
  t.is(world.vms.filter(({ isActive }) => isActive).length, 4);
  for (const [key, size] of [["a", 100], ["b", 150_000]] as const) {
    world.change(key, size);
    await world.clock.advance(200);
    t.deepEqual(world.behind(), [], key);
  }
});

test("all VMs of a small deployment follow the store", async (t) => {
  const world = startVms(6);
  world.change("a");
  await world.clock.advance(3_000);
  t.true(world.vms.every(({ isActive }) => isActive));
});

test("VMs follow the store when their readers have lost it", async (t) => {
  const world = startVms(20);
  world.change("a");
  await world.clock.advance(3_000);
  for (const vm of world.vms) {
    vm.isLost = vm.isActive;
    vm.isTurnedAway = vm.isActive;
  }
  await world.clock.advance(BOUND_MILLISECONDS);
  t.true(world.vms.every(({ isActive }) => isActive));
  world.change("b");
  await world.clock.advance(200);
  t.deepEqual(world.behind(), []);
});

test("a VM without links follows the store itself", async (t) => {
  const world = startVms(20);
  world.change("a");
  await world.clock.advance(3_000);
  const alone = world.vms.find(({ isActive }) => !isActive)!;
  for (const { vm } of world.vms) world.network.setCut(vm, alone.vm, true);
  await world.clock.advance(BOUND_MILLISECONDS);
  t.true(alone.isActive);
});

test("a peer that doesn't answer doesn't delay a large value", async (t) => {
  const world = startVms(20);
  world.change("a");
  await world.clock.advance(3_000);
  const waiting = world.vms.find(({ isActive }) => !isActive)!;
  const readers = world.vms.filter(({ isActive }) => isActive);
  // Half of the readers get no question through, and nobody knows yet.
  for (const { vm } of readers.slice(0, 2)) {
    world.network.setCut(waiting.vm, vm, true);
  }
  world.change("b", 150_000);
  await world.clock.advance(BOUND_MILLISECONDS);
  t.deepEqual(world.behind(), []);
});

test("VMs that the store turns away hear of changes from others", async (t) => {
  const world = startVms(8);
  world.change("a");
  await world.clock.advance(3_000);
  for (const vm of world.vms.slice(0, 3)) {
    vm.isLost = true;
    vm.isTurnedAway = true;
  }
  for (const [key, size] of [["b", 100], ["c", 150_000]] as const) {
    world.change(key, size);
    await world.clock.advance(BOUND_MILLISECONDS);
    t.deepEqual(world.behind(), [], key);
  }
});
