import type { Milliseconds } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { LinkConnection } from "./link_connection.ts";

/// The VMs at the other end of this VM's own connections, one each.

export interface DirectPeer {
  readonly identity: VmIdentity;
  readonly connection: LinkConnection;
  readonly since: Milliseconds;
}

export interface DirectPeers {
  get(vm: string): DirectPeer | undefined;
  all(): readonly DirectPeer[];
  /// Takes a new connection, in place of an earlier one to the same VM.
  /// Returns false if the earlier one stays: of two connections that both
  /// ends opened at once, the one dialled by the smaller name is kept.
  add(peer: DirectPeer): boolean;
  /// Forgets the peer. Returns false if another connection took its place.
  remove(peer: DirectPeer): boolean;
}

export function createDirectPeers(self: VmIdentity): DirectPeers {
  const peers = new Map<string, DirectPeer>();

  const isPreferred = ({ identity, connection }: DirectPeer) =>
    (connection.role === "dialler") === (self.vm < identity.vm);

  return {
    get: (vm) => peers.get(vm),
    all: () => [...peers.values()],
    add(peer) {
      const { vm, incarnation } = peer.identity;
      const earlier = peers.get(vm);
      const isSameRun = earlier?.identity.incarnation === incarnation;
      if (earlier && isSameRun && isPreferred(earlier) && !isPreferred(peer)) {
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
