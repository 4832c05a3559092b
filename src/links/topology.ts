import { rankByRendezvous } from "../vms/rendezvous.ts";

/// Which VMs a VM connects to. Few VMs all connect to each other. Many connect
/// fully within their data centre, and a few pairs, chosen by rendezvous hashing,
/// connect each two data centres.

/// A VM as the platform's list shows it.
export interface PlacedVm {
  readonly name: string;
  readonly dataCentre: string;
}

/// Up to this many VMs, all connect to each other.
export const FULL_MESH_LIMIT = 32;
/// Connections between each two data centres.
const BRIDGES_PER_PAIR = 3;

function bridgeEnds(
  vms: readonly PlacedVm[],
  dataCentre: string,
  other: string,
): readonly string[] {
  const names = vms
    .filter((vm) => vm.dataCentre === dataCentre)
    .map((vm) => vm.name);
  const pair = [dataCentre, other].sort().join(" ");
  return rankByRendezvous(`bridge ${pair}`, names).slice(0, BRIDGES_PER_PAIR);
}

/// Names of the VMs in other data centres that `self` has to connect to.
function bridgePeers(self: PlacedVm, vms: readonly PlacedVm[]): string[] {
  const others = new Set(vms.map((vm) => vm.dataCentre));
  others.delete(self.dataCentre);
  const peers: string[] = [];
  for (const other of others) {
    const near = bridgeEnds(vms, self.dataCentre, other);
    const far = bridgeEnds(vms, other, self.dataCentre);
    const bridges = Math.max(near.length, far.length);
    for (let index = 0; index < bridges; index++) {
      if (near[index % near.length] !== self.name) continue;
      peers.push(far[index % far.length]!);
    }
  }
  return peers;
}

/// Names of all VMs but `self`.
export function allPeers(
  self: PlacedVm,
  vms: readonly PlacedVm[],
): ReadonlySet<string> {
  const names = vms.map((vm) => vm.name);
  return new Set(names.filter((name) => name !== self.name));
}

/// Names of the VMs that `self` has to be connected to among many.
export function sparsePeers(
  self: PlacedVm,
  vms: readonly PlacedVm[],
): ReadonlySet<string> {
  const others = vms.filter((vm) => vm.name !== self.name);
  const near = others.filter((vm) => vm.dataCentre === self.dataCentre);
  const bridges = bridgePeers(self, [...others, self]);
  return new Set([...near.map((vm) => vm.name), ...bridges]);
}
