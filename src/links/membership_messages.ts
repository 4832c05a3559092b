import type { Clock } from "../support/clock.ts";
import { VmIdentity } from "../vms/identity.ts";
import type { Membership } from "../vms/membership.ts";
import type { Links } from "./links.ts";
import { defineMessage } from "./message.ts";

/// Broadcasts that this VM leaves, and notifies incarnations that this VM has
/// declared gone, since they may not rejoin.

const LeavingMessage = defineMessage("vms.leaving", VmIdentity, {
  replaceKey: ({ vm, incarnation }) => `${vm} ${incarnation}`,
});
const GoneMessage = defineMessage("vms.gone", VmIdentity, {
  replaceKey: ({ vm, incarnation }) => `${vm} ${incarnation}`,
});

/// Interval at which a leaving VM broadcasts its state.
const LEAVING_INTERVAL_MILLISECONDS = 1_000;

export interface MembershipMessagesOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly membership: Membership;
  /// Called once, after a peer has declared this incarnation gone.
  readonly onDeclaredGone: () => void;
}

export interface MembershipMessages {
  close(): void;
}

export function startMembershipMessages(
  options: MembershipMessagesOptions,
): MembershipMessages {
  const { clock, links, membership } = options;
  const { self } = membership;
  const stop = new AbortController();
  let expelled = false;

  const isLeaving = () => !membership.candidates().includes(self.vm);

  const sendStates = () => {
    if (isLeaving()) links.broadcast(LeavingMessage, self);
    for (const peer of links.peers()) {
      if (!membership.isGone(peer.vm, peer.incarnation)) continue;
      links.send(peer.vm, GoneMessage, peer);
    }
  };

  const broadcastLeaving = async () => {
    while (!stop.signal.aborted) {
      if (isLeaving()) sendStates();
      await clock.sleep(LEAVING_INTERVAL_MILLISECONDS, stop.signal).catch(
        () => {},
      );
    }
  };

  links.onMessage(LeavingMessage, (identity, from) => {
    if (identity.vm === from.vm) membership.advance(identity, "leaving");
  });
  links.onMessage(GoneMessage, ({ vm, incarnation }) => {
    const isSelf = vm === self.vm && incarnation === self.incarnation;
    if (!isSelf || expelled) return;
    expelled = true;
    options.onDeclaredGone();
  });
  links.onPeersChange(sendStates);
  membership.onChange(sendStates);
  void broadcastLeaving();
  return { close: () => stop.abort(new Error("closed")) };
}
