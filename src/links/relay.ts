import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { encodeFrame, type PayloadFrame, type RelayFrame } from "./frame.ts";
import type { DirectPeer, DirectPeers } from "./direct_peers.ts";
import type { PresenceTable } from "./presence_table.ts";

/// Carries payloads to VMs without a direct link: a payload for one VM goes
/// over a VM that reaches it, a broadcast floods and each VM takes it once. In
/// each data centre few VMs spread what comes from another one, so that VMs
/// don't get it over every bridge.

/// Links that a relayed payload may cross: to a bridge, over it, through one
/// more data centre, and on to the target.
const HOP_LIMIT = 6;
/// VMs of a data centre that spread broadcasts of others. With two, a broadcast
/// arrives though one of them has failed and nobody has noticed yet.
const SPREADERS = 2;
/// Broadcasts that are remembered to tell repeated ones.
const REMEMBERED_BROADCASTS = 8_192;

export interface RelayOptions {
  readonly self: VmIdentity;
  readonly peers: DirectPeers;
  readonly presence: PresenceTable;
  readonly deliver: (payload: PayloadFrame, origin: VmIdentity) => void;
}

export interface Relay {
  /// Sends towards `target`, directly if it can. Returns false without a way.
  send(target: string, payload: PayloadFrame, replaceKey?: string): boolean;
  /// Sends to every VM over all links.
  flood(payload: PayloadFrame, replaceKey?: string): void;
  /// Sends to each target, directly if it can.
  sendEach(
    targets: Iterable<string>,
    message: { readonly payload: PayloadFrame; readonly replaceKey?: string },
  ): void;
  /// Takes note of direct peers that have come or gone.
  peersChanged(): void;
  /// Takes a frame from a peer: delivers it or passes it on.
  receive(frame: RelayFrame, from: VmIdentity): void;
}

export function createRelay(options: RelayOptions): Relay {
  const { self, peers, presence } = options;
  const seen = new Set<string>();
  let nextBroadcast = 0;

  /// Whether this broadcast is new here.
  const remember = ({ origin, id }: RelayFrame): boolean => {
    const key = `${origin.incarnation} ${id}`;
    if (seen.has(key)) return false;
    seen.add(key);
    if (seen.size > REMEMBERED_BROADCASTS) {
      seen.delete(seen.values().next().value!);
    }
    return true;
  };

  const keyOf = (frame: RelayFrame, replaceKey?: string) =>
    replaceKey && `${frame.origin.incarnation} ${replaceKey}`;

  const pass = (frame: RelayFrame, target: string) => {
    const next = peers.get(target) ??
      peers.get(presence.routeTo(target) ?? "");
    next?.connection.send(frame);
  };

  const isHere = (vm: VmIdentity) => vm.dataCentre === self.dataCentre;

  /// Names of the VMs that spread broadcasts of other data centres in this one.
  let spreaders: readonly string[] = [self.vm];

  /// A broadcast from this data centre goes on over the bridges. One from
  /// outside goes on over them too, and here to all from a spreader and to the
  /// spreaders from others.
  const nextOf = (
    { origin }: RelayFrame,
    from: VmIdentity,
  ): readonly DirectPeer[] => {
    const others = peers.all().filter(({ identity }) =>
      identity.vm !== from.vm
    );
    if (isHere(origin)) {
      return others.filter(({ identity }) => !isHere(identity));
    }
    if (spreaders.includes(self.vm)) return others;
    return others.filter(({ identity }) =>
      !isHere(identity) || (!isHere(from) && spreaders.includes(identity.vm))
    );
  };

  const sendToAll = (
    frame: RelayFrame,
    { targets, replaceKey, mayWait }: {
      readonly targets: readonly DirectPeer[];
      readonly replaceKey?: string;
      readonly mayWait?: boolean;
    },
  ) => {
    if (targets.length === 0) return;
    const bytes = encodeFrame(frame);
    for (const { connection } of targets) {
      connection.sendEncoded(bytes, { replaceKey, mayWait });
    }
  };

  const send: Relay["send"] = (target, payload, replaceKey) => {
    const direct = peers.get(target);
    if (direct) {
      direct.connection.send(payload, replaceKey);
      return true;
    }
    const via = peers.get(presence.routeTo(target) ?? "");
    if (!via) return false;
    const frame: RelayFrame = {
      kind: "relay",
      origin: self,
      target,
      id: 0,
      hopsLeft: HOP_LIMIT,
      payload,
    };
    const key = replaceKey && `${target} ${replaceKey}`;
    via.connection.send(frame, keyOf(frame, key));
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
        hopsLeft: HOP_LIMIT,
        payload,
      };
      remember(frame);
      sendToAll(frame, {
        targets: peers.all(),
        replaceKey: keyOf(frame, replaceKey),
      });
    },
    peersChanged() {
      const here = peers.all()
        .map(({ identity }) => identity)
        .filter(isHere)
        .map(({ vm }) => vm);
      spreaders = rankByRendezvous("spread", [self.vm, ...here])
        .slice(0, SPREADERS);
    },
    receive(frame, from) {
      const { target, origin, payload, hopsLeft } = frame;
      if (target === self.vm) return options.deliver(payload, origin);
      const onward = { ...frame, hopsLeft: hopsLeft - 1 };
      if (target !== undefined) {
        if (hopsLeft > 1) pass(onward, target);
        return;
      }
      if (!remember(frame)) return;
      options.deliver(payload, origin);
      if (hopsLeft <= 1) return;
      // Several are on their way at a time, so that they can share a message.
      sendToAll(onward, { targets: nextOf(frame, from), mayWait: true });
    },
  };
}
