import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Which upstreams this VM reaches over connections of its own, and which only
/// through other VMs.

/// Time after which another VM is asked beside a direct connection that is still
/// being opened. A round trip takes up to 20 ms.
const TUNNEL_DELAY_MILLISECONDS: Milliseconds = 100;
/// The same while the direct path is probably lost.
const SHORT_TUNNEL_DELAY_MILLISECONDS: Milliseconds = 30;
/// Time after which a direct connection is tried again.
const PROBE_INTERVAL_MILLISECONDS: Milliseconds = 1_000;
/// Upstreams that can't be reached directly, while no other one can, from which
/// this VM counts as partitioned from all of them.
const MINIMUM_PARTITIONED = 2;

/// When the parts of a dial begin, counted from its start.
export interface DialPlan {
  /// Undefined: only if no VM opens a tunnel.
  readonly direct: Milliseconds | undefined;
  readonly tunnel: Milliseconds;
}

/// What this VM knows of its paths to upstreams.
export interface UpstreamPaths {
  /// Plans a connection to an address, and counts it as a probe of the direct
  /// path if it is one.
  plan(address: string): DialPlan;
  /// Whether an idle direct connection to an address may be used.
  mayReuse(address: string): boolean;
  recordDirect(address: string): void;
  /// Records that only another VM reaches an address.
  recordDetour(address: string, vm: string): void;
  /// Whether this VM has lost the path to several upstreams, and has reached none
  /// directly since.
  isPartitioned(): boolean;
  /// Number of upstreams that are reached only through other VMs.
  countDetours(): number;
  /// Removes addresses that are no longer in use.
  prune(addresses: ReadonlySet<string>): void;
}

interface Detour {
  readonly since: Milliseconds;
  /// When a direct connection was last tried.
  probedAt: Milliseconds;
}

/// Creates the knowledge of one VM. Each change between direct connections and
/// tunnels is logged.
export function createUpstreamPaths(
  { clock, log }: { readonly clock: Clock; readonly log: Logger },
): UpstreamPaths {
  const detours = new Map<string, Detour>();
  let lastDirectAt: Milliseconds = -Infinity;

  const isPartitioned = () =>
    [...detours.values()].filter(({ since }) => since > lastDirectAt).length >=
      MINIMUM_PARTITIONED;

  return {
    plan(address) {
      const detour = detours.get(address);
      if (!detour) {
        const tunnel = isPartitioned()
          ? SHORT_TUNNEL_DELAY_MILLISECONDS
          : TUNNEL_DELAY_MILLISECONDS;
        return { direct: 0, tunnel };
      }
      const now = clock.now();
      if (now - detour.probedAt < PROBE_INTERVAL_MILLISECONDS) {
        return { direct: undefined, tunnel: 0 };
      }
      detour.probedAt = now;
      return { direct: 0, tunnel: SHORT_TUNNEL_DELAY_MILLISECONDS };
    },
    mayReuse: (address) => !detours.has(address) && !isPartitioned(),
    recordDirect(address) {
      lastDirectAt = clock.now();
      if (!detours.delete(address)) return;
      log.info("upstream reached directly", { address });
    },
    recordDetour(address, vm) {
      if (detours.has(address)) return;
      const now = clock.now();
      detours.set(address, { since: now, probedAt: now });
      log.warn("upstream reached through another VM", { address, through: vm });
    },
    isPartitioned,
    countDetours: () => detours.size,
    prune(addresses) {
      for (const address of detours.keys()) {
        if (!addresses.has(address)) detours.delete(address);
      }
    },
  };
}
