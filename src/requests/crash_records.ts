import { type Static, Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Records which requests were running on engines when these crashed, and
/// shares the records with every VM of the fleet.

/// Time for which a crash is kept, and so for which a fingerprint stays
/// quarantined.
const CRASH_RETENTION_MILLISECONDS: Milliseconds = 600_000;
const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 500;
/// Maximum number of fingerprints with crashes, and of cleared crashes, that
/// one VM keeps. Above it, the oldest is removed.
const MAXIMUM_ENTRIES = 10_000;

const CrashRecord = Type.Object({
  fingerprint: Type.String(),
  /// Identifies the crash, so that a crash reported twice counts once.
  id: Type.String(),
  age: Type.Number({ minimum: 0 }),
});
type CrashRecord = Static<typeof CrashRecord>;

const reportCall = defineCall("quarantine.mark", {
  request: Type.Object({ marks: Type.Array(CrashRecord) }),
  reply: Type.Object({}),
});

/// Reports crashes without confirmation. Used with hubs, over which a call to
/// each VM would take as many messages as there are VMs.
const marksMessage = defineMessage(
  "quarantine.marks",
  Type.Object({ marks: Type.Array(CrashRecord) }),
);

const clearMessage = defineMessage(
  "quarantine.clear",
  Type.Object({ fingerprint: Type.String(), ids: Type.Array(Type.String()) }),
);

/// Characters of a fingerprint in log lines.
const LOGGED_FINGERPRINT_LENGTH = 12;

/// Returns the part of a fingerprint that log lines contain.
export function abbreviateFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, LOGGED_FINGERPRINT_LENGTH);
}

export interface CrashRecords {
  /// Number of crashes during which a request with this fingerprint ran.
  count(fingerprint: string): number;
  /// Time until the last crash of a fingerprint expires.
  remaining(fingerprint: string): Milliseconds;
  /// Records a crash and reports it to all connected VMs. Resolves when they
  /// have confirmed, or after a bounded time; with hubs, once it is sent.
  record(fingerprint: string): Promise<void>;
  /// Removes the crashes of a request that has completed, on all VMs.
  clear(fingerprint: string): void;
}

export interface CrashRecordsOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly log: Logger;
  /// Called for each crash that is recorded, with the VM that reported it.
  readonly onRecorded?: (vm: string) => void;
}

export function createCrashRecords(options: CrashRecordsOptions): CrashRecords {
  const { clock, links, log } = options;
  /// Times of crashes by fingerprint and id.
  const crashTimes = new Map<string, Map<string, Milliseconds>>();
  /// Ids of cleared crashes. A late report of one is ignored.
  const cleared = new Set<string>();
  const newPeers = createNewPeers(links);
  let nextId = 0;

  const oldestAboveLimit = <Key>(
    items: { keys(): Iterable<Key> },
    size: number,
  ) => size > MAXIMUM_ENTRIES ? [...items.keys()][0] : undefined;

  const add = ({ fingerprint, id, age }: CrashRecord, vm: string) => {
    if (cleared.has(id)) return;
    const crashes = crashTimes.get(fingerprint) ??
      new Map<string, Milliseconds>();
    crashTimes.set(fingerprint, crashes);
    if (!crashes.has(id)) {
      crashes.set(id, clock.now() - age);
      options.onRecorded?.(vm);
      log.warn("crash recorded", {
        fingerprint: abbreviateFingerprint(fingerprint),
        crash: id,
        reportedBy: vm,
        age: Math.round(age),
        crashes: crashes.size,
      });
    }
    const oldest = oldestAboveLimit(crashTimes, crashTimes.size);
    if (oldest !== undefined) crashTimes.delete(oldest);
  };

  /// Crashes of a fingerprint that have not expired.
  const crashesOf = (fingerprint: string) => {
    const crashes = crashTimes.get(fingerprint);
    if (!crashes) return [];
    const oldest = clock.now() - CRASH_RETENTION_MILLISECONDS;
    for (const [id, time] of crashes) {
      if (time <= oldest) crashes.delete(id);
    }
    if (crashes.size === 0) crashTimes.delete(fingerprint);
    return [...crashes];
  };

  const remove = (
    fingerprint: string,
    { ids, vm }: { ids: readonly string[]; vm: string },
  ) => {
    log.info("crashes cleared", {
      fingerprint: abbreviateFingerprint(fingerprint),
      crashes: ids.length,
      reportedBy: vm,
    });
    for (const id of ids) {
      crashTimes.get(fingerprint)?.delete(id);
      cleared.add(id);
      const oldest = oldestAboveLimit(cleared, cleared.size);
      if (oldest !== undefined) cleared.delete(oldest);
    }
  };

  const report = (vm: string, records: CrashRecord[]) =>
    links.call(vm, reportCall, { marks: records }, {
      timeoutMilliseconds: REPORT_TIMEOUT_MILLISECONDS,
    });

  const allRecords = (): CrashRecord[] =>
    [...crashTimes.keys()].flatMap((fingerprint) =>
      crashesOf(fingerprint).map(([id, time]) => ({
        fingerprint,
        id,
        age: clock.now() - time,
      }))
    );

  /// Reports all records of this VM to VMs that have just connected.
  /// With hubs, only the VMs that have a link to it do so.
  const reportToNewPeers = () => {
    const added = newPeers();
    const records = allRecords();
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
    remove(fingerprint, { ids, vm });
  });
  links.onPeersChange(reportToNewPeers);

  return {
    count: (fingerprint) => crashesOf(fingerprint).length,
    remaining(fingerprint) {
      const times = crashesOf(fingerprint).map(([, time]) => time);
      return Math.max(
        0,
        ...times.map((time) =>
          time + CRASH_RETENTION_MILLISECONDS - clock.now()
        ),
      );
    },
    async record(fingerprint) {
      const { vm, incarnation } = links.self;
      const id = `${vm}:${incarnation}:${nextId++}`;
      const crash = { fingerprint, id, age: 0 };
      add(crash, vm);
      if (links.hubs() !== undefined) {
        links.broadcast(marksMessage, { marks: [crash] });
        return;
      }
      const peers = links.peers();
      await Promise.allSettled(peers.map((peer) => report(peer.vm, [crash])));
    },
    clear(fingerprint) {
      const ids = crashesOf(fingerprint).map(([id]) => id);
      if (ids.length === 0) return;
      remove(fingerprint, { ids, vm: links.self.vm });
      links.broadcast(clearMessage, { fingerprint, ids });
    },
  };
}
