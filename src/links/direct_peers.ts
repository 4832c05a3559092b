import type { Milliseconds } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { LinkConnection } from "./link_connection.ts";

/// The VMs that this VM has a connection to, with one connection each.

export interface DirectPeer {
  readonly identity: VmIdentity;
  readonly connection: LinkConnection;
  /// When the handshake was completed.
  readonly connectedAt: Milliseconds;
}

export interface DirectPeers {
  get(vm: string): DirectPeer | undefined;
  all(): readonly DirectPeer[];
  /// Adds a connection and closes an earlier one to the same VM. Returns false
  /// if the earlier one is kept instead: of two connections that the VMs dialled
  /// to each other, the one dialled by the VM with the smaller name is kept. A
  /// connection to another incarnation of the VM is always replaced.
  add(peer: DirectPeer): boolean;
  /// Removes the peer. Returns false if another connection has replaced it.
  remove(peer: DirectPeer): boolean;
}

export function createDirectPeers(self: VmIdentity): DirectPeers {
  const peers = new Map<string, DirectPeer>();

  /// Whether the VM with the smaller name dialled the connection. Both VMs come
  /// to the same result.
  const isPreferred = ({ identity, connection }: DirectPeer) =>
    (connection.role === "dialler") === (self.vm < identity.vm);

  return {
    get: (vm) => peers.get(vm),
    all: () => [...peers.values()],
    add(peer) {
      const { vm, incarnation } = peer.identity;
      const earlier = peers.get(vm);
      const isSameIncarnation = earlier?.identity.incarnation === incarnation;
      if (
        earlier && isSameIncarnation && isPreferred(earlier) &&
        !isPreferred(peer)
      ) {
        return false;
      }
      peers.set(vm, peer);
      earlier?.connection.close("replaced");
      return true;
    },
    remove(peer) {
      if (peers.get(peer.identity.vm) !== peer) return false;
      return peers.delete(peer.identity.vm);
    },
  };
}
