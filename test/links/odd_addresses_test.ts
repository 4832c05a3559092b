import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { WebSocketServer } from "ws";
import type { ListedVm } from "../../src/infrastructure/vm_list.ts";
import { startDialler } from "../../src/links/dialler.ts";
import { createDirectPeers } from "../../src/links/direct_peers.ts";
import { HubTopology } from "../../src/links/hub_topology.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { dialThroughVm } from "../../src/tunnels/tunnel_client.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";

/// VMs that are listed with an address that nothing can be reached at.

const ODD_ADDRESSES = [
  "127.0.0.1:65536",
  "127.0.0.1:port",
  "999.1.1.1:80",
  "127.0.0.1",
  "a host:80",
  "",
];

for (const linkAddress of ODD_ADDRESSES) {
  test(`VMs are linked while another is listed at "${linkAddress}", and that one later`, async (t) => {
    const clock = createSystemClock();
    const self = { vm: "vm-0", incarnation: "1", dataCentre: "north" };
    const server = createServer();
    const webSockets = new WebSocketServer({ server });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    const listed = (name: string, address = `127.0.0.1:${port}`): ListedVm => ({
      name,
      dataCentre: "north",
      linkAddress: address,
      state: "live",
    });
    let vms = [listed("vm-1", linkAddress), listed("vm-2")];
    const opened: string[] = [];
    const dialler = startDialler({
      clock,
      log: createSilentLogger(),
      self,
      vmList: { read: () => Promise.resolve(vms) },
      peers: createDirectPeers(self),
      maximumFullMeshVms: 10,
      topology: new HubTopology(),
      onOpen: (socket, vm) => {
        opened.push(vm);
        socket.terminate();
      },
    });
    t.teardown(() => {
      dialler.close();
      webSockets.close();
      server.close();
    });
    await until(() => opened.length === 1);
    vms = [listed("vm-1"), listed("vm-2")];
    await until(() => opened.length === 2);
    t.deepEqual(opened, ["vm-2", "vm-1"]);
  });

  test(`a VM that is listed at "${linkAddress}" opens no tunnel and throws nothing`, async (t) => {
    const result = await new Promise((resolve) =>
      dialThroughVm({
        clock: createSystemClock(),
        self: "vm-0",
        vmAddress: linkAddress,
        address: "127.0.0.1:80",
        secret: "secret",
        timeout: 1_000,
      }, resolve)
    );
    t.like(result, { kind: "failed", failure: "unavailable" });
  });
}
