import type { Clock, Timer } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { DirectPeer, DirectPeers } from "./direct_peers.ts";
import type { PresenceTable } from "./presence_table.ts";

/// Announces to peers which VMs can be reached over this one: to peers in other
/// data centres the VMs of its own, and to peers in its own data centre the VMs
/// that it reaches over its bridges. Only changes are sent.

/// Delay in which changes are collected into one announcement.
const ANNOUNCEMENT_DELAY_MILLISECONDS = 50;
/// The delay of a hub, whose announcements go to all VMs of its data centre.
const HUB_ANNOUNCEMENT_DELAY_MILLISECONDS = 400;

export interface PresenceAnnouncerOptions {
  readonly clock: Clock;
  readonly self: VmIdentity;
  readonly peers: DirectPeers;
  readonly presence: PresenceTable;
  /// Whether the VMs are too many for a full mesh.
  readonly isSparse: () => boolean;
  /// Whether this VM is a hub; undefined if the topology has no hubs. With hubs,
  /// only these announce.
  readonly isHub: () => boolean | undefined;
}

export interface PresenceAnnouncer {
  /// Schedules an announcement of changes after a short delay.
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
  const lastSent = new WeakMap<DirectPeer, Map<string, string>>();
  let timer: Timer | undefined;

  const membersOf = (dataCentre: string): readonly VmIdentity[] => {
    const direct = peers.all()
      .map((peer) => peer.identity)
      .filter((identity) => identity.dataCentre === dataCentre);
    if (dataCentre === self.dataCentre) return [self, ...direct];
    const nextHops = new Set(direct.map((identity) => identity.vm));
    const relayed = presence.membersVia(nextHops, dataCentre)
      .filter((identity) => !nextHops.has(identity.vm));
    return [...direct, ...relayed];
  };

  const bridgedDataCentres = () => {
    const found = new Set(peers.all().map((peer) => peer.identity.dataCentre));
    found.delete(self.dataCentre);
    return [...found];
  };

  const announcementsFor = (peer: DirectPeer): Announcements => {
    const isHub = options.isHub();
    if (!options.isSparse() || isHub === false) return new Map();
    const isLocal = peer.identity.dataCentre === self.dataCentre;
    const announced = isLocal
      ? [...isHub ? [self.dataCentre] : [], ...bridgedDataCentres()]
      : [self.dataCentre];
    return new Map(announced.map((dataCentre) => {
      const members = membersOf(dataCentre)
        .filter((identity) => identity.vm !== peer.identity.vm);
      return [dataCentre, [...members].sort(byName)];
    }));
  };

  const announceTo = (peer: DirectPeer) => {
    const current = announcementsFor(peer);
    const earlier = lastSent.get(peer) ?? new Map<string, string>();
    lastSent.set(peer, earlier);
    for (const dataCentre of new Set([...earlier.keys(), ...current.keys()])) {
      const members = [...current.get(dataCentre) ?? []];
      const text = JSON.stringify(members);
      if ((earlier.get(dataCentre) ?? "[]") === text) continue;
      earlier.set(dataCentre, text);
      const frame = { kind: "presence" as const, dataCentre, members };
      peer.connection.send(frame, `presence ${dataCentre}`);
    }
  };

  return {
    schedule() {
      const delay = options.isHub()
        ? HUB_ANNOUNCEMENT_DELAY_MILLISECONDS
        : ANNOUNCEMENT_DELAY_MILLISECONDS;
      timer ??= clock.schedule(delay, () => {
        timer = undefined;
        peers.all().forEach(announceTo);
      });
    },
    close: () => timer?.cancel(),
  };
}
