import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// VMs that are reached over another VM: which they are, and over which.

export interface PresenceTable {
  /// Notes which VMs of a data centre `via` reaches.
  set(
    via: VmIdentity,
    dataCentre: string,
    members: readonly VmIdentity[],
  ): void;
  /// Forgets what was reached over `via`.
  drop(via: string): void;
  /// The VM over which to reach `vm`.
  routeTo(vm: string): string | undefined;
  /// All VMs that are reached over others.
  members(): readonly VmIdentity[];
  /// VMs of a data centre that are reached over one of `vias`.
  membersOver(
    vias: ReadonlySet<string>,
    dataCentre: string,
  ): readonly VmIdentity[];
}

interface Announcement {
  /// Whether the announcing VM is in the data centre itself.
  readonly isNear: boolean;
  readonly members: readonly VmIdentity[];
}

interface Route {
  readonly identity: VmIdentity;
  /// VMs with a direct link to the data centre's own VMs; they go before
  /// others, since two that only announce each other's way would pass a
  /// payload to and fro.
  readonly near: string[];
  readonly far: string[];
}

export function createPresenceTable(): PresenceTable {
  const announcements = new Map<string, Map<string, Announcement>>();
  let routes = new Map<string, Route>();

  const addRoute = (identity: VmIdentity, via: string, isNear: boolean) => {
    const route = routes.get(identity.vm) ?? { identity, near: [], far: [] };
    (isNear ? route.near : route.far).push(via);
    routes.set(identity.vm, route);
  };

  const rebuild = () => {
    routes = new Map();
    for (const [via, byDataCentre] of announcements) {
      for (const { members, isNear } of byDataCentre.values()) {
        for (const identity of members) addRoute(identity, via, isNear);
      }
    }
  };

  return {
    set(via, dataCentre, members) {
      const byDataCentre = announcements.get(via.vm) ?? new Map();
      const isNear = via.dataCentre === dataCentre;
      byDataCentre.set(dataCentre, { isNear, members });
      announcements.set(via.vm, byDataCentre);
      rebuild();
    },
    drop(via) {
      if (announcements.delete(via)) rebuild();
    },
    routeTo(vm) {
      const { near = [], far = [] } = routes.get(vm) ?? {};
      return rankByRendezvous(vm, near.length > 0 ? near : far)[0];
    },
    members: () => [...routes.values()].map((route) => route.identity),
    membersOver(vias, dataCentre) {
      const found = new Map<string, VmIdentity>();
      for (const via of vias) {
        const announced = announcements.get(via)?.get(dataCentre);
        for (const identity of announced?.members ?? []) {
          found.set(identity.vm, identity);
        }
      }
      return [...found.values()];
    },
  };
}
