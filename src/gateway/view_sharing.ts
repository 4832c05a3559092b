import type { Milliseconds, Timer } from "../support/clock.ts";
import { startStoreFollowerSelection } from "./store_follower_selection.ts";
import { startViewCatchUp, type ViewCatchUpOptions } from "./view_catch_up.ts";
import { toChange, toEvent, viewChangesMessage } from "./view_messages.ts";

/// Shares the store's changes between VMs. A few VMs of each data centre follow
/// the store and broadcast its changes to the others. A VM that the store
/// refuses, or whose watch has stalled, also receives changes this way.

/// Maximum time for which changes are batched before they are broadcast. Each
/// VM waits for a random part of it, so that most find that other VMs have
/// broadcast the changes already.
const MAXIMUM_BATCH_DELAY_MILLISECONDS: Milliseconds = 40;
/// VMs that must have reported a revision for the others not to broadcast it.
const SUFFICIENT_BROADCASTERS = 2;
/// Larger values are not included in a broadcast: each VM fetches them once,
/// whereas it may receive a broadcast from several VMs.
const MAXIMUM_BROADCAST_VALUE_BYTES = 8_192;

export interface ViewSharingOptions extends ViewCatchUpOptions {
  /// Called with whether this VM is to follow the store, and the estimated
  /// number of followers; undefined if all VMs may follow it.
  readonly setActive: (isActive: boolean, followers?: number) => void;
}

export interface ViewSharing {
  close(): void;
}

export function startViewSharing(options: ViewSharingOptions): ViewSharing {
  const { clock, random, links, replica } = options;
  const catchUp = startViewCatchUp(options);
  const followerSelection = startStoreFollowerSelection({
    clock,
    links,
    revision: replica.revision,
    isConnected: options.isConnected,
    setActive: options.setActive,
    onRevisionReport: catchUp.recordReportedRevision,
  });
  let broadcastTimer: Timer | undefined;
  /// Revision before the changes of the next broadcast.
  let broadcastFrom: number | undefined;

  links.onMessage(viewChangesMessage, (message, { vm }) => {
    const { from, to, changes, relisting } = message;
    if (relisting > 0) options.onRelisting(relisting);
    const isComplete = message.isComplete && from <= replica.revision();
    replica.applyChanges(changes.map(toEvent), { peer: vm });
    if (isComplete) replica.advanceRevision(to);
    catchUp.recordReportedRevision(vm, to);
  });

  const broadcastChanges = () => {
    broadcastTimer = undefined;
    const from = broadcastFrom!;
    broadcastFrom = undefined;
    const to = replica.revision();
    if (catchUp.countVmsAtRevision(to) >= SUFFICIENT_BROADCASTERS) return;
    const { isWhole, events } = replica.changesSince(from);
    const small = events.filter(({ value }) =>
      value.value.length <= MAXIMUM_BROADCAST_VALUE_BYTES
    );
    links.broadcast(viewChangesMessage, {
      from,
      to,
      relisting: options.relisting(),
      isComplete: !isWhole && small.length === events.length,
      changes: isWhole ? [] : small.map(toChange),
    });
  };

  replica.onChange((_events, source) => {
    if (source !== "store") return;
    broadcastFrom ??= replica.revision();
    broadcastTimer ??= clock.schedule(
      random.next() * MAXIMUM_BATCH_DELAY_MILLISECONDS,
      broadcastChanges,
    );
  });

  return {
    close() {
      catchUp.close();
      followerSelection.close();
      broadcastTimer?.cancel();
    },
  };
}
