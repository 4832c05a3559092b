import test from "ava";
import { createStoreReplica } from "../../src/gateway/store_replica.ts";
import { startViewSharing } from "../../src/gateway/view_sharing.ts";
import type { WatchEvent } from "../../src/infrastructure/key_value_store.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";

/// Time after the store's acknowledgement within which the platform requires a
/// VM to apply a change.
const APPLY_DEADLINE_MILLISECONDS = 2_000;

function change(
  key: string,
  { revision, size = 100 }: { revision: number; size?: number },
): WatchEvent {
  const value = Buffer.alloc(size, `${revision}`);
  const stored = { key, value, modifiedRevision: revision, lease: "0" };
  return { kind: "put", value: stored };
}

/// Starts VMs in two data centres. A change of the store reaches the VMs that
/// follow it and that it doesn't refuse.
function startVms(count: number) {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, { detectionMilliseconds: 3_000 });
  let revision = 0;
  const vms = Array.from({ length: count }, (_, index) => {
    const vm = `vm-${String(index).padStart(2, "0")}`;
    const dataCentre = index % 2 === 0 ? "north" : "south";
    const links = network.join({ vm, incarnation: "1", dataCentre });
    const replica = createStoreReplica();
    const state = {
      vm,
      replica,
      isActive: true,
      /// Whether the store refuses this VM.
      isRefused: false,
      /// Whether this VM has detected that the store refuses it.
      isDisconnected: false,
    };
    startViewSharing({
      clock,
      random: createSeededRandom(index),
      log: createSilentLogger(),
      links,
      replica,
      isConnected: () => state.isActive && !state.isDisconnected,
      setActive: (isActive) => void (state.isActive = isActive),
      callPause: () => 0,
      onBehind: () => {},
      relisting: () => 0,
      onRelisting: () => {},
    });
    return state;
  });
  const write = (events: readonly WatchEvent[]) => {
    for (const { isActive, isRefused, replica } of vms) {
      if (!isActive || isRefused) continue;
      replica.applyChanges(events, "store");
      replica.advanceRevision(revision);
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
      vms.filter(({ replica }) => replica.revision() < revision)
        .map(({ vm }) => vm),
  };
}

test("two VMs of each data centre follow the store for the others", async (t) => {
  const fleet = startVms(20);
  fleet.change("a");
  await fleet.clock.advance(3_000);
  t.is(fleet.vms.filter(({ isActive }) => isActive).length, 4);
  for (const [key, size] of [["a", 100], ["b", 150_000]] as const) {
    fleet.change(key, size);
    await fleet.clock.advance(200);
    t.deepEqual(fleet.behind(), [], key);
  }
});

test("all VMs of a small deployment follow the store", async (t) => {
  const fleet = startVms(6);
  fleet.change("a");
  await fleet.clock.advance(3_000);
  t.true(fleet.vms.every(({ isActive }) => isActive));
});

test("VMs follow the store when its followers are disconnected from it", async (t) => {
  const fleet = startVms(20);
  fleet.change("a");
  await fleet.clock.advance(3_000);
  for (const vm of fleet.vms) {
    vm.isDisconnected = vm.isActive;
    vm.isRefused = vm.isActive;
  }
  await fleet.clock.advance(APPLY_DEADLINE_MILLISECONDS);
  t.true(fleet.vms.every(({ isActive }) => isActive));
  fleet.change("b");
  await fleet.clock.advance(200);
  t.deepEqual(fleet.behind(), []);
});

test("a VM without links follows the store itself", async (t) => {
  const fleet = startVms(20);
  fleet.change("a");
  await fleet.clock.advance(3_000);
  const isolated = fleet.vms.find(({ isActive }) => !isActive)!;
  for (const { vm } of fleet.vms) fleet.network.setCut(vm, isolated.vm, true);
  await fleet.clock.advance(APPLY_DEADLINE_MILLISECONDS);
  t.true(isolated.isActive);
});

test("peers that don't respond don't delay a large value", async (t) => {
  const fleet = startVms(20);
  fleet.change("a");
  await fleet.clock.advance(3_000);
  const waiting = fleet.vms.find(({ isActive }) => !isActive)!;
  const followers = fleet.vms.filter(({ isActive }) => isActive);
  // The calls to half of the followers get lost before the links detect it.
  for (const { vm } of followers.slice(0, 2)) {
    fleet.network.setCut(waiting.vm, vm, true);
  }
  fleet.change("b", 150_000);
  await fleet.clock.advance(APPLY_DEADLINE_MILLISECONDS);
  t.deepEqual(fleet.behind(), []);
});

test("VMs that the store refuses receive changes from other VMs", async (t) => {
  const fleet = startVms(8);
  fleet.change("a");
  await fleet.clock.advance(3_000);
  for (const vm of fleet.vms.slice(0, 3)) {
    vm.isDisconnected = true;
    vm.isRefused = true;
  }
  for (const [key, size] of [["b", 100], ["c", 150_000]] as const) {
    fleet.change(key, size);
    await fleet.clock.advance(APPLY_DEADLINE_MILLISECONDS);
    t.deepEqual(fleet.behind(), [], key);
  }
});
