import type { VmIdentity } from "../vms/identity.ts";
import type { Links } from "./links.ts";

/// Returns a function that lists the VMs which have been linked, or have
/// started anew, since it was last called. They know nothing of what was told
/// before.
export function createNewPeers(links: Links): () => readonly VmIdentity[] {
  let known = new Set<string>();
  const runOf = ({ vm, incarnation }: VmIdentity) => `${vm} ${incarnation}`;
  return () => {
    const peers = links.peers();
    const added = peers.filter((peer) => !known.has(runOf(peer)));
    known = new Set(peers.map(runOf));
    return added;
  };
}
