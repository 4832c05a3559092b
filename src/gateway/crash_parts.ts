import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { Links } from "../links/links.ts";
import {
  type CrashRecords,
  createCrashRecords,
} from "../requests/crash_records.ts";
import {
  createStoredCrashes,
  type StoredCrashes,
} from "../requests/stored_crashes.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/// What a gateway knows of crashes, in its memory and in the store.
export interface CrashParts {
  readonly crashRecords: CrashRecords;
  readonly storedCrashes: StoredCrashes;
}

export interface CrashPartsOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly metrics: Pick<GatewayMetrics, "crashesRecorded">;
}

/// Creates the records of crashes, of which those of refused keys are stored.
export function createCrashParts(
  { clock, links, log, store, metrics }: CrashPartsOptions,
): CrashParts {
  const crashRecords = createCrashRecords({
    clock,
    links,
    log,
    onRecorded: (vm) =>
      metrics.crashesRecorded.inc({
        source: vm === links.self.vm ? "this VM" : "other VM",
      }),
    // All VMs know all entries, so one of them removes this one.
    onCleared(key, vm) {
      if (vm === links.self.vm) storedCrashes.remove(key);
    },
  });
  const storedCrashes = createStoredCrashes({
    clock,
    log,
    store,
    records: crashRecords,
  });
  return { crashRecords, storedCrashes };
}
