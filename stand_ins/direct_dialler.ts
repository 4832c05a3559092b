import { createSystemClock } from "../src/support/clock.ts";
import { createSilentLogger } from "../src/support/log.ts";
import { createSeededRandom } from "../src/support/random.ts";
import { openTcpSocket } from "../src/tunnels/dial.ts";
import {
  createUpstreamDialler,
  type UpstreamDialler,
} from "../src/tunnels/upstream_dialler.ts";
import { createUpstreamPaths } from "../src/tunnels/upstream_paths.ts";

/// Dials upstreams from a VM that has no others to ask.
export function createDirectDialler(): UpstreamDialler {
  const clock = createSystemClock();
  return createUpstreamDialler({
    clock,
    random: createSeededRandom(1),
    self: "vm",
    paths: createUpstreamPaths({ clock, log: createSilentLogger() }),
    openSocket: openTcpSocket,
    vms: () => Promise.resolve([]),
    secret: "unused",
    dataCentreOf: () => undefined,
    onTunnel: () => {},
  });
}
