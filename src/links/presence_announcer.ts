import type { Clock, Timer } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { DirectPeer, DirectPeers } from "./direct_peers.ts";
import type { PresenceTable } from "./presence_table.ts";

/// Tells peers which VMs this one reaches: its own data centre towards the
/// others, and the others, over its bridges, towards its own. Only changes
/// are sent.

/// Time in which changes are gathered.
const GATHER_MILLISECONDS = 50;

export interface PresenceAnnouncerOptions {
  readonly clock: Clock;
  readonly self: VmIdentity;
  readonly peers: DirectPeers;
  readonly presence: PresenceTable;
  /// Whether there are VMs without a direct link.
  readonly isSparse: () => boolean;
}

export interface PresenceAnnouncer {
  /// Announces what has changed, shortly.
  schedule(): void;
  close(): void;
}

type Announcements = ReadonlyMap<string, readonly VmIdentity[]>;

const byName = (left: VmIdentity, right: VmIdentity) =>
  left.vm < right.vm ? -1 : 1;

export function createPresenceAnnouncer(
  options: PresenceAnnouncerOptions,
): PresenceAnnouncer {
  const { clock, self, peers, presence } = options;
  const sent = new WeakMap<DirectPeer, Map<string, string>>();
  let timer: Timer | undefined;

  const membersOf = (dataCentre: string): readonly VmIdentity[] => {
    const direct = peers.all()
      .map((peer) => peer.identity)
      .filter((identity) => identity.dataCentre === dataCentre);
    if (dataCentre === self.dataCentre) return [self, ...direct];
    const vias = new Set(direct.map((identity) => identity.vm));
    const over = presence.membersOver(vias, dataCentre)
      .filter((identity) => !vias.has(identity.vm));
    return [...direct, ...over];
  };

  const bridgedDataCentres = () => {
    const found = new Set(peers.all().map((peer) => peer.identity.dataCentre));
    found.delete(self.dataCentre);
    return [...found];
  };

  const announcementsFor = (peer: DirectPeer): Announcements => {
    if (!options.isSparse()) return new Map();
    const isLocal = peer.identity.dataCentre === self.dataCentre;
    const shown = isLocal ? bridgedDataCentres() : [self.dataCentre];
    return new Map(shown.map((dataCentre) => {
      const members = membersOf(dataCentre)
        .filter((identity) => identity.vm !== peer.identity.vm);
      return [dataCentre, [...members].sort(byName)];
    }));
  };

  const announceTo = (peer: DirectPeer) => {
    const wanted = announcementsFor(peer);
    const earlier = sent.get(peer) ?? new Map<string, string>();
    sent.set(peer, earlier);
    for (const dataCentre of new Set([...earlier.keys(), ...wanted.keys()])) {
      const members = [...wanted.get(dataCentre) ?? []];
      const text = JSON.stringify(members);
      if ((earlier.get(dataCentre) ?? "[]") === text) continue;
      earlier.set(dataCentre, text);
      const frame = { kind: "presence" as const, dataCentre, members };
      peer.connection.send(frame, `presence ${dataCentre}`);
    }
  };

  return {
    schedule() {
      timer ??= clock.schedule(GATHER_MILLISECONDS, () => {
        timer = undefined;
        peers.all().forEach(announceTo);
      });
    },
    close: () => timer?.cancel(),
  };
}
