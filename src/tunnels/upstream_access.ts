import type { Server } from "node:http";
import type { Counter } from "prom-client";
import type { VmList } from "../infrastructure/vm_list.ts";
import type { Links } from "../links/links.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import { type OpenSocket, openTcpSocket } from "./dial.ts";
import { watchLostVms } from "./lost_vms.ts";
import { startTunnelServer, type TunnelServer } from "./tunnel_server.ts";
import {
  createUpstreamDialler,
  type UpstreamDialler,
} from "./upstream_dialler.ts";
import { createUpstreamPaths, type UpstreamPaths } from "./upstream_paths.ts";

/// How a VM reaches upstreams, and lets other VMs reach them through it.
export interface UpstreamAccess {
  readonly paths: UpstreamPaths;
  readonly dialler: UpstreamDialler;
  readonly tunnelServer: TunnelServer;
}

export interface UpstreamAccessOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Pick<Links, "self" | "peers" | "onPeersChange">;
  /// The HTTP server that accepts links.
  readonly linkServer: Server;
  /// Secrets of tunnels, of which this VM uses the first one for its own.
  readonly secrets: readonly [string, ...string[]];
  /// Opens connections; over TCP by default.
  readonly openSocket?: OpenSocket;
  readonly vmList: VmList;
  /// Data centre of the upstream at an address.
  readonly dataCentreOf: (address: string) => string | undefined;
  /// Whether other VMs may reach an address through this one.
  readonly mayConnect: (address: string) => boolean;
  readonly tunnels: Counter<"opened_by">;
}

/// Creates the connections of one VM, and starts to open tunnels for others.
export function createUpstreamAccess(
  options: UpstreamAccessOptions,
): UpstreamAccess {
  const { clock, links, secrets, tunnels, openSocket = openTcpSocket } =
    options;
  const paths = createUpstreamPaths(options);
  const dialler = createUpstreamDialler({
    ...options,
    self: links.self.vm,
    openSocket,
    paths,
    secret: secrets[0],
    async vms() {
      const linked = new Set(links.peers().map(({ vm }) => vm));
      const listed = await options.vmList.read();
      const known = listed.filter(({ name }) => linked.has(name));
      if (known.length > 0) return known;
      // Links that fail together say nothing about the VMs.
      return listed.filter(({ name, kind, state }) =>
        name !== links.self.vm && kind !== "upstream" && state === "live"
      );
    },
    onTunnel: () => tunnels.inc({ opened_by: "other VM" }),
  });
  const tunnelServer = startTunnelServer({
    ...options,
    openSocket,
    isPartitioned: paths.isPartitioned,
    onOpened: () => tunnels.inc({ opened_by: "this VM" }),
  });
  watchLostVms({ clock, links, onLost: tunnelServer.closeTunnelsOf });
  return { paths, dialler, tunnelServer };
}
