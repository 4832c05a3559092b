import type { ListedVm } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import {
  type Dial,
  dialDirectly,
  type DialFailure,
  type DialResult,
  type OpenSocket,
  type UpstreamSocket,
} from "./dial.ts";
import { dialThroughVm } from "./tunnel_client.ts";
import { createTunnelVms } from "./tunnel_vms.ts";
import type { UpstreamPaths } from "./upstream_paths.ts";

/// Opens connections to upstreams: directly, or through another VM if this one
/// has no path to the upstream.

/// Whether an upstream accepts connections. `through_others`: it does, but only
/// from other VMs. `refuses`: its VM responds that no process listens, so the
/// process has ended. `silent`: there is no response, as from a VM without power.
/// `unknown`: this VM has no path to it, and no other VM could tell.
export type Reachability =
  | "accepts"
  | "through_others"
  | "refuses"
  | "silent"
  | "unknown";

/// What failed dials show.
export const REACHABILITY_OF_FAILURES = {
  refused: "refuses",
  silent: "silent",
  unavailable: "unknown",
} as const satisfies Record<DialFailure, Reachability>;

/// A new connection takes a round trip and the upstream's own setup, a few
/// milliseconds. A lost first packet is retransmitted after a second, which is
/// later than another upstream would have responded.
const CONNECT_TIMEOUT_MILLISECONDS: Milliseconds = 500;
/// Longer than a VM takes to find out that the upstream doesn't respond.
const TUNNEL_TIMEOUT_MILLISECONDS: Milliseconds = 400;
/// Timeout of a dial for which no VM has responded yet.
const MAXIMUM_DIAL_MILLISECONDS: Milliseconds = 1_000;

/// Time for which other VMs aren't asked again about an upstream that none of
/// them reached, so that an outage doesn't multiply connections. It doubles each
/// time that they find the same of the upstream.
const FIRST_FINDING_LIFETIME_MILLISECONDS: Milliseconds = 500;
const MAXIMUM_FINDING_LIFETIME_MILLISECONDS: Milliseconds = 4_000;
/// Time after which what was found is forgotten.
const FINDING_MEMORY_MILLISECONDS: Milliseconds = 10_000;

/// How opening a connection to an upstream ended.
export type UpstreamDialResult =
  | {
    readonly kind: "connected";
    readonly socket: UpstreamSocket;
    /// Name of the VM through which a tunnel goes; undefined for a direct
    /// connection.
    readonly tunnelVm: string | undefined;
  }
  | FailedDial;

type FailedDial = Extract<DialResult, { kind: "failed" }>;

/// What several VMs find out, the finding that counts first. A VM that can't tell
/// may be the only one that is not partitioned.
const MOST_TELLING: readonly DialFailure[] = [
  "unavailable",
  "silent",
  "refused",
];

interface Finding {
  readonly failure: DialFailure;
  readonly at: Milliseconds;
  readonly lifetime: Milliseconds;
}

/// Opens connections to upstreams by whichever way is there first.
export interface UpstreamDialler {
  /// Opens a connection and calls `onResult` once.
  dial(address: string, onResult: (result: UpstreamDialResult) => void): void;
  /// Whether a connection may be kept for further requests. Tunnels aren't kept:
  /// a VM could not stop while others use them.
  mayKeep(address: string): boolean;
  /// Opens a connection and closes it again.
  check(address: string): Promise<Reachability>;
  /// Number of connections that were begun so far.
  count(): number;
}

export interface UpstreamDiallerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /// Name of this VM.
  readonly self: string;
  readonly paths: UpstreamPaths;
  readonly openSocket: OpenSocket;
  /// Reads the VMs that may be asked for tunnels.
  readonly vms: () => Promise<readonly ListedVm[]>;
  readonly secret: string;
  readonly dataCentreOf: (address: string) => string | undefined;
  /// Called for each tunnel that another VM opened.
  readonly onTunnel: () => void;
}

