import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Configuration, Service } from "./configuration.ts";
import { createRouteTable, type RouteTable } from "./route_table.ts";
import { isSameInstance, type Upstream } from "./upstream.ts";

/// This VM's current view of the configuration and the upstreams, from the
/// store or from other VMs.

/// Time after the store recovers within which running upstreams whose entries
/// expired during the outage list themselves again. The platform specifies two
/// seconds.
const RELISTING_TIMEOUT_MILLISECONDS: Milliseconds = 1_900;
/// Upstreams that are remembered after they are gone.
const MAXIMUM_GONE_UPSTREAMS = 4_096;
/// Services that are remembered after the configuration no longer has them.
const MAXIMUM_FORMER_SERVICES = 256;

/// Origin of a change, for logs.
export interface ViewSource {
  readonly kind: "store" | "peer" | "upstream";
  /// Name of the VM that sent it, if one did.
  readonly peer?: string;
  /// Store revision of the change.
  readonly revision: number;
}

export interface ViewChange {
  readonly kind: "configuration" | "upstream";
  readonly detail: string;
  readonly source: ViewSource;
}

export interface FleetView {
  /// Undefined until a configuration is received.
  routeTable(): RouteTable | undefined;
  /// A service as it was last configured, also if the configuration in force no
  /// longer has it: requests that arrived before may need a further attempt.
  service(name: string): Service | undefined;
  /// Store revision of the latest change that was applied.
  revision(): number;
  upstream(id: string): Upstream | undefined;
  upstreams(): readonly Upstream[];
  /// Whether an upstream that is remembered and not listed any more has had the
  /// address. It may still be responding.
  wasUpstreamAddress(address: string): boolean;
  /// Upstreams of a service that accept new requests.
  available(service: string): readonly Upstream[];
  /// Applies a configuration if its version is newer than the one in force.
  /// Returns false if it isn't.
  setConfiguration(configuration: Configuration, source: ViewSource): boolean;
  /// Adds or replaces an upstream. A restored store may list what has left since:
  /// a process that was draining stays so, and one that is gone is added only by
  /// a later entry. Returns false if the entry is outdated.
  setUpstream(upstream: Upstream, source: ViewSource): boolean;
  /// Records that a process says it is draining, before its entry does. Returns
  /// whether that is new.
  setLeaving(id: string, startedAt: number): boolean;
  /// Removes an upstream whose entry was removed. While upstreams may list
  /// themselves again, the removal is delayed unless the upstream was draining.
  removeUpstream(id: string, source: ViewSource): void;
  /// Removes an upstream whose entry no longer names one. Its process may run on,
  /// so that a later entry of the same process is used, whatever its number.
  unlistUpstream(id: string, source: ViewSource): void;
  /// Records that the store responds again after an outage in which entries may
  /// have expired, and the time that upstreams have to list themselves again.
  recordStoreReconnected(timeLeft?: Milliseconds): void;
  /// Remaining time for upstreams to list themselves again; 0 after that.
  relistingTimeLeft(): Milliseconds;
  onChange(listener: (change: ViewChange) => void): void;
}

interface GoneUpstream {
  readonly upstream: Upstream;
  /// Whether its entry was removed, rather than overwritten.
  readonly wasRemoved: boolean;
}

