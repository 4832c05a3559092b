import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { STORED_CRASHES_PREFIX, type StoredCrashes } from "./stored_crashes.ts";

/// Reads the stored crashes and follows their changes until the signal aborts.

const RETRY_DELAY_MILLISECONDS: Milliseconds = 1_000;

export interface StoredCrashesFollowerOptions {
  readonly clock: Clock;
  readonly store: KeyValueStore;
  readonly storedCrashes: StoredCrashes;
}

/// Starts to follow the entries in the store.
export function followStoredCrashes(
  { clock, store, storedCrashes }: StoredCrashesFollowerOptions,
  signal: AbortSignal,
): void {
  const follow = async () => {
    const { values, revision } = await store.range(STORED_CRASHES_PREFIX, {
      signal,
    });
    for (const { key, value } of values) storedCrashes.applyEntry(key, value);
    const changes = store.watch(STORED_CRASHES_PREFIX, revision, signal);
    for await (const { kind, value: { key, value } } of changes) {
      if (kind === "put") storedCrashes.applyEntry(key, value);
      else storedCrashes.removeEntry(key);
    }
  };
  const run = async () => {
    while (!signal.aborted) {
      await follow().catch(() => {
        // The store is away; the entries are read again.
      });
      await clock.sleep(RETRY_DELAY_MILLISECONDS, signal).catch(() => {
        // Aborted, and the loop ends.
      });
    }
  };
  void run();
}
