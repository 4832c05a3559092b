import { createServer as createHttpServer } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { createLinkMesh, type LinkMesh } from "../../src/links/link_mesh.ts";
import type { VersionRange } from "../../src/links/frame.ts";
import type { LinkTopology } from "../../src/links/topology.ts";
import type { Links } from "../../src/links/links.ts";
import type { ListedVm } from "../../src/infrastructure/vm_list.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSystemRandom } from "../../src/support/random.ts";

/// Meshes in one process that are connected over loopback sockets.

export interface MeshVm {
  readonly vm: string;
  readonly dataCentre?: string;
  readonly secrets?: readonly string[];
  readonly versions?: VersionRange;
  readonly capacity?: number;
}

export interface MeshNetwork {
  readonly meshes: ReadonlyMap<string, LinkMesh>;
  /// VMs whose bytes sent over accepted links are dropped.
  readonly blockedSenders: Set<string>;
  /// Closes a VM's mesh and removes the VM from the list.
  stop(vm: string): void;
  close(): void;
}

const listen = (server: Server) =>
  new Promise<string>((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    })
  );

/// Creates a proxy for `address`. It drops the bytes sent back while `isBlocked`
/// returns true.
function createProxy(address: string, isBlocked: () => boolean): Server {
  const port = Number(address.split(":")[1]);
  const sockets = new Set<Socket>();
  const server = createServer((incoming) => {
    const outgoing = connect(port, "127.0.0.1");
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        incoming.destroy();
        outgoing.destroy();
      });
    }
    incoming.on("data", (data) => outgoing.write(data));
    outgoing.on("data", (data) => isBlocked() || incoming.write(data));
  });
  server.on("close", () => sockets.forEach((socket) => socket.destroy()));
  return server;
}

export async function startMeshes(
  vms: readonly MeshVm[],
  maximumFullMeshVms?: number,
  topology?: LinkTopology,
): Promise<MeshNetwork> {
  const listed: ListedVm[] = [];
  const blockedSenders = new Set<string>();
  const meshes = new Map<string, LinkMesh>();
  const servers: Server[] = [];
  for (const { vm, dataCentre = "muttrah", ...options } of vms) {
    const { secrets, versions, capacity } = options;
    const server = createHttpServer();
    const proxy = createProxy(
      await listen(server),
      () => blockedSenders.has(vm),
    );
    const linkAddress = await listen(proxy);
    listed.push({
      name: vm,
      dataCentre,
      linkAddress,
      capacity,
      state: "live",
    });
    servers.push(server, proxy);
    const mesh = createLinkMesh({
      clock: createSystemClock(),
      random: createSystemRandom(),
      log: createSilentLogger(),
      identity: { vm, incarnation: `${vm}-1`, dataCentre },
      secrets: secrets ?? ["secret"],
      vmList: { read: () => Promise.resolve(listed) },
      server,
      versions,
      maximumFullMeshVms,
      topology,
    });
    meshes.set(vm, mesh);
  }
  return {
    meshes,
    blockedSenders,
    stop(vm) {
      meshes.get(vm)?.close();
      listed.splice(listed.findIndex((entry) => entry.name === vm), 1);
    },
    close() {
      for (const mesh of meshes.values()) mesh.close();
      for (const server of servers) server.close();
    },
  };
}

/// Resolves once `links` has exactly `count` peers.
export function waitForPeers(links: Links, count: number): Promise<void> {
  return new Promise((resolve) => {
    const check = () => links.peers().length === count && resolve();
    links.onPeersChange(check);
    check();
  });
}
