import type { Links } from "../links/links.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { revisionMessage } from "./view_messages.ts";

/// Decides whether this VM follows the store. A few VMs of each data centre
/// follow it, or with hubs, the first hubs of a few data centres; the others also
/// follow it while they receive reports from too few of these.

/// Followers in each data centre with more than `MAXIMUM_VMS_ALL_FOLLOWING` VMs.
/// If a third of all VMs lose the store at once, there is a chance of 1 in 700
/// that these include all followers of three data centres. The other VMs then
/// receive changes late.
const FOLLOWERS_PER_DATA_CENTRE = 2;
/// Up to this many VMs of a data centre all follow the store. Followers that
/// other VMs depend on must detect a stalled watch sooner, which takes more
/// calls than one follower fewer among three would save.
const MAXIMUM_VMS_ALL_FOLLOWING = 3;
/// With hubs, number of data centres whose first hub follows the store. All hubs
/// learn within a report interval that one of them has lost it.
const DATA_CENTRES_WITH_FOLLOWER = 3;
/// Followers of its data centre that must have reported recently for a VM not
/// to follow the store itself.
const MINIMUM_LIVE_FOLLOWERS = 1;
/// Interval at which a follower reports that it follows the store.
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Time after its last report from which a follower is considered failed: three
/// reports are missing.
const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 1_600;

/// Selects from the VMs of one data centre those that follow the store.
function selectFollowers(vms: readonly string[]): readonly string[] {
  if (vms.length <= MAXIMUM_VMS_ALL_FOLLOWING) return vms;
  return rankByRendezvous("reader", vms).slice(0, FOLLOWERS_PER_DATA_CENTRE);
}

export interface StoreFollowerSelectionOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// Revision up to which this VM has every change; 0 if its replica is empty.
  readonly revision: () => number;
  /// Whether this VM receives changes from the store itself.
  readonly isConnected: () => boolean;
  /// Called with whether this VM is to follow the store, and the estimated
  /// number of followers; undefined if all VMs may follow it.
  readonly setActive: (isActive: boolean, followers?: number) => void;
  /// Called with the revision that another VM reports.
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
  /// When each follower last reported that it follows the store.
  const lastSeen = new Map<string, Milliseconds>();

  const report = () => ({
    revision: options.revision(),
    isReader: options.isConnected(),
  });

  /// Names of the reachable VMs and this one, by data centre.
  const vmsByDataCentre = () => {
    const names = new Map([[self.dataCentre, [self.vm]]]);
    for (const { vm, dataCentre } of links.peers()) {
      names.set(dataCentre, [...names.get(dataCentre) ?? [], vm]);
    }
    return names;
  };

  /// Names of the hubs that follow the store: enough of them even if the VMs are
  /// in fewer data centres than there are to be followers.
  const selectHubs = (): readonly string[] => {
    const dataCentres = rankByRendezvous("reader", [
      ...new Set([self, ...links.neighbours()].map((vm) => vm.dataCentre)),
    ]);
    const hubs = dataCentres.map((dataCentre) => links.hubs(dataCentre) ?? []);
    return [
      ...hubs.flatMap((names) => names.slice(0, 1)),
      ...hubs.flatMap((names) => names.slice(1)),
    ].slice(0, DATA_CENTRES_WITH_FOLLOWER);
  };

  const isLive = (vm: string) =>
    clock.now() - (lastSeen.get(vm) ?? -Infinity) < REPORT_TIMEOUT_MILLISECONDS;

  const isHub = () => links.hubs()?.includes(self.vm) ?? false;

  const updateSelection = () => {
    if (links.hubs()) {
      const canRely = options.revision() > 0 &&
        links.neighbours().some(({ vm }) => isLive(vm));
      const isSelected = isHub() && selectHubs().includes(self.vm);
      return options.setActive(
        isSelected || !canRely,
        canRely ? DATA_CENTRES_WITH_FOLLOWER : undefined,
      );
    }
    const names = vmsByDataCentre();
    const localFollowers = selectFollowers(names.get(self.dataCentre)!);
    const live = localFollowers.filter(isLive);
    const canRely = options.revision() > 0 &&
      live.length >= MINIMUM_LIVE_FOLLOWERS;
    const followers = [...names.values()].reduce(
      (sum, vms) => sum + selectFollowers(vms).length,
      0,
    );
    options.setActive(
      localFollowers.includes(self.vm) || !canRely,
      canRely ? followers : undefined,
    );
  };

  /// A hub reports to the other hubs whether it follows the store itself, and to
  /// the other VMs whether it receives the changes from any hub.
  const sendHubReports = () => {
    const own = report();
    const receives = own.isReader ||
      links.neighbours().some(({ vm }) => isLive(vm));
    const hubs = new Set(links.hubs());
    for (const { vm, dataCentre } of links.neighbours()) {
      const isToHub = dataCentre !== self.dataCentre || hubs.has(vm);
      links.send(vm, revisionMessage, {
        ...own,
        isReader: isToHub ? own.isReader : receives,
      });
    }
  };

  /// Whether the last periodic report stated that this VM follows the store.
  let wasFollower = false;
  const sendReports = () => {
    if (links.hubs()) return isHub() ? sendHubReports() : undefined;
    const { isReader } = report();
    if (!isReader && !wasFollower) return;
    wasFollower = isReader;
    for (const { vm, dataCentre } of links.peers()) {
      if (dataCentre === self.dataCentre) {
        links.send(vm, revisionMessage, report());
      }
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      updateSelection();
      sendReports();
      await clock.sleep(REPORT_INTERVAL_MILLISECONDS, stop.signal).catch(() => {
        // Aborted by close(); the loop ends.
      });
    }
  };

  links.onMessage(revisionMessage, ({ revision, isReader }, { vm }) => {
    if (isReader) lastSeen.set(vm, clock.now());
    else if (lastSeen.delete(vm)) updateSelection();
    options.onRevisionReport(vm, revision);
  });

  links.onPeersChange(() => {
    for (const { vm } of newPeers()) {
      // A VM that isn't a hub follows the store only for itself.
      const isReader = report().isReader && (!links.hubs() || isHub());
      links.send(vm, revisionMessage, { ...report(), isReader });
    }
    const linked = new Set(links.neighbours().map(({ vm }) => vm));
    for (const vm of lastSeen.keys()) if (!linked.has(vm)) lastSeen.delete(vm);
  });

  void run();
  return { close: () => stop.abort(new Error("closed")) };
}
