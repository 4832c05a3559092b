import { rankByRendezvous } from "../vms/rendezvous.ts";

/// Selects the VMs that a VM connects to. Up to a limit, the VMs form a full mesh.
/// Above it, the VMs of each data centre form a full mesh, and each two data
/// centres are connected by a few bridges: links between pairs of VMs that
/// rendezvous hashing selects.

/// A VM's name and data centre, as in the platform's list.
export interface VmLocation {
  readonly name: string;
  readonly dataCentre: string;
  /// Processor cores of the VM; 0 if unknown.
  readonly capacity?: number;
}

/// The links that a VM keeps.
export interface PeerSelection {
  /// Names of the VMs that it keeps a link to.
  readonly required: ReadonlySet<string>;
  /// Those that don't select this VM in turn, so that only this VM dials.
  readonly dialledHere: ReadonlySet<string>;
  /// Names of the hubs of each data centre, the first one to be preferred.
  /// Undefined if all VMs are alike.
  readonly hubs?: ReadonlyMap<string, readonly string[]>;
}

/// Selects links for fleets that are too large for a full mesh.
export interface LinkTopology {
  /// Selects `self`'s peers among `vms`, which include it. `isUsable` returns
  /// whether a VM is connected, or has not been dialled in vain.
  select(
    self: VmLocation,
    vms: readonly VmLocation[],
    isUsable: (vm: string) => boolean,
  ): PeerSelection;
}

/// Number of VMs up to which all connect to each other.
export const MAXIMUM_FULL_MESH_VMS = 32;
/// Number of links between each two data centres.
const BRIDGES_PER_DATA_CENTRE_PAIR = 3;

/// Returns the VMs of `dataCentre` that have a bridge to `other`, in the order in
/// which they are paired.
function bridgeEnds(
  vms: readonly VmLocation[],
  dataCentre: string,
  other: string,
): readonly string[] {
  const names = vms
    .filter((vm) => vm.dataCentre === dataCentre)
    .map((vm) => vm.name);
  const pair = [dataCentre, other].sort().join(" ");
  return rankByRendezvous(`bridge ${pair}`, names).slice(
    0,
    BRIDGES_PER_DATA_CENTRE_PAIR,
  );
}

/// Returns the names of the VMs at the other ends of `self`'s bridges.
function bridgePeers(self: VmLocation, vms: readonly VmLocation[]): string[] {
  const others = new Set(vms.map((vm) => vm.dataCentre));
  others.delete(self.dataCentre);
  const peers: string[] = [];
  for (const other of others) {
    const localEnds = bridgeEnds(vms, self.dataCentre, other);
    const remoteEnds = bridgeEnds(vms, other, self.dataCentre);
    const bridges = Math.max(localEnds.length, remoteEnds.length);
    for (let index = 0; index < bridges; index++) {
      if (localEnds[index % localEnds.length] !== self.name) continue;
      peers.push(remoteEnds[index % remoteEnds.length]!);
    }
  }
  return peers;
}

/// Returns the names of all VMs other than `self`: the peers in a full mesh.
export function allPeers(
  self: VmLocation,
  vms: readonly VmLocation[],
): ReadonlySet<string> {
  const names = vms.map((vm) => vm.name);
  return new Set(names.filter((name) => name !== self.name));
}

/// Returns the names of `self`'s peers above the limit of a full mesh.
export function sparsePeers(
  self: VmLocation,
  vms: readonly VmLocation[],
): ReadonlySet<string> {
  const others = vms.filter((vm) => vm.name !== self.name);
  const localVms = others.filter((vm) => vm.dataCentre === self.dataCentre);
  const bridges = bridgePeers(self, [...others, self]);
  return new Set([...localVms.map((vm) => vm.name), ...bridges]);
}

/// A full mesh in each data centre, and bridges between data centres.
export class BridgeTopology implements LinkTopology {
  select(self: VmLocation, vms: readonly VmLocation[]): PeerSelection {
    return { required: sparsePeers(self, vms), dialledHere: new Set() };
  }
}
