import type { RandomSource } from "../support/random.ts";
import type { FleetView } from "./fleet_view.ts";
import type { InFlightWork } from "./in_flight_work.ts";
import { usableSlots } from "./placement.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

export interface FreeSlotsOptions {
  readonly random: RandomSource;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly inFlightWork: InFlightWork;
  /// Number of VMs that send to the same upstreams.
  readonly vmCount: () => number;
}

/// Returns a function that computes this VM's share of a service's free slots.
/// The share is rounded up or down at random: if all VMs rounded up, each would
/// send a request to the one slot that is free.
export function createFreeSlots(
  { random, view, health, inFlightWork, vmCount }: FreeSlotsOptions,
): (service: string) => number {
  return (service) => {
    let free = 0;
    for (const upstream of view.available(service)) {
      const { id } = upstream;
      if (health.isSuspended(id)) continue;
      free += Math.max(
        0,
        usableSlots(upstream) - inFlightWork.workAt(id).requests,
      );
    }
    return Math.floor(free / vmCount() + random.next());
  };
}
