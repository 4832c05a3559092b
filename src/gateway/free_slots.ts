import type { RandomSource } from "../support/random.ts";
import type { UpstreamLimits } from "../upstreams/upstream_limits.ts";
import type { SlotCount } from "./cell_summaries.ts";
import type { FleetView } from "./fleet_view.ts";
import type { InFlightWork } from "./in_flight_work.ts";
import { usableSlots } from "./placement.ts";
import type { PlacementOwners } from "./placement_owners.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

/// The free slots of a service's upstreams, as this VM knows them.

export interface FreeSlotsOptions {
  readonly random: RandomSource;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly upstreamLimits: Pick<UpstreamLimits, "delayOf">;
  readonly inFlightWork: InFlightWork;
  readonly owners: PlacementOwners;
  readonly dataCentre: string;
  /// Number of VMs that send to the same upstreams.
  readonly vmCount: () => number;
}

export interface FreeSlots {
  /// Number of requests that this VM may place on a service now. Unless it owns
  /// the placement, it is a share of the free slots, rounded up or down at
  /// random: if all VMs rounded up, each would send a request to the one slot
  /// that is free.
  mayPlace(service: string): number;
  /// Slots of a service in this VM's data centre.
  countLocal(service: string): SlotCount;
}

export function createFreeSlots(options: FreeSlotsOptions): FreeSlots {
  const { random, view, health, inFlightWork, owners, dataCentre } = options;

  const count = (service: string, isLocal: boolean): SlotCount => {
    let freeSlots = 0;
    let slots = 0;
    for (const upstream of view.available(service)) {
      const { id } = upstream;
      if (isLocal && upstream.dataCentre !== dataCentre) continue;
      slots += usableSlots(upstream);
      if (health.isSuspended(id)) continue;
      if (options.upstreamLimits.delayOf(id) > 0) continue;
      const { requests } = inFlightWork.workAt(id);
      freeSlots += Math.max(0, usableSlots(upstream) - requests);
    }
    return { freeSlots, slots };
  };

  return {
    mayPlace(service) {
      const { freeSlots } = count(service, !owners.isBroadcast());
      return owners.isBroadcast() || !owners.isOwner()
        ? Math.floor(freeSlots / options.vmCount() + random.next())
        : Math.floor(freeSlots);
    },
    countLocal: (service) => count(service, true),
  };
}