/// Creates the dialler of one VM.
export function createUpstreamDialler(
  options: UpstreamDiallerOptions,
): UpstreamDialler {
  const { clock, self, paths, secret } = options;
  const tunnelVms = createTunnelVms(options);
  /// What other VMs found last about upstreams that none of them reached.
  const lastFindings = new Map<string, Finding>();
  let dialled = 0;

  const recordFinding = (address: string, failure: DialFailure) => {
    const now = clock.now();
    for (const [each, { at }] of lastFindings) {
      if (now - at > FINDING_MEMORY_MILLISECONDS) lastFindings.delete(each);
    }
    const last = lastFindings.get(address);
    const isKnown = failure !== "unavailable" && last?.failure === failure;
    const lifetime = isKnown
      ? Math.min(2 * last.lifetime, MAXIMUM_FINDING_LIFETIME_MILLISECONDS)
      : FIRST_FINDING_LIFETIME_MILLISECONDS;
    lastFindings.set(address, { failure, at: now, lifetime });
  };

  /// Asks VMs in turn until one opens a tunnel. A VM that reaches the upstream no
  /// more than this one may be partitioned too, so the next one is asked. Adds
  /// what they find to `findings`.
  const dialThroughVms = (
    address: string,
    { findings, onConnected, onFailed }: {
      findings: Set<DialFailure>;
      onConnected: (socket: UpstreamSocket, vm: string) => void;
      onFailed: () => void;
    },
  ): Dial => {
    let current: Dial | undefined;
    let isCancelled = false;
    const tryVms = ([vm, ...rest]: readonly ListedVm[]) => {
      if (isCancelled) return;
      if (!vm) return onFailed();
      const dial = { clock, self, vmAddress: vm.linkAddress, address, secret };
      const timeout = TUNNEL_TIMEOUT_MILLISECONDS;
      current = dialThroughVm({ ...dial, timeout }, (result) => {
        if (result.kind === "connected") {
          tunnelVms.recordSuccess(vm.name);
          return onConnected(result.socket, vm.name);
        }
        tunnelVms.recordFailure(vm.name);
        findings.add(result.failure);
        tryVms(rest);
      });
    };
    const dataCentre = options.dataCentreOf(address);
    options.vms()
      .then((vms) => tunnelVms.choose(vms, dataCentre), () => [])
      .then(tryVms);
    return {
      cancel() {
        isCancelled = true;
        current?.cancel();
      },
    };
  };

  const dial: UpstreamDialler["dial"] = (address, onResult) => {
    const plan = paths.plan(address);
    const findings = new Set<DialFailure>();
    const timers: Timer[] = [];
    let direct: Dial | undefined;
    let tunnel: Dial | undefined;
    let directFailure: FailedDial | undefined;
    let hasTunnelFailed = false;
    let isOver = false;
    dialled += 1;

    const finish = (result: UpstreamDialResult) => {
      if (isOver) {
        if (result.kind === "connected") result.socket.destroy();
        return;
      }
      isOver = true;
      for (const timer of timers) timer.cancel();
      direct?.cancel();
      tunnel?.cancel();
      onResult(result);
    };

    const finishFailed = () => {
      const finding = MOST_TELLING.find((failure) => findings.has(failure));
      const failure = finding ?? directFailure?.failure ?? "unavailable";
      const reason = directFailure?.reason ?? `no connection to ${address}`;
      finish({ kind: "failed", failure, reason });
    };

    /// Ends the dial once nothing is left to wait for: both ways have failed, or
    /// another VM gets no response either.
    const finishIfFailed = () => {
      if (!directFailure) return;
      const isSilent = directFailure.failure === "silent" &&
        findings.has("silent");
      if (hasTunnelFailed || isSilent) finishFailed();
    };

    const onTunnelFailed = () => {
      hasTunnelFailed = true;
      startDirect();
      finishIfFailed();
    };

    const startDirect = () => {
      if (direct || isOver) return;
      const { openSocket } = options;
      const timeout = CONNECT_TIMEOUT_MILLISECONDS;
      direct = dialDirectly(
        { clock, openSocket, address, timeout },
        (result) => {
          if (result.kind === "connected") {
            paths.recordDirect(address);
            return finish({ ...result, tunnelVm: undefined });
          }
          directFailure = result;
          startTunnel();
          finishIfFailed();
        },
      );
    };

    const startTunnel = () => {
      if (tunnel || isOver) return;
      tunnel = { cancel: () => {} };
      const known = lastFindings.get(address);
      if (known && clock.now() - known.at < known.lifetime) {
        findings.add(known.failure);
        return onTunnelFailed();
      }
      tunnel = dialThroughVms(address, {
        findings,
        onConnected(socket, vm) {
          lastFindings.delete(address);
          paths.recordDetour(address, vm);
          options.onTunnel();
          finish({ kind: "connected", socket, tunnelVm: vm });
        },
        onFailed() {
          const failure = MOST_TELLING.find((each) => findings.has(each));
          if (failure) recordFinding(address, failure);
          onTunnelFailed();
        },
      });
    };

    if (plan.direct !== undefined) startDirect();
    timers.push(
      clock.schedule(plan.tunnel, startTunnel),
      clock.schedule(MAXIMUM_DIAL_MILLISECONDS, finishFailed),
    );
  };

  const check = (address: string) =>
    new Promise<Reachability>((resolve) => {
      dial(address, (result) => {
        if (result.kind === "failed") {
          return resolve(REACHABILITY_OF_FAILURES[result.failure]);
        }
        result.socket.destroy();
        resolve(result.tunnelVm === undefined ? "accepts" : "through_others");
      });
    });

  return { dial, mayKeep: paths.mayReuse, check, count: () => dialled };
}
