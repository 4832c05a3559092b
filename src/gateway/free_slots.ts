import type { RandomSource } from "../support/random.ts";
import type { FleetView } from "./fleet_view.ts";
import { usableSlots } from "./placement.ts";
import type { UpstreamHealth } from "./upstream_health.ts";
import type { InFlightWork } from "./in_flight_work.ts";

export interface FreeSlotsOptions {
  readonly random: RandomSource;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly inFlightWork: InFlightWork;
  /// VMs that send to the same upstreams.
  readonly vmCount: () => number;
}

/// Returns a function that tells this VM's part of a service's free slots,
/// rounded up or down by chance: if all VMs rounded up, each would send to the
/// one slot that is free.
export function createFreeSlots(
  { random, view, health, inFlightWork: board, vmCount }: FreeSlotsOptions,
): (service: string) => number {
  return (service) => {
    let free = 0;
    for (const upstream of view.available(service)) {
      const { id } = upstream;
      if (health.isSuspended(id)) continue;
      free += Math.max(0, usableSlots(upstream) - board.workAt(id).requests);
    }
    return Math.floor(free / vmCount() + random.next());
  };
}
