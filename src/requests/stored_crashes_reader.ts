import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { STORED_CRASHES_PREFIX, type StoredCrashes } from "./stored_crashes.ts";

/// Reads the stored crashes once, when a VM starts. Later ones are reported over
/// links, so VMs that don't follow the store for others need no watch.

const RETRY_DELAY_MILLISECONDS: Milliseconds = 1_000;

export interface StoredCrashesReaderOptions {
  readonly clock: Clock;
  readonly store: KeyValueStore;
  readonly storedCrashes: StoredCrashes;
}

/// Reads the entries, and tries again while the store is away, until the signal
/// aborts.
export function readStoredCrashes(
  { clock, store, storedCrashes }: StoredCrashesReaderOptions,
  signal: AbortSignal,
): void {
  const readOnce = async () => {
    const { values } = await store.range(STORED_CRASHES_PREFIX, { signal });
    for (const { key, value } of values) storedCrashes.applyEntry(key, value);
  };
  const run = async () => {
    while (!signal.aborted) {
      try {
        return await readOnce();
      } catch {
        await clock.sleep(RETRY_DELAY_MILLISECONDS, signal).catch(() => {
          // Aborted, and the loop ends.
        });
      }
    }
  };
  void run();
}
