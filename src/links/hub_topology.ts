import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { LinkTopology, PeerSelection, VmLocation } from "./topology.ts";

/// Two hubs in each data centre. Every VM has links to the hubs of its data
/// centre, and all hubs have links to each other, so the number of links of the
/// other VMs doesn't grow with the fleet.

/// With two hubs, messages still arrive while one of them has failed and no VM
/// has detected the failure.
const HUBS_PER_DATA_CENTRE = 2;

/// Returns the names of the VMs of a data centre in the order in which they
/// serve as hubs. Larger VMs come first, since a hub forwards messages and
/// places requests for the others.
export function rankHubs(
  dataCentre: string,
  vms: readonly VmLocation[],
): readonly string[] {
  const namesByCapacity = new Map<number, string[]>();
  for (const vm of vms) {
    if (vm.dataCentre !== dataCentre) continue;
    const capacity = vm.capacity ?? 0;
    const names = namesByCapacity.get(capacity) ?? [];
    names.push(vm.name);
    namesByCapacity.set(capacity, names);
  }
  return [...namesByCapacity.keys()]
    .sort((left, right) => right - left)
    .flatMap((capacity) =>
      rankByRendezvous(`hub ${dataCentre}`, namesByCapacity.get(capacity)!)
    );
}

/// Links to and between hubs.
export class HubTopology implements LinkTopology {
  select(
    self: VmLocation,
    vms: readonly VmLocation[],
    isUsable: (vm: string) => boolean,
  ): PeerSelection {
    const hubs = new Map<string, readonly string[]>();
    const candidates = new Map<string, readonly string[]>();
    for (const dataCentre of new Set(vms.map((vm) => vm.dataCentre))) {
      const ranking = rankHubs(dataCentre, vms);
      const usable = ranking
        .filter((vm) => vm === self.name || isUsable(vm))
        .slice(0, HUBS_PER_DATA_CENTRE);
      hubs.set(dataCentre, usable);
      // VMs that rank before the last usable hub are dialled until they work.
      const last = usable.at(-1);
      const count = usable.length < HUBS_PER_DATA_CENTRE
        ? ranking.length
        : ranking.indexOf(last!) + 1;
      candidates.set(dataCentre, ranking.slice(0, count));
    }
    const local = candidates.get(self.dataCentre) ?? [];
    const isHub = hubs.get(self.dataCentre)?.includes(self.name) ?? false;
    const required = new Set(isHub ? [...candidates.values()].flat() : local);
    required.delete(self.name);
    return { required, dialledHere: isHub ? new Set() : required, hubs };
  }
}
