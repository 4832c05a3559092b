import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// The VMs of the deployment, from the entries that they write to the store.

const PREFIX = "sequoiaturn/vms/";
/// Time after which the entry of a failed VM expires. Links detect the failure
/// sooner; the expiry only ends the attempts to connect to the VM.
const LEASE_SECONDS = 90;
/// A third of the lease, so that two renewals may fail. Each renewal takes one
/// store call per VM.
const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 30_000;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 1_000;

const Entry = Type.Object({
  dataCentre: Type.String(),
  linkAddress: Type.String(),
  /// Processor cores of the VM.
  capacity: Type.Optional(Type.Number()),
});
type Entry = Static<typeof Entry>;
const entryCheck = TypeCompiler.Compile(Entry);

/// The list of VMs, made from the store's contents.
export interface VmDirectory extends VmList {
  /// Adds or replaces the VM of an entry. Returns false if `key` is not the key
  /// of a VM entry.
  applyEntry(key: string, value: Uint8Array): boolean;
  removeEntry(key: string): void;
  /// Number of listed VMs.
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
        const entry: unknown = JSON.parse(text);
        if (!entryCheck.Check(entry)) throw new TypeError("not a VM entry");
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
  /// Stops renewing the entry and removes it.
  close(): Promise<void>;
  /// Stops renewing the entry, which then expires.
  abandon(): void;
}

/// Lists this VM in the store and renews its entry until it is closed.
export function startRegistration(options: RegistrationOptions): Registration {
  const { clock, log, store } = options;
  const stop = new AbortController();
  let lease: string | undefined;

  const register = async () => {
    const granted = await store.grantLease(LEASE_SECONDS);
    // Overwrites the entry of an earlier process of this VM, which has ended.
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
      let delay = RENEWAL_INTERVAL_MILLISECONDS;
      try {
        if (lease === undefined) await register();
        else if (!await store.keepAlive(lease)) {
          log.warn("VM entry lapsed", { lease });
          lease = undefined;
          delay = 0;
        }
      } catch (error) {
        log.warn("VM not listed", { reason: (error as Error).message });
        delay = RETRY_DELAY_MILLISECONDS;
      }
      await clock.sleep(delay, stop.signal).catch(() => {
        // Aborted by close() or abandon(); the loop ends.
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
        // The lease expires without the call.
        log.warn("VM entry stays until it lapses", {
          reason: (error as Error).message,
        });
      }
    },
  };
}
