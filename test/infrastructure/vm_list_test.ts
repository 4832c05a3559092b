import test from "ava";
import {
  createHttpVmList,
  type ListedVm,
} from "../../src/infrastructure/vm_list.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { startVmListServer } from "../../stand_ins/vm_list_server.ts";

/// A VM that is listed in an unusable way hides no other one.

const VM: ListedVm = {
  name: "vm-1",
  dataCentre: "north",
  linkAddress: "127.0.0.1:9",
  state: "live",
};

const ODD: readonly (readonly [string, unknown])[] = [
  ["no address", { ...VM, linkAddress: undefined }],
  ["the port 65536", { ...VM, linkAddress: "127.0.0.1:65536" }],
  ["an unknown state", { ...VM, state: "standby" }],
  ["an unknown kind", { ...VM, kind: "printer" }],
  ["a negative capacity", { ...VM, capacity: -1 }],
  ["a name of another type", { ...VM, name: 7 }],
  ["no fields", null],
];

for (const [title, vm] of ODD) {
  test(`a VM that is listed with ${title} hides no other one`, async (t) => {
    const server = await startVmListServer(createSystemClock());
    t.teardown(server.close);
    server.set([vm as ListedVm, { ...VM, name: "vm-2" }]);
    const list = createHttpVmList(`http://${server.address}/vms`);
    t.deepEqual((await list.read()).map(({ name }) => name), ["vm-2"]);
  });
}
