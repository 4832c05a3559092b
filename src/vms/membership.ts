import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { VmIdentity } from "./identity.ts";

/// Tracks which VMs exist and which of them may be assigned work. It combines the
/// platform's VM list, which lags, with the VMs that are connected over links.
/// The state of an incarnation only advances: live, leaving, gone.

export type MemberState = "live" | "leaving" | "gone";

export interface Member {
  readonly vm: string;
  readonly dataCentre: string;
  /// Undefined for a listed VM that has never been connected.
  readonly incarnation: string | undefined;
  readonly state: MemberState;
  /// Whether the VM is connected.
  readonly reachable: boolean;
}

/// Source of the connected VMs.
export interface PeerSource {
  peers(): readonly VmIdentity[];
  onPeersChange(listener: () => void): void;
}

export interface MembershipOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: VmIdentity;
  readonly vmList: VmList;
  readonly peers: PeerSource;
}

export interface Membership {
  readonly self: VmIdentity;
  /// Returns all VMs that are not gone, including this one, sorted by name.
  members(): readonly Member[];
  /// Returns the names of the VMs that may be assigned new work: those that are
  /// live and reachable, including this one unless it is leaving.
  candidates(): readonly string[];
  /// Whether this incarnation has been declared gone.
  isGone(vm: string, incarnation: string): boolean;
  /// Advances the state of an incarnation. An earlier state has no effect.
  advance(identity: VmIdentity, state: "leaving" | "gone"): void;
  /// Sets this VM's state to leaving.
  leave(): void;
  /// Calls `listener` after a change of `members`.
  onChange(listener: () => void): void;
  close(): void;
}

const LIST_POLL_INTERVAL_MILLISECONDS = 1_000;
/// Time for which a VM has to be both unreachable and missing from the list
/// before it is declared gone.
const GONE_DELAY_MILLISECONDS = 10_000;
/// For this time after an incarnation first appears, the list may still describe
/// the previous incarnation.
const MAXIMUM_LIST_LAG_MILLISECONDS = 30_000;
/// Number of gone incarnations that are stored, so that they can't rejoin.
const MAXIMUM_GONE = 4_096;

const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  gone: 2,
};

interface MemberRecord {
  readonly identity: VmIdentity;
  readonly firstSeenAt: Milliseconds;
  state: MemberState;
  reachable: boolean;
  absentSince: Milliseconds | undefined;
}

export function createMembership(options: MembershipOptions): Membership {
  const { clock, log, self, vmList, peers } = options;
  const records = new Map<string, MemberRecord>();
  const gone = new Set<string>();
  const listeners: (() => void)[] = [];
  const stop = new AbortController();
  let listed = new Map<string, ListedVm>();
  let hasReadList = false;
  let lastNotified = "";

  const keyOf = (identity: VmIdentity) =>
    `${identity.vm} ${identity.incarnation}`;

  const advanceTo = (record: MemberRecord, state: MemberState) => {
    if (STATE_ORDER[state] <= STATE_ORDER[record.state]) return;
    record.state = state;
    log.info("VM state changed", { peer: record.identity.vm, state });
    if (state !== "gone") return;
    gone.add(keyOf(record.identity));
    if (gone.size > MAXIMUM_GONE) gone.delete(gone.values().next().value!);
    if (records.get(record.identity.vm) === record) {
      records.delete(record.identity.vm);
    }
  };

  const findOrCreateRecord = (
    identity: VmIdentity,
  ): MemberRecord | undefined => {
    const known = records.get(identity.vm);
    const isDuplicateOfSelf = identity.vm === self.vm &&
      identity.incarnation !== self.incarnation;
    if (isDuplicateOfSelf || gone.has(keyOf(identity))) return undefined;
    if (known?.identity.incarnation === identity.incarnation) return known;
    if (known) advanceTo(known, "gone");
    const record: MemberRecord = {
      identity,
      firstSeenAt: clock.now(),
      state: "live",
      reachable: false,
      absentSince: undefined,
    };
    records.set(identity.vm, record);
    return record;
  };

  const ownRecord = findOrCreateRecord(self)!;
  ownRecord.reachable = true;

  const members = (): readonly Member[] => {
    const found = [...records.values()].map((record): Member => ({
      ...record.identity,
      state: record.state,
      reachable: record.reachable,
    }));
    for (const { name, dataCentre, state } of listed.values()) {
      if (records.has(name)) continue;
      const notConnected = { incarnation: undefined, reachable: false };
      found.push({ vm: name, dataCentre, state, ...notConnected });
    }
    return found.sort((left, right) => left.vm < right.vm ? -1 : 1);
  };

  const notify = () => {
    const current = JSON.stringify(members());
    if (current === lastNotified) return;
    lastNotified = current;
    listeners.forEach((listener) => listener());
  };

  /// Whether the incarnation is older than the list's lag, so that the list
  /// describes it.
  const isCoveredByList = (record: MemberRecord) =>
    clock.now() - record.firstSeenAt > MAXIMUM_LIST_LAG_MILLISECONDS;

  const applyList = (record: MemberRecord) => {
    const entry = listed.get(record.identity.vm);
    const isCovered = isCoveredByList(record);
    if (entry?.state === "leaving" && isCovered) advanceTo(record, "leaving");
    const isAbsent = hasReadList && !entry && !record.reachable && isCovered;
    if (!isAbsent) return void (record.absentSince = undefined);
    record.absentSince ??= clock.now();
    if (clock.now() - record.absentSince >= GONE_DELAY_MILLISECONDS) {
      advanceTo(record, "gone");
    }
  };

  const applyPeers = () => {
    const reachable = new Set([ownRecord]);
    for (const identity of peers.peers()) {
      const record = findOrCreateRecord(identity);
      if (record) reachable.add(record);
    }
    for (const record of records.values()) {
      record.reachable = reachable.has(record);
    }
    notify();
  };

  const readList = async () => {
    try {
      const vms = await vmList.read();
      const entries = vms.filter((vm) => vm.kind !== "upstream");
      listed = new Map(entries.map((vm) => [vm.name, vm]));
      hasReadList = true;
    } catch (error) {
      log.warn("failed to read the VM list", {
        reason: (error as Error).message,
      });
    }
  };

  const pollList = async () => {
    while (!stop.signal.aborted) {
      await readList();
      for (const record of [...records.values()]) applyList(record);
      notify();
      await clock.sleep(LIST_POLL_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  peers.onPeersChange(applyPeers);
  applyPeers();
  void pollList();

  return {
    self,
    members,
    candidates: () =>
      [...records.values()]
        .filter((record) => record.state === "live" && record.reachable)
        .map((record) => record.identity.vm)
        .sort(),
    isGone: (vm, incarnation) =>
      gone.has(keyOf({ vm, incarnation, dataCentre: "" })),
    advance(identity, state) {
      const record = findOrCreateRecord(identity);
      if (record) advanceTo(record, state);
      notify();
    },
    leave() {
      advanceTo(ownRecord, "leaving");
      notify();
    },
    onChange: (listener) => void listeners.push(listener),
    close: () => stop.abort(new Error("closed")),
  };
}
