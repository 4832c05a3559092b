import type { Links } from "../links/links.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import {
  clearMessage,
  type CrashRecord,
  marksMessage,
  reportCall,
} from "./crash_record.ts";
import {
  type CrashedRequest,
  createCrashTable,
  partKey,
} from "./crash_table.ts";

/// Records which requests were running on upstreams when these crashed, and
/// shares the records with every VM of the fleet.

const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 500;
/// Records of one upstream within this time belong to the same crash. A probe
/// that shows a crash takes up to two seconds.
const SAME_CRASH_MILLISECONDS: Milliseconds = 3_000;

/// Characters of a fingerprint in log lines.
const LOGGED_FINGERPRINT_LENGTH = 12;

/// Returns the part of a fingerprint that log lines contain.
export function abbreviateFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, LOGGED_FINGERPRINT_LENGTH);
}

/// A request whose upstream has crashed. Without a process or an upstream, each
/// record counts as a crash of its own.
export interface ObservedCrash {
  readonly fingerprint: string;
  /// Identifies the process that crashed.
  readonly process?: string;
  /// The upstream, if its processes have no identity: its crashes are numbered.
  readonly upstream?: string;
  /// IDs of the parts of its prompt that other requests may share.
  readonly parts?: readonly string[];
  /// Time for which the request had been on the upstream.
  readonly ran: Milliseconds;
  /// Whether it was sent there after an earlier upstream had crashed with it.
  readonly isRetry?: boolean;
}

export interface CrashRecords {
  /// Number of crashes during which a request with this fingerprint ran.
  count(fingerprint: string): number;
  /// IDs of all crashes.
  crashes(): readonly string[];
  /// IDs of the crashes in which a key took part: a fingerprint, or the key of
  /// a part.
  crashesOf(key: string): readonly string[];
  /// The requests that took part in a crash.
  requestsIn(crash: string): readonly CrashedRequest[];
  /// Whether a request with the key has completed at this VM, or at another one
  /// after a crash.
  hasCompleted(key: string): boolean;
  /// Time of a crash.
  timeOf(crash: string): Milliseconds;
  /// Time since a crash.
  ageOf(crash: string): Milliseconds;
  /// Position of this VM, from 0 to less than 1, in the order in which the VMs
  /// try a refused key again.
  turnOf(key: string): number;
  /// Time until the last crash of a key expires.
  remaining(key: string): Milliseconds;
  /// Records a crash and reports it to all connected VMs. Resolves when they
  /// have confirmed, or after a bounded time; with hubs, once it is sent.
  record(crash: ObservedCrash): Promise<void>;
  /// Removes the crashes of a request that has completed, and of the parts of
  /// its prompt, on all VMs.
  clear(fingerprint: string, parts?: readonly string[]): void;
  /// The records of the requests of a crash that have a key.
  recordsOf(crash: string, key: string): readonly CrashRecord[];
  /// Adds records that were kept elsewhere.
  restore(records: readonly CrashRecord[]): void;
}

interface NumberedCrash {
  readonly upstream: string;
  readonly number: number;
}

function idOf({ upstream, number }: NumberedCrash): string {
  return `${upstream} ${number}`;
}

export interface CrashRecordsOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly log: Logger;
  /// Called for each record that is added, with the VM that reported it.
  readonly onRecorded?: (vm: string) => void;
  /// Called for each key that has caused none of its crashes, with the VM that has
  /// found this out.
  readonly onCleared?: (key: string, vm: string) => void;
}

/// The source of restored records in log lines.
const RESTORED = "store";

