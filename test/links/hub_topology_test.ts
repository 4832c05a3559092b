import { Type } from "@sinclair/typebox";
import test from "ava";
import { HubTopology, rankHubs } from "../../src/links/hub_topology.ts";
import { defineCall, defineMessage } from "../../src/links/message.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { startMeshes, waitForPeers } from "./mesh_network.ts";

const Double = defineCall("test.double", {
  request: Type.Number(),
  reply: Type.Number(),
});
const Greeting = defineMessage("test.greeting", Type.String());

const DATA_CENTRES = ["north", "south", "west"];
const locations = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    dataCentre: DATA_CENTRES[index % 3]!,
    capacity: index < 9 ? 1.35 : 0.324,
  }));

test("larger VMs are hubs before smaller ones", (t) => {
  const vms = locations(60);
  const ranking = rankHubs("south", vms);
  t.is(ranking.length, 20);
  t.deepEqual([...ranking.slice(0, 3)].sort(), ["vm-1", "vm-4", "vm-7"]);
  t.deepEqual(rankHubs("south", [...vms].reverse()), ranking);
});

for (const count of [36, 195, 360]) {
  test(`of ${count} VMs, those that aren't hubs have two links`, (t) => {
    const vms = locations(count);
    const topology = new HubTopology();
    const selections = new Map(
      vms.map((vm) => [vm.name, topology.select(vm, vms, () => true)]),
    );
    const hubs = new Set(
      DATA_CENTRES.flatMap((dataCentre) =>
        rankHubs(dataCentre, vms).slice(0, 2)
      ),
    );
    for (const [name, { required, dialledHere }] of selections) {
      if (hubs.has(name)) {
        t.deepEqual([...required, name].sort(), [...hubs].sort());
        t.is(dialledHere.size, 0);
      } else {
        t.is(required.size, 2);
        t.deepEqual([...dialledHere], [...required]);
      }
    }
  });
}

test("a hub that can't be reached is replaced and dialled further", (t) => {
  const vms = locations(36);
  const self = vms[33]!;
  const ranking = rankHubs(self.dataCentre, vms);
  const { required, hubs } = new HubTopology().select(
    self,
    vms,
    (vm) => vm !== ranking[0],
  );
  t.deepEqual(hubs!.get(self.dataCentre), ranking.slice(1, 3));
  t.deepEqual([...required], ranking.slice(0, 3));
});

test("messages and calls reach all VMs over hubs, also after a hub has stopped", async (t) => {
  const vms = locations(15).map(({ name, ...vm }) => ({ vm: name, ...vm }));
  const network = await startMeshes(vms, 5, new HubTopology());
  const meshes = [...network.meshes.values()];
  await Promise.all(meshes.map((mesh) => waitForPeers(mesh, 14)));
  const received = new Map<string, number>();
  for (const mesh of meshes) {
    mesh.onCall(Double, (value) => Promise.resolve(value * 2));
    mesh.onMessage(Greeting, (text, from) => {
      const key = `${mesh.self.vm} ${text} ${from.vm}`;
      received.set(key, (received.get(key) ?? 0) + 1);
    });
  }
  const sender = network.meshes.get("vm-12")!;
  t.deepEqual(
    sender.neighbours().map(({ vm }) => vm).sort(),
    [...sender.hubs()!].sort(),
  );
  const [first] = sender.hubs()!;
  const remaining = vms.map(({ vm }) => vm)
    .filter((vm) => vm !== "vm-12" && vm !== first);
  for (const vm of [first!, ...remaining]) {
    t.is(await sender.call(vm, Double, 4), 8);
  }
  sender.broadcast(Greeting, "to all");
  await createSystemClock().sleep(300);
  t.is(received.size, 14);
  t.deepEqual([...new Set(received.values())], [1]);

  network.stop(first!);
  await waitForPeers(sender, 13);
  t.not(sender.hubs()![0], first);
  received.clear();
  sender.broadcast(Greeting, "after the loss");
  await createSystemClock().sleep(300);
  t.is(received.size, 13);
  for (const vm of remaining) t.is(await sender.call(vm, Double, 4), 8);
  network.close();
});
