import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// The VMs of the deployment, as they list themselves in the store.

const PREFIX = "sequoiaturn/vms/";
/// Lapse of an entry whose VM is gone. Links notice a loss sooner, so that it
/// only ends the attempts to reach the VM.
const LEASE_SECONDS = 45;
/// A third of the lease: two renewals may fail. Each is a call of each VM.
const RENEWAL_MILLISECONDS: Milliseconds = 15_000;
const RETRY_MILLISECONDS: Milliseconds = 1_000;

const Entry = Type.Object({
  dataCentre: Type.String(),
  linkAddress: Type.String(),
});
type Entry = Static<typeof Entry>;

/// The part of the store's contents that lists VMs.
export interface VmDirectory extends VmList {
  /// Takes a value of the store; false if it is of another matter.
  applyEntry(key: string, value: Uint8Array): boolean;
  removeEntry(key: string): void;
  /// VMs that are listed.
  count(): number;
}

export function createVmDirectory(log: Logger): VmDirectory {
  const entries = new Map<string, ListedVm>();
  return {
    applyEntry(key, value) {
      if (!key.startsWith(PREFIX)) return false;
      const name = key.slice(PREFIX.length);
      try {
        const text = Buffer.from(value).toString("utf8");
        const entry: Entry = Value.Parse(Entry, JSON.parse(text));
        entries.set(name, { name, ...entry, state: "live" });
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("VM entry not readable", { key, reason });
      }
      return true;
    },
    removeEntry(key) {
      if (key.startsWith(PREFIX)) entries.delete(key.slice(PREFIX.length));
    },
    count: () => entries.size,
    read: () => Promise.resolve([...entries.values()]),
  };
}

export interface RegistrationOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: KeyValueStore;
  readonly vm: string;
  readonly entry: Entry;
}

export interface Registration {
  /// Takes the entry away.
  close(): Promise<void>;
  /// Leaves the entry until it lapses.
  abandon(): void;
}

/// Lists this VM for as long as it runs.
export function startRegistration(options: RegistrationOptions): Registration {
  const { clock, log, store } = options;
  const stop = new AbortController();
  let lease: string | undefined;

  const register = async () => {
    const granted = await store.grantLease(LEASE_SECONDS);
    // Whoever had the name before is gone: its process was this VM's too.
    await store.transact([], [{
      kind: "put",
      key: PREFIX + options.vm,
      value: Buffer.from(JSON.stringify(options.entry)),
      lease: granted.id,
    }]);
    lease = granted.id;
    log.info("VM listed", { lease });
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      let wait = RENEWAL_MILLISECONDS;
      try {
        if (lease === undefined) await register();
        else if (!await store.keepAlive(lease)) {
          log.warn("VM entry lapsed", { lease });
          lease = undefined;
          wait = 0;
        }
      } catch (error) {
        log.warn("VM not listed", { reason: (error as Error).message });
        wait = RETRY_MILLISECONDS;
      }
      await clock.sleep(wait, stop.signal).catch(() => {
        // Closed while waiting; the loop ends.
      });
    }
  };

  void run();
  return {
    abandon: () => stop.abort(new Error("closed")),
    async close() {
      stop.abort(new Error("closed"));
      if (lease === undefined) return;
      try {
        await store.revokeLease(lease);
      } catch (error) {
        // The lease lapses by itself.
        log.warn("VM entry stays until it lapses", {
          reason: (error as Error).message,
        });
      }
    },
  };
}
