import type { Links } from "../links/links.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { revisionMessage } from "./view_messages.ts";

/// Decides whether this VM follows the store. In each data centre a few VMs do;
/// the others follow it themselves when they hear from too few of these.

/// VMs that follow the store in each data centre with many. If a third of all
/// VMs lose it at once, all readers of three data centres do so once in 700
/// times, and the rest then read late.
const READERS_PER_DATA_CENTRE = 2;
/// Up to this many VMs of a data centre all follow the store. VMs that others
/// rely on must notice its silence sooner, which takes more calls than leaving
/// one of three to the others would save.
const FEW_VMS = 3;
/// Readers that a VM must have heard lately to leave the store to them.
const ENOUGH_READERS = 1;
/// How often a reader says that it follows the store.
const WORD_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Age from which a reader's word counts no more: three of them missed.
const WORD_AGE_MILLISECONDS: Milliseconds = 1_600;

/// Those of the VMs of one data centre that are to follow the store.
function readersAmong(vms: readonly string[]): readonly string[] {
  if (vms.length <= FEW_VMS) return vms;
  return rankByRendezvous("reader", vms).slice(0, READERS_PER_DATA_CENTRE);
}

export interface StoreFollowerSelectionOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// Revision up to which this VM knows every change; 0 if it knows none.
  readonly revision: () => number;
  /// Whether this VM hears changes from the store itself.
  readonly isConnected: () => boolean;
  /// Called with whether this VM is to follow the store, and how many do as far
  /// as it knows; undefined if that may be all.
  readonly setActive: (isActive: boolean, followers?: number) => void;
  /// Called with the revision that another VM tells of.
  readonly onRevisionReport: (vm: string, revision: number) => void;
}

export interface StoreFollowerSelection {
  close(): void;
}

export function startStoreFollowerSelection(
  options: StoreFollowerSelectionOptions,
): StoreFollowerSelection {
  const { clock, links } = options;
  const { self } = links;
  const stop = new AbortController();
  const newPeers = createNewPeers(links);
  /// When each VM last said that it follows the store.
  const readers = new Map<string, Milliseconds>();

  const word = () => ({
    revision: options.revision(),
    isReader: options.isConnected(),
  });

  /// Names of the VMs that can be reached, and this one, by data centre.
  const vmsByDataCentre = () => {
    const names = new Map([[self.dataCentre, [self.vm]]]);
    for (const { vm, dataCentre } of links.peers()) {
      names.set(dataCentre, [...names.get(dataCentre) ?? [], vm]);
    }
    return names;
  };

  const decide = () => {
    const names = vmsByDataCentre();
    const here = readersAmong(names.get(self.dataCentre)!);
    const now = clock.now();
    const heard = here.filter((vm) =>
      now - (readers.get(vm) ?? -Infinity) < WORD_AGE_MILLISECONDS
    );
    const isLeft = options.revision() > 0 && heard.length >= ENOUGH_READERS;
    const followers = [...names.values()].reduce(
      (sum, vms) => sum + readersAmong(vms).length,
      0,
    );
    options.setActive(
      here.includes(self.vm) || !isLeft,
      isLeft ? followers : undefined,
    );
  };

  /// Whether peers hold this VM for a reader.
  let isKnownReader = false;
  const tellOfReading = () => {
    const { isReader } = word();
    if (!isReader && !isKnownReader) return;
    isKnownReader = isReader;
    for (const { vm, dataCentre } of links.peers()) {
      if (dataCentre === self.dataCentre) {
        links.send(vm, revisionMessage, word());
      }
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      decide();
      tellOfReading();
      await clock.sleep(WORD_INTERVAL_MILLISECONDS, stop.signal).catch(() => {
        // Closed while waiting; the loop ends.
      });
    }
  };

  links.onMessage(revisionMessage, ({ revision, isReader }, { vm }) => {
    if (isReader) readers.set(vm, clock.now());
    else if (readers.delete(vm)) decide();
    options.onRevisionReport(vm, revision);
  });

  links.onPeersChange(() => {
    for (const { vm } of newPeers()) links.send(vm, revisionMessage, word());
    const linked = new Set(links.peers().map(({ vm }) => vm));
    for (const vm of readers.keys()) if (!linked.has(vm)) readers.delete(vm);
  });

  void run();
  return { close: () => stop.abort(new Error("closed")) };
}