export function createCrashRecords(options: CrashRecordsOptions): CrashRecords {
  const { clock, links, log } = options;
  const table = createCrashTable(clock);
  const newPeers = createNewPeers(links);
  /// The last crash of each upstream whose crashes are numbered.
  const lastCrashes = new Map<string, { number: number; at: Milliseconds }>();
  let nextId = 0;

  /// Numbers the crashes of an upstream. VMs that observe the same crash, and
  /// know of the same earlier ones, give it the same number.
  const numberCrash = (upstream: string): NumberedCrash => {
    const last = lastCrashes.get(upstream) ?? { number: 0, at: -Infinity };
    const isSame = clock.now() - last.at < SAME_CRASH_MILLISECONDS;
    return { upstream, number: isSame ? last.number : last.number + 1 };
  };

  const recordNumber = ({ numbered, age }: CrashRecord) => {
    if (!numbered) return;
    const { upstream, number } = numbered;
    if (number <= (lastCrashes.get(upstream)?.number ?? 0)) return;
    lastCrashes.set(upstream, { number, at: clock.now() - age });
  };

  const add = (record: CrashRecord, vm: string) => {
    const { fingerprint, id, age, parts = [], ran = 0 } = record;
    recordNumber(record);
    const isRetry = record.isRetry === true;
    const request = { crash: id, fingerprint, parts, ran, isRetry };
    if (!table.add(request, age)) return;
    options.onRecorded?.(vm);
    log.warn("crash recorded", {
      fingerprint: abbreviateFingerprint(fingerprint),
      promptParts: parts.join() || undefined,
      crash: id,
      reportedBy: vm,
      age: Math.round(age),
      crashes: table.crashesOf(fingerprint).length,
    });
  };

  const remove = (
    key: string,
    { ids, vm }: { ids: readonly string[]; vm: string },
  ) => {
    log.info("crashes cleared", {
      fingerprint: abbreviateFingerprint(key),
      crashes: ids.length,
      reportedBy: vm,
    });
    table.clear(key, ids);
    options.onCleared?.(key, vm);
  };

  const clearKey = (key: string) => {
    table.recordCompleted(key);
    const ids = [...table.crashesOf(key)];
    if (ids.length === 0) return;
    remove(key, { ids, vm: links.self.vm });
    links.broadcast(clearMessage, { fingerprint: key, ids });
  };

  /// Returns a function that makes the record of a request.
  const createRecorder = () => {
    const numbers = new Map(
      [...lastCrashes].map(([upstream, { number }]) => {
        const numbered = { upstream, number };
        return [idOf(numbered), numbered];
      }),
    );
    return (request: CrashedRequest): CrashRecord => {
      const { crash: id, fingerprint, ran, isRetry } = request;
      const age = clock.now() - table.timeOf(id);
      const parts = [...request.parts];
      return {
        fingerprint,
        id,
        age,
        ran,
        isRetry,
        parts,
        numbered: numbers.get(id),
      };
    };
  };

  const report = (vm: string, records: CrashRecord[]) =>
    links.call(vm, reportCall, { marks: records }, {
      timeoutMilliseconds: REPORT_TIMEOUT_MILLISECONDS,
    });

  /// Reports all records of this VM to VMs that have just connected.
  /// With hubs, only the VMs that have a link to it do so.
  const reportToNewPeers = () => {
    const added = newPeers();
    const records = table.entries().map(createRecorder());
    if (records.length === 0) return;
    for (const { vm } of added) report(vm, records).catch(() => {});
  };

  links.onCall(reportCall, ({ marks: records }, { vm }) => {
    for (const record of records) add(record, vm);
    return Promise.resolve({});
  });
  links.onMessage(marksMessage, ({ marks: records }, { vm }) => {
    for (const record of records) add(record, vm);
  });
  links.onMessage(clearMessage, ({ fingerprint, ids }, { vm }) => {
    table.recordCompleted(fingerprint);
    remove(fingerprint, { ids, vm });
  });
  links.onPeersChange(reportToNewPeers);

  return {
    count: (fingerprint) => table.crashesOf(fingerprint).length,
    crashes: table.crashes,
    crashesOf: table.crashesOf,
    requestsIn: table.requestsIn,
    hasCompleted: table.hasCompleted,
    timeOf: table.timeOf,
    ageOf: (crash) => clock.now() - table.timeOf(crash),
    turnOf(key) {
      const { vm } = links.self;
      const vms = [vm, ...links.peers().map((peer) => peer.vm)];
      return rankByRendezvous(key, vms).indexOf(vm) / vms.length;
    },
    remaining: table.remaining,
    async record({ process, upstream, parts, ...observed }) {
      const { vm, incarnation } = links.self;
      const numbered = upstream === undefined
        ? undefined
        : numberCrash(upstream);
      const id = process ??
        (numbered && idOf(numbered)) ??
        `${vm}:${incarnation}:${nextId++}`;
      const crash = {
        ...observed,
        id,
        age: 0,
        parts: [...parts ?? []],
        numbered,
      };
      add(crash, vm);
      if (links.hubs() !== undefined) {
        links.broadcast(marksMessage, { marks: [crash] });
        return;
      }
      const peers = links.peers();
      await Promise.allSettled(peers.map((peer) => report(peer.vm, [crash])));
    },
    clear(fingerprint, parts = []) {
      clearKey(fingerprint);
      for (const part of parts) clearKey(partKey(part));
    },
    recordsOf: (crash, key) =>
      table.requestsIn(crash)
        .filter(({ fingerprint, parts }) =>
          fingerprint === key || parts.some((part) => partKey(part) === key)
        )
        .map(createRecorder()),
    restore(records) {
      for (const record of records) add(record, RESTORED);
    },
  };
}