export function createFleetView(clock: Clock): FleetView {
  const upstreams = new Map<string, Upstream>();
  /// Upstreams that are no longer listed, by id, the earliest first.
  const gone = new Map<string, GoneUpstream>();
  const listeners: ((change: ViewChange) => void)[] = [];
  /// Services by name, the one that was configured last at the end.
  const services = new Map<string, Service>();
  let byService: Map<string, Upstream[]> | undefined;
  let table: RouteTable | undefined;
  let revision = 0;
  let relistingUntil: Milliseconds = -Infinity;

  const notify = (change: ViewChange) => {
    byService = undefined;
    for (const listener of listeners) listener(change);
  };

  const recordGone = (upstream: Upstream, wasRemoved: boolean) => {
    gone.delete(upstream.id);
    gone.set(upstream.id, { upstream, wasRemoved });
    if (gone.size > MAXIMUM_GONE_UPSTREAMS) {
      gone.delete(gone.keys().next().value!);
    }
  };

  const deleteUpstream = (
    listed: Upstream,
    { source, wasRemoved }: { source: ViewSource; wasRemoved: boolean },
  ) => {
    upstreams.delete(listed.id);
    recordGone(listed, wasRemoved);
    const detail = `${listed.id} is gone`;
    notify({ kind: "upstream", detail, source });
  };

  /// Whether an entry is from before its process was draining or gone.
  const isOutdated = (upstream: Upstream): boolean => {
    const listed = upstreams.get(upstream.id);
    const goneUpstream = gone.get(upstream.id);
    const last = listed ?? goneUpstream?.upstream;
    if (!last || !last.startedAt || !isSameInstance(last, upstream)) {
      return false;
    }
    if (last.isLeaving) return !upstream.isLeaving;
    if (listed || !goneUpstream?.wasRemoved) return false;
    const { sequence = Infinity } = upstream;
    return sequence <= (last.sequence ?? -Infinity);
  };

  const setUpstream: FleetView["setUpstream"] = (upstream, source) => {
    revision = Math.max(revision, source.revision);
    if (isOutdated(upstream)) return false;
    const listed = upstreams.get(upstream.id);
    upstreams.set(upstream.id, upstream);
    const hasChanged = !listed || !isSameInstance(listed, upstream) ||
      listed.isLeaving !== upstream.isLeaving;
    byService = undefined;
    if (!hasChanged) return true;
    const state = upstream.isLeaving ? "leaving" : "ready";
    const detail = `${upstream.id} at ${upstream.address} is ${state}`;
    notify({ kind: "upstream", detail, source });
    return true;
  };

  const recordServices = (configured: readonly Service[]) => {
    for (const service of configured) {
      services.delete(service.name);
      services.set(service.name, service);
    }
    for (const name of services.keys()) {
      if (services.size <= configured.length + MAXIMUM_FORMER_SERVICES) return;
      services.delete(name);
    }
  };

  return {
    routeTable: () => table,
    service: (name) => services.get(name),
    revision: () => revision,
    upstream: (id) => upstreams.get(id),
    upstreams: () => [...upstreams.values()],
    wasUpstreamAddress: (address) =>
      [...gone.values()].some(({ upstream }) => upstream.address === address),
    available(service) {
      if (!byService) {
        byService = new Map();
        for (const upstream of upstreams.values()) {
          if (upstream.isLeaving) continue;
          const list = byService.get(upstream.service) ?? [];
          byService.set(upstream.service, list);
          list.push(upstream);
        }
      }
      return byService.get(service) ?? [];
    },
    setConfiguration(configuration, source) {
      revision = Math.max(revision, source.revision);
      const current = table?.configuration.version;
      if (current !== undefined && configuration.version <= current) {
        return false;
      }
      table = createRouteTable(configuration);
      recordServices(configuration.services);
      const detail = current === undefined
        ? `version ${configuration.version}`
        : `version ${configuration.version} after ${current}`;
      notify({ kind: "configuration", detail, source });
      return true;
    },
    setUpstream,
    setLeaving(id, startedAt) {
      const listed = upstreams.get(id);
      if (!listed || listed.isLeaving || listed.startedAt !== startedAt) {
        return false;
      }
      const source = { kind: "upstream", revision } as const;
      return setUpstream({ ...listed, isLeaving: true }, source);
    },
    removeUpstream(id, source) {
      revision = Math.max(revision, source.revision);
      const listed = upstreams.get(id);
      if (!listed) {
        const goneUpstream = gone.get(id);
        if (goneUpstream) recordGone(goneUpstream.upstream, true);
        return;
      }
      const removal = { source, wasRemoved: true };
      const delay = relistingUntil - clock.now();
      // A draining upstream has stopped and does not list itself again.
      if (delay <= 0 || listed.isLeaving) {
        return deleteUpstream(listed, removal);
      }
      // A new object, so that the timer can detect whether the entry was set
      // again.
      const retained = { ...listed };
      upstreams.set(id, retained);
      clock.schedule(delay, () => {
        if (upstreams.get(id) === retained) deleteUpstream(listed, removal);
      });
    },
    unlistUpstream(id, source) {
      revision = Math.max(revision, source.revision);
      const listed = upstreams.get(id);
      if (listed) deleteUpstream(listed, { source, wasRemoved: false });
    },
    recordStoreReconnected(timeLeft = RELISTING_TIMEOUT_MILLISECONDS) {
      relistingUntil = Math.max(relistingUntil, clock.now() + timeLeft);
    },
    relistingTimeLeft: () => Math.max(0, relistingUntil - clock.now()),
    onChange: (listener) => void listeners.push(listener),
  };
}
