import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Configuration } from "./configuration.ts";
import { createRouteTable, type RouteTable } from "./route_table.ts";
import { isSameInstance, type Upstream } from "./upstream.ts";

/// What this VM believes of the configuration and the upstreams, whoever told
/// it.

/// Time after the store's return within which living upstreams whose entries
/// lapsed meanwhile list themselves again; the platform names two seconds.
const RELISTING_MILLISECONDS: Milliseconds = 1_900;

/// Where a belief came from, for logs.
export interface ViewSource {
  readonly kind: "store" | "peer";
  /// The store's revision that it is from.
  readonly revision: number;
}

export interface ViewChange {
  readonly kind: "configuration" | "upstream";
  readonly detail: string;
  readonly source: ViewSource;
}

export interface FleetView {
  /// Undefined until a configuration is known.
  routeTable(): RouteTable | undefined;
  /// The store's revision of the latest change that was taken.
  revision(): number;
  upstream(id: string): Upstream | undefined;
  upstreams(): readonly Upstream[];
  /// Upstreams of a service that take new requests.
  available(service: string): readonly Upstream[];
  /// Takes a configuration; an older version than the one in force is ignored.
  setConfiguration(configuration: Configuration, source: ViewSource): void;
  setUpstream(upstream: Upstream, source: ViewSource): void;
  /// Notes that an entry is gone, or names no upstream that can be used.
  removeUpstream(id: string, source: ViewSource): void;
  /// Notes that the store answers again after an outage in which entries may
  /// have lapsed, and the time left for upstreams to list themselves again.
  noteStoreReconnected(left?: Milliseconds): void;
  /// Time left for upstreams to list themselves again; 0 if there is none.
  relistingTimeLeft(): Milliseconds;
  onChange(listener: (change: ViewChange) => void): void;
}

export function createFleetView(clock: Clock): FleetView {
  const upstreams = new Map<string, Upstream>();
  const listeners: ((change: ViewChange) => void)[] = [];
  let byService: Map<string, Upstream[]> | undefined;
  let table: RouteTable | undefined;
  let revision = 0;
  let relistingUntil: Milliseconds = -Infinity;

  const tell = (change: ViewChange) => {
    byService = undefined;
    for (const listener of listeners) listener(change);
  };

  const forget = (known: Upstream, source: ViewSource) => {
    upstreams.delete(known.id);
    const detail = `${known.id} is gone`;
    tell({ kind: "upstream", detail, source });
  };

  return {
    routeTable: () => table,
    revision: () => revision,
    upstream: (id) => upstreams.get(id),
    upstreams: () => [...upstreams.values()],
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
      if (current !== undefined && configuration.version <= current) return;
      table = createRouteTable(configuration);
      const detail = `version ${configuration.version}`;
      tell({ kind: "configuration", detail, source });
    },
    setUpstream(upstream, source) {
      revision = Math.max(revision, source.revision);
      const known = upstreams.get(upstream.id);
      upstreams.set(upstream.id, upstream);
      const isNews = !known || !isSameInstance(known, upstream) ||
        known.isLeaving !== upstream.isLeaving;
      byService = undefined;
      if (!isNews) return;
      const state = upstream.isLeaving ? "leaving" : "ready";
      const detail = `${upstream.id} at ${upstream.address} is ${state}`;
      tell({ kind: "upstream", detail, source });
    },
    removeUpstream(id, source) {
      revision = Math.max(revision, source.revision);
      const known = upstreams.get(id);
      if (!known) return;
      const wait = relistingUntil - clock.now();
      // One that was about to leave has left; no need to wait for it.
      if (wait <= 0 || known.isLeaving) return forget(known, source);
      // A copy of its own: if the entry comes back, another object is listed.
      const kept = { ...known };
      upstreams.set(id, kept);
      clock.schedule(wait, () => {
        if (upstreams.get(id) === kept) forget(known, source);
      });
    },
    noteStoreReconnected(left = RELISTING_MILLISECONDS) {
      relistingUntil = Math.max(relistingUntil, clock.now() + left);
    },
    relistingTimeLeft: () => Math.max(0, relistingUntil - clock.now()),
    onChange: (listener) => void listeners.push(listener),
  };
}
