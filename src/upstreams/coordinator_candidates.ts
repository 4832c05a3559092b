import { regionOf } from "../data_centres/region.ts";
import type { Membership } from "../vms/membership.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// VMs of a region that try to become its steward. The others don't ask the
/// store, which counts each call.
const CANDIDATES = 3;

/// Whether this VM is one of the candidates of its region.
export function isCoordinatorCandidate(membership: Membership): boolean {
  const { vm, dataCentre } = membership.self;
  const region = regionOf(dataCentre);
  const usable = new Set(membership.candidates());
  const names = membership.members()
    .filter((member) => regionOf(member.dataCentre) === region)
    .map((member) => member.vm)
    .filter((name) => usable.has(name));
  const ranked = rankByRendezvous(`steward ${region}`, names);
  return ranked.slice(0, CANDIDATES).includes(vm);
}
