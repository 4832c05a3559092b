import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { encodeFrame, type PayloadFrame, type RelayFrame } from "./frame.ts";
import type { DirectPeer, DirectPeers } from "./direct_peers.ts";
import type { PresenceTable } from "./presence_table.ts";

/// Relays payloads to VMs without a direct link. A payload for one VM is sent to
/// the next hop on the route to it. A broadcast is flooded, and each VM delivers
/// it once. In each data centre, a few designated forwarders distribute the
/// broadcasts of other data centres, so that VMs don't receive a copy over every
/// bridge.

/// Maximum number of links that a relayed payload is sent over: to a bridge, over
/// it, through one more data centre, and on to the target.
const MAXIMUM_HOPS = 6;
/// Designated forwarders per data centre. With two, broadcasts are still received
/// while one of them has failed and no VM has detected the failure.
const FORWARDERS_PER_DATA_CENTRE = 2;
/// Number of recent broadcasts that are stored to detect duplicates.
const MAXIMUM_SEEN_BROADCASTS = 8_192;

export interface RelayOptions {
  readonly self: VmIdentity;
  readonly peers: DirectPeers;
  readonly presence: PresenceTable;
  /// Whether this VM is a hub; undefined if the topology has no hubs.
  readonly isHub?: () => boolean | undefined;
  /// Called with each payload for this VM.
  readonly deliver: (payload: PayloadFrame, origin: VmIdentity) => void;
}

export interface Relay {
  /// Sends to `target`, directly or over the next hop. Returns false if there is
  /// no route.
  send(target: string, payload: PayloadFrame, replaceKey?: string): boolean;
  /// Sends a broadcast over all links.
  flood(payload: PayloadFrame, replaceKey?: string): void;
  /// Sends to each target, directly or over its next hop.
  sendEach(
    targets: Iterable<string>,
    message: { readonly payload: PayloadFrame; readonly replaceKey?: string },
  ): void;
  /// Selects the designated forwarders again, after a change of direct peers.
  updateForwarders(): void;
  /// Delivers a frame from a peer, forwards it, or both.
  receive(frame: RelayFrame, from: VmIdentity): void;
}

export function createRelay(options: RelayOptions): Relay {
  const { self, peers, presence } = options;
  const seen = new Set<string>();
  let nextBroadcast = 0;

  /// Records a broadcast. Returns whether it has not been received before.
  const markSeen = ({ origin, id }: RelayFrame): boolean => {
    const key = `${origin.incarnation} ${id}`;
    if (seen.has(key)) return false;
    seen.add(key);
    if (seen.size > MAXIMUM_SEEN_BROADCASTS) {
      seen.delete(seen.values().next().value!);
    }
    return true;
  };

  const relayKeyOf = (frame: RelayFrame, replaceKey?: string) =>
    replaceKey && `${frame.origin.incarnation} ${replaceKey}`;

  const forward = (frame: RelayFrame, target: string) => {
    const nextHop = peers.get(target) ??
      peers.get(presence.nextHopTo(target) ?? "");
    nextHop?.connection.send(frame);
  };

  const isLocal = (vm: VmIdentity) => vm.dataCentre === self.dataCentre;

  /// Names of the designated forwarders of this data centre.
  let forwarders: readonly string[] = [self.vm];

  /// Returns the peers that a broadcast received from `from` is forwarded to, which
  /// never include `from`. Every VM forwards it to its peers in other data centres.
  /// If the broadcast originates in another data centre, a designated forwarder
  /// also forwards it to all local peers. A VM that is no designated forwarder and
  /// received it over a bridge also forwards it to the local designated forwarders.
  /// With hubs, only these forward: broadcasts of their data centre to all their
  /// peers, and others to the local ones.
  const forwardTargetsOf = (
    { origin }: RelayFrame,
    from: VmIdentity,
  ): readonly DirectPeer[] => {
    const isHub = options.isHub?.();
    if (isHub === false) return [];
    const others = peers.all().filter(({ identity }) =>
      identity.vm !== from.vm && identity.vm !== origin.vm
    );
    if (isHub) {
      return isLocal(origin)
        ? others
        : others.filter(({ identity }) => isLocal(identity));
    }
    if (isLocal(origin)) {
      return others.filter(({ identity }) => !isLocal(identity));
    }
    if (forwarders.includes(self.vm)) return others;
    return others.filter(({ identity }) =>
      !isLocal(identity) || (!isLocal(from) && forwarders.includes(identity.vm))
    );
  };

  const sendToAll = (
    frame: RelayFrame,
    { targets, replaceKey, batch }: {
      readonly targets: readonly DirectPeer[];
      readonly replaceKey?: string;
      readonly batch?: boolean;
    },
  ) => {
    if (targets.length === 0) return;
    const bytes = encodeFrame(frame);
    for (const { connection } of targets) {
      connection.sendEncoded(bytes, { replaceKey, batch });
    }
  };

  const send: Relay["send"] = (target, payload, replaceKey) => {
    const direct = peers.get(target);
    if (direct) {
      direct.connection.send(payload, replaceKey);
      return true;
    }
    const nextHop = peers.get(presence.nextHopTo(target) ?? "");
    if (!nextHop) return false;
    const frame: RelayFrame = {
      kind: "relay",
      origin: self,
      target,
      id: 0,
      hopsLeft: MAXIMUM_HOPS,
      payload,
    };
    const key = replaceKey && `${target} ${replaceKey}`;
    nextHop.connection.send(frame, relayKeyOf(frame, key));
    return true;
  };

  return {
    send,
    sendEach(targets, { payload, replaceKey }) {
      const bytes = encodeFrame(payload);
      for (const target of targets) {
        const direct = peers.get(target);
        if (direct) direct.connection.sendEncoded(bytes, { replaceKey });
        else send(target, payload, replaceKey);
      }
    },
    flood(payload, replaceKey) {
      const frame: RelayFrame = {
        kind: "relay",
        origin: self,
        id: nextBroadcast++,
        hopsLeft: MAXIMUM_HOPS,
        payload,
      };
      markSeen(frame);
      sendToAll(frame, {
        targets: peers.all(),
        replaceKey: relayKeyOf(frame, replaceKey),
      });
    },
    updateForwarders() {
      const localVms = peers.all()
        .map(({ identity }) => identity)
        .filter(isLocal)
        .map(({ vm }) => vm);
      forwarders = rankByRendezvous("spread", [self.vm, ...localVms])
        .slice(0, FORWARDERS_PER_DATA_CENTRE);
    },
    receive(frame, from) {
      const { target, origin, payload, hopsLeft } = frame;
      if (target === self.vm) return options.deliver(payload, origin);
      const forwarded = { ...frame, hopsLeft: hopsLeft - 1 };
      if (target !== undefined) {
        if (hopsLeft > 1) forward(forwarded, target);
        return;
      }
      if (!markSeen(frame)) return;
      options.deliver(payload, origin);
      if (hopsLeft <= 1) return;
      // Several broadcasts are usually in flight, so they can be batched.
      sendToAll(forwarded, {
        targets: forwardTargetsOf(frame, from),
        batch: true,
      });
    },
  };
}
