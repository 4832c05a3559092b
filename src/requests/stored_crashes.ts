import { createHash } from "node:crypto";
import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { CrashRecord } from "./crash_record.ts";
import { abbreviateFingerprint, type CrashRecords } from "./crash_records.ts";
import { RETENTION_MILLISECONDS } from "./crash_table.ts";

/// Keeps the crashes of what is refused in the key-value store, so that it is
/// still refused after all VMs have ended at the same moment. The entry of a key,
/// a fingerprint or the key of a part, expires with its crashes.

/// Prefix of the entries' keys.
export const STORED_CRASHES_PREFIX = "sequoiaturn/crashes/";
/// Latest crashes of a key in its entry, and requests of each of them: enough to
/// refuse it, and to tell it from what ran beside it.
const MAXIMUM_STORED_CRASHES = 8;
const MAXIMUM_STORED_REQUESTS = 4;
const MILLISECONDS_PER_SECOND = 1_000;
const FIRST_RETRY_DELAY_MILLISECONDS: Milliseconds = 500;
const MAXIMUM_RETRY_DELAY_MILLISECONDS: Milliseconds = 8_000;

const Entry = Type.Object({
  /// The fingerprint or the key of a part.
  key: Type.String(),
  /// Their ages are counted from the last of them: VMs' clocks differ, so that one
  /// counts as new to a VM that learns of it from the store.
  records: Type.Array(CrashRecord),
});
const entryCheck = TypeCompiler.Compile(Entry);

export interface StoredCrashes {
  /// Stores the crashes of a key that is refused, unless the store has them.
  save(key: string): void;
  /// Removes the entry of a key that is no longer refused, if there is one.
  remove(key: string): void;
  /// Adds the crashes of an entry. Returns false if `storeKey` is none of these.
  applyEntry(storeKey: string, value: Uint8Array): boolean;
  /// Records that an entry is gone.
  removeEntry(storeKey: string): void;
}

export interface StoredCrashesOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly records: Pick<
    CrashRecords,
    "crashesOf" | "recordsOf" | "restore"
  >;
}

function storeKeyOf(key: string): string {
  const digest = createHash("sha256").update(key).digest("hex");
  return STORED_CRASHES_PREFIX + digest;
}

/// Creates the access to the entries. Entries that are read, or that the VM writes
/// itself, are passed to `applyEntry` and `removeEntry` by its owner.
export function createStoredCrashes(
  { clock, log, store, records }: StoredCrashesOptions,
): StoredCrashes {
  /// Number of crashes in the entry of each store key, as far as known.
  const stored = new Map<string, number>();
  /// Store keys that are being written or removed, and the keys to write again.
  const busy = new Map<string, { isChanged: boolean }>();

  const write = async (key: string) => {
    const crashes = records.crashesOf(key).slice(-MAXIMUM_STORED_CRASHES);
    const kept = crashes.flatMap((crash) =>
      records.recordsOf(crash, key).slice(0, MAXIMUM_STORED_REQUESTS)
    );
    const last = Math.min(...kept.map(({ age }) => age));
    const entry: Static<typeof Entry> = {
      key,
      records: kept.map((record) => ({ ...record, age: record.age - last })),
    };
    const seconds = RETENTION_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const lease = await store.grantLease(seconds);
    await store.transact([], [{
      kind: "put",
      key: storeKeyOf(key),
      value: Buffer.from(JSON.stringify(entry)),
      lease: lease.id,
    }]);
    stored.set(storeKeyOf(key), crashes.length);
    const fingerprint = abbreviateFingerprint(key);
    log.info("crashes stored", { fingerprint, crashes: crashes.length });
  };

  const clear = async (key: string) => {
    await store.transact([], [{ kind: "delete", key: storeKeyOf(key) }]);
    stored.delete(storeKeyOf(key));
  };

  /// Makes the entry of a key agree with the records, and again if these change
  /// meanwhile. Gives up once the crashes have expired.
  const synchronise = async (key: string) => {
    const storeKey = storeKeyOf(key);
    const state = busy.get(storeKey);
    if (state) return void (state.isChanged = true);
    const work = { isChanged: false };
    busy.set(storeKey, work);
    const endsAt = clock.now() + RETENTION_MILLISECONDS;
    let delay = FIRST_RETRY_DELAY_MILLISECONDS;
    do {
      work.isChanged = false;
      try {
        if (records.crashesOf(key).length > 0) await write(key);
        else if (stored.has(storeKey)) await clear(key);
      } catch (error) {
        log.warn("crashes not stored", { reason: (error as Error).message });
        work.isChanged = true;
        await clock.sleep(delay);
        delay = Math.min(2 * delay, MAXIMUM_RETRY_DELAY_MILLISECONDS);
      }
    } while (work.isChanged && clock.now() < endsAt);
    busy.delete(storeKey);
  };

  return {
    save(key) {
      const known = stored.get(storeKeyOf(key)) ?? 0;
      const count = records.crashesOf(key).length;
      if (known >= Math.min(count, MAXIMUM_STORED_CRASHES)) return;
      void synchronise(key);
    },
    remove(key) {
      if (stored.size === 0 && busy.size === 0) return;
      const storeKey = storeKeyOf(key);
      if (stored.has(storeKey) || busy.has(storeKey)) void synchronise(key);
    },
    applyEntry(storeKey, value) {
      if (!storeKey.startsWith(STORED_CRASHES_PREFIX)) return false;
      try {
        const text = Buffer.from(value).toString("utf8");
        const entry: unknown = JSON.parse(text);
        if (!entryCheck.Check(entry)) throw new TypeError("not an entry");
        const crashes = new Set(entry.records.map(({ id }) => id));
        stored.set(storeKey, crashes.size);
        records.restore(entry.records);
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("stored crashes not readable", { key: storeKey, reason });
      }
      return true;
    },
    removeEntry: (storeKey) => void stored.delete(storeKey),
  };
}
