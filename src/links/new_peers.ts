import type { VmIdentity } from "../vms/identity.ts";
import type { Links } from "./links.ts";

/// Returns a function that returns the VMs that have connected or restarted since
/// its last call. These have not received earlier messages. With hubs, it returns
/// only VMs that this VM has a link to: others receive what was missed from the
/// VMs that they have a link to.
export function createNewPeers(links: Links): () => readonly VmIdentity[] {
  let previous = new Set<string>();
  const keyOf = ({ vm, incarnation }: VmIdentity) => `${vm} ${incarnation}`;
  return () => {
    const peers = links.hubs() ? links.neighbours() : links.peers();
    const added = peers.filter((peer) => !previous.has(keyOf(peer)));
    previous = new Set(peers.map(keyOf));
    return added;
  };
}
