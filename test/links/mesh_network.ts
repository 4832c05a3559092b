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
import type { Links } from "../../src/links/links.ts";
import type { ListedVm } from "../../src/infrastructure/vm_list.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSystemRandom } from "../../src/support/random.ts";

/// Several meshes of one process over loopback sockets.

export interface MeshVm {
  readonly vm: string;
  readonly dataCentre?: string;
  readonly secrets?: readonly string[];
  readonly versions?: VersionRange;
}

export interface MeshNetwork {
  readonly meshes: ReadonlyMap<string, LinkMesh>;
  /// While set, bytes that the VM sends over its accepted links are lost.
  readonly mute: Set<string>;
  stop(vm: string): void;
  close(): void;
}

const listen = (server: Server) =>
  new Promise<string>((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    })
  );

/// Forwards to `address`. Loses what comes back while `isMute`.
function createProxy(address: string, isMute: () => boolean): Server {
  const port = Number(address.split(":")[1]);
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(port, "127.0.0.1");
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        near.destroy();
        far.destroy();
      });
    }
    near.on("data", (data) => far.write(data));
    far.on("data", (data) => isMute() || near.write(data));
  });
  server.on("close", () => sockets.forEach((socket) => socket.destroy()));
  return server;
}

export async function startMeshes(
  vms: readonly MeshVm[],
  fullMeshLimit?: number,
): Promise<MeshNetwork> {
  const listed: ListedVm[] = [];
  const mute = new Set<string>();
  const meshes = new Map<string, LinkMesh>();
  const servers: Server[] = [];
  for (const { vm, dataCentre = "muttrah", secrets, versions } of vms) {
    const server = createHttpServer();
    const proxy = createProxy(await listen(server), () => mute.has(vm));
    const linkAddress = await listen(proxy);
    listed.push({ name: vm, dataCentre, linkAddress, state: "live" });
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
      fullMeshLimit,
    });
    meshes.set(vm, mesh);
  }
  return {
    meshes,
    mute,
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

/// Resolves once `links` reach exactly `count` VMs.
export function untilPeers(links: Links, count: number): Promise<void> {
  return new Promise((resolve) => {
    const check = () => links.peers().length === count && resolve();
    links.onPeersChange(check);
    check();
  });
}
