import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { VmIdentity } from "./identity.ts";

/// Which VMs there are and which of them may be given duties. It unites the
/// platform's list, which lags, with the VMs that answer on the links. The
/// state of an incarnation only moves forward: live, leaving, gone.

export type MemberState = "live" | "leaving" | "gone";

export interface Member {
  readonly vm: string;
  readonly dataCentre: string;
  /// Undefined for a VM that is listed and has never been connected.
  readonly incarnation: string | undefined;
  readonly state: MemberState;
  /// Whether messages reach it now.
  readonly reachable: boolean;
}

/// The VMs that answer now, as the links see them.
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
  /// Every VM that is not gone, this one included, by name.
  members(): readonly Member[];
  /// Names of the VMs that may be given new duties: live and reachable, this
  /// one included unless it is leaving.
  candidates(): readonly string[];
  /// Whether this incarnation is known to have ended.
  isGone(vm: string, incarnation: string): boolean;
  /// Moves an incarnation forward.
  note(identity: VmIdentity, state: "leaving" | "gone"): void;
  /// Marks this VM as leaving.
  leave(): void;
  onChange(listener: () => void): void;
  close(): void;
}

const LIST_INTERVAL_MILLISECONDS = 1_000;
/// Time a VM has to be both unreachable and off the list before it is gone.
const GONE_GRACE_MILLISECONDS = 10_000;
/// Longest lag of the list: for this long after an incarnation first appears,
/// the list may still speak of the one before it.
const LIST_LAG_MILLISECONDS = 30_000;
/// Ended incarnations that are remembered.
const REMEMBERED_GONE = 4_096;

const ORDER: Readonly<Record<MemberState, number>> = {
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
  let listRead = false;
  let shown = "";

  const keyOf = (identity: VmIdentity) =>
    `${identity.vm} ${identity.incarnation}`;

  const advance = (record: MemberRecord, state: MemberState) => {
    if (ORDER[state] <= ORDER[record.state]) return;
    record.state = state;
    log.info("VM state", { peer: record.identity.vm, state });
    if (state !== "gone") return;
    gone.add(keyOf(record.identity));
    if (gone.size > REMEMBERED_GONE) gone.delete(gone.values().next().value!);
    if (records.get(record.identity.vm) === record) {
      records.delete(record.identity.vm);
    }
  };

  const meet = (identity: VmIdentity): MemberRecord | undefined => {
    const known = records.get(identity.vm);
    const isNamesake = identity.vm === self.vm &&
      identity.incarnation !== self.incarnation;
    if (isNamesake || gone.has(keyOf(identity))) return undefined;
    if (known?.identity.incarnation === identity.incarnation) return known;
    if (known) advance(known, "gone");
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

  const own = meet(self)!;
  own.reachable = true;

  const members = (): readonly Member[] => {
    const found = [...records.values()].map((record): Member => ({
      ...record.identity,
      state: record.state,
      reachable: record.reachable,
    }));
    for (const { name, dataCentre, state } of listed.values()) {
      if (records.has(name)) continue;
      const unknown = { incarnation: undefined, reachable: false };
      found.push({ vm: name, dataCentre, state, ...unknown });
    }
    return found.sort((left, right) => left.vm < right.vm ? -1 : 1);
  };

  const notify = () => {
    const current = JSON.stringify(members());
    if (current === shown) return;
    shown = current;
    listeners.forEach((listener) => listener());
  };

  /// Whether the list has had the time to show this incarnation.
  const listCovers = (record: MemberRecord) =>
    clock.now() - record.firstSeenAt > LIST_LAG_MILLISECONDS;

  const applyListTo = (record: MemberRecord) => {
    const entry = listed.get(record.identity.vm);
    const covered = listCovers(record);
    if (entry?.state === "leaving" && covered) advance(record, "leaving");
    const absent = listRead && !entry && !record.reachable && covered;
    if (!absent) return void (record.absentSince = undefined);
    record.absentSince ??= clock.now();
    if (clock.now() - record.absentSince >= GONE_GRACE_MILLISECONDS) {
      advance(record, "gone");
    }
  };

  const applyPeers = () => {
    const reachable = new Set([own]);
    for (const identity of peers.peers()) {
      const record = meet(identity);
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
      listRead = true;
    } catch (error) {
      log.warn("VM list unreadable", { reason: (error as Error).message });
    }
  };

  const followList = async () => {
    while (!stop.signal.aborted) {
      await readList();
      for (const record of [...records.values()]) applyListTo(record);
      notify();
      await clock.sleep(LIST_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  peers.onPeersChange(applyPeers);
  applyPeers();
  void followList();

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
    note(identity, state) {
      const record = meet(identity);
      if (record) advance(record, state);
      notify();
    },
    leave() {
      advance(own, "leaving");
      notify();
    },
    onChange: (listener) => void listeners.push(listener),
    close: () => stop.abort(new Error("closed")),
  };
}
