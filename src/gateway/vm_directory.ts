import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import { parseSocketAddress } from "../support/socket_address.ts";

/// The VMs of the deployment, from the entries that they write to the store.

const PREFIX = "sequoiaturn/vms/";
/// Time after which the entry of a failed VM expires. Links detect the failure
/// sooner; the expiry only ends the attempts to connect to the VM.
const LEASE_SECONDS = 90;
/// A third of the lease, so that two renewals may fail. Each renewal takes one
/// store call per VM.
const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 30_000;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 1_000;
/// Time within which VMs whose entries are removed at the same moment list
/// themselves again.
const MAXIMUM_RENEWAL_DELAY_MILLISECONDS: Milliseconds = 1_000;

const MAXIMUM_CAPACITY = 1_024;

const Entry = Type.Object({
  dataCentre: Type.String(),
  linkAddress: Type.String(),
  /// Processor cores of the VM.
  capacity: Type.Optional(
    Type.Number({ minimum: 0, maximum: MAXIMUM_CAPACITY }),
  ),
});
type Entry = Static<typeof Entry>;
const entryCheck = TypeCompiler.Compile(Entry);

/// The list of VMs, made from the store's contents.
export interface VmDirectory extends VmList {
  /// Adds or replaces the VM of an entry. Returns false if `key` is not the key
  /// of a VM entry.
  applyEntry(key: string, value: Uint8Array): boolean;
  /// Removes the VM of an entry after a delay, unless the entry is added again.
  removeEntry(key: string, delay?: Milliseconds): void;
  /// Calls `listener` with the name of a VM whose entry was removed.
  onRemoved(listener: (vm: string) => void): void;
  /// Number of listed VMs.
  count(): number;
}

export function createVmDirectory(clock: Clock, log: Logger): VmDirectory {
  const entries = new Map<string, ListedVm>();
  const listeners: ((vm: string) => void)[] = [];
  return {
    applyEntry(key, value) {
      if (!key.startsWith(PREFIX)) return false;
      const name = key.slice(PREFIX.length);
      try {
        const text = Buffer.from(value).toString("utf8");
        const entry: unknown = JSON.parse(text);
        if (!entryCheck.Check(entry)) throw new TypeError("not a VM entry");
        const { dataCentre, linkAddress, capacity } = entry;
        if (!parseSocketAddress(linkAddress)) throw new TypeError("no address");
        const vm = { name, dataCentre, linkAddress, capacity };
        entries.set(name, { ...vm, state: "live" });
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("VM entry not readable", { key, reason });
      }
      return true;
    },
    removeEntry(key, delay = 0) {
      if (!key.startsWith(PREFIX)) return;
      const name = key.slice(PREFIX.length);
      const removed = entries.get(name);
      const remove = () => {
        if (entries.get(name) === removed) entries.delete(name);
      };
      if (delay > 0) clock.schedule(delay, remove);
      else remove();
      for (const listener of listeners) listener(name);
    },
    onRemoved: (listener) => void listeners.push(listener),
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
  readonly random: RandomSource;
}

export interface Registration {
  /// Lists this VM again, because its entry was removed.
  renew(): void;
  /// Stops renewing the entry and removes it.
  close(): Promise<void>;
  /// Stops renewing the entry, which then expires.
  abandon(): void;
}

/// Lists this VM in the store and renews its entry until it is closed.
export function startRegistration(options: RegistrationOptions): Registration {
  const { clock, log, store } = options;
  const stop = new AbortController();
  let wait = new AbortController();
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
      wait = new AbortController();
      const signal = AbortSignal.any([stop.signal, wait.signal]);
      await clock.sleep(delay, signal).catch(() => {
        // Aborted by close() or abandon(), and the loop ends, or by renew().
      });
    }
  };

  void run();
  return {
    renew() {
      if (lease === undefined || stop.signal.aborted) return;
      log.warn("VM entry removed", { lease });
      lease = undefined;
      clock.schedule(
        options.random.next() * MAXIMUM_RENEWAL_DELAY_MILLISECONDS,
        () => wait.abort(new Error("the entry was removed")),
      );
    },
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
