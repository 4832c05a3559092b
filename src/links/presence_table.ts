import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// Routes to the VMs that are reached over other VMs.

export interface PresenceTable {
  /// Sets the VMs of a data centre that are reached over `nextHop`.
  set(
    nextHop: VmIdentity,
    dataCentre: string,
    members: readonly VmIdentity[],
  ): void;
  /// Removes the routes over `nextHop`.
  remove(nextHop: string): void;
  /// Returns the next hop to `vm`, or undefined if there is no route.
  nextHopTo(vm: string): string | undefined;
  /// Returns all VMs that there is a route to.
  members(): readonly VmIdentity[];
  /// Returns the VMs of a data centre that are reached over any of `nextHops`.
  membersVia(
    nextHops: ReadonlySet<string>,
    dataCentre: string,
  ): readonly VmIdentity[];
}

interface Announcement {
  /// Whether the announcing VM is itself in the data centre.
  readonly isInside: boolean;
  readonly members: readonly VmIdentity[];
}

interface Route {
  readonly identity: VmIdentity;
  /// Next hops in the target's data centre, which have direct links to its VMs.
  /// They are preferred: two VMs outside it that announce each other's routes
  /// would forward a payload back and forth.
  readonly insideHops: string[];
  /// Next hops outside the target's data centre.
  readonly outsideHops: string[];
}

export function createPresenceTable(): PresenceTable {
  const announcements = new Map<string, Map<string, Announcement>>();
  let routes = new Map<string, Route>();

  const addRoute = (
    identity: VmIdentity,
    nextHop: string,
    isInside: boolean,
  ) => {
    const route = routes.get(identity.vm) ??
      { identity, insideHops: [], outsideHops: [] };
    (isInside ? route.insideHops : route.outsideHops).push(nextHop);
    routes.set(identity.vm, route);
  };

  const rebuild = () => {
    routes = new Map();
    for (const [nextHop, byDataCentre] of announcements) {
      for (const { members, isInside } of byDataCentre.values()) {
        for (const identity of members) addRoute(identity, nextHop, isInside);
      }
    }
  };

  return {
    set(nextHop, dataCentre, members) {
      const byDataCentre = announcements.get(nextHop.vm) ?? new Map();
      const isInside = nextHop.dataCentre === dataCentre;
      byDataCentre.set(dataCentre, { isInside, members });
      announcements.set(nextHop.vm, byDataCentre);
      rebuild();
    },
    remove(nextHop) {
      if (announcements.delete(nextHop)) rebuild();
    },
    nextHopTo(vm) {
      const { insideHops = [], outsideHops = [] } = routes.get(vm) ?? {};
      return rankByRendezvous(
        vm,
        insideHops.length > 0 ? insideHops : outsideHops,
      )[0];
    },
    members: () => [...routes.values()].map((route) => route.identity),
    membersVia(nextHops, dataCentre) {
      const found = new Map<string, VmIdentity>();
      for (const nextHop of nextHops) {
        const announced = announcements.get(nextHop)?.get(dataCentre);
        for (const identity of announced?.members ?? []) {
          found.set(identity.vm, identity);
        }
      }
      return [...found.values()];
    },
  };
}
