import type { Milliseconds, Timer } from "../support/clock.ts";
import { startStoreFollowerSelection } from "./store_follower_selection.ts";
import { startViewCatchUp, type ViewCatchUpOptions } from "./view_catch_up.ts";
import { toChange, toEvent, viewChangesMessage } from "./view_messages.ts";

/// VMs tell each other of the store's changes. In each data centre a few of
/// them follow the store; the others take the changes from those. A VM that the
/// store turns away, or whose watch is silent, so hears of changes too.

/// Longest time in which changes are gathered before others hear of them. Each
/// VM waits for another part of it, so that most find that others have spoken.
const GATHER_MILLISECONDS: Milliseconds = 40;
/// VMs whose word of a change is enough for the rest to keep silent.
const ENOUGH_ANNOUNCERS = 2;
/// Values above this size aren't sent along with changes: each VM fetches them
/// once, while a broadcast may reach it from several sides.
const LARGE_VALUE_BYTES = 8_192;
export interface ViewSharingOptions extends ViewCatchUpOptions {
  /// Called with whether this VM is to follow the store, and how many do as far
  /// as it knows; undefined if that may be all.
  readonly setActive: (isActive: boolean, followers?: number) => void;
}

export interface ViewSharing {
  close(): void;
}

export function startViewSharing(options: ViewSharingOptions): ViewSharing {
  const { clock, random, links, mirror } = options;
  const catchUp = startViewCatchUp(options);
  const readers = startStoreFollowerSelection({
    clock,
    links,
    revision: mirror.revision,
    isConnected: options.isConnected,
    setActive: options.setActive,
    onRevisionReport: catchUp.noteReportedRevision,
  });
  let announcing: Timer | undefined;
  /// Revision before the changes that others are to hear of.
  let announceFrom: number | undefined;

  links.onMessage(viewChangesMessage, (message, { vm }) => {
    const { from, to, changes, relisting } = message;
    if (relisting > 0) options.onRelisting(relisting);
    const isComplete = message.isComplete && from <= mirror.revision();
    mirror.applyChanges(changes.map(toEvent), "peer");
    if (isComplete) mirror.advanceRevision(to);
    catchUp.noteReportedRevision(vm, to);
  });

  const announce = () => {
    announcing = undefined;
    const from = announceFrom!;
    announceFrom = undefined;
    const to = mirror.revision();
    if (catchUp.countVmsAtRevision(to) >= ENOUGH_ANNOUNCERS) return;
    const { isWhole, events } = mirror.changesSince(from);
    const small = events.filter(({ value }) =>
      value.value.length <= LARGE_VALUE_BYTES
    );
    links.broadcast(viewChangesMessage, {
      from,
      to,
      relisting: options.relisting(),
      isComplete: !isWhole && small.length === events.length,
      changes: isWhole ? [] : small.map(toChange),
    });
  };

  mirror.onChange((_events, source) => {
    if (source !== "store") return;
    announceFrom ??= mirror.revision();
    announcing ??= clock.schedule(
      random.next() * GATHER_MILLISECONDS,
      announce,
    );
  });

  return {
    close() {
      catchUp.close();
      readers.close();
      announcing?.cancel();
    },
  };
}
