import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// Distributed semaphores: permits that limit how many requests of the whole
/// fleet use the same key at once. Each key has an owner VM, chosen by
/// rendezvous hashing, that counts the permits in use.

/// Time after which the permits of a disconnected VM are released. By then,
/// the reapers have ended the requests that it ran on engines.
const HOLDER_TIMEOUT_MILLISECONDS: Milliseconds = 15_000;
const ACQUIRE_TIMEOUT_MILLISECONDS: Milliseconds = 500;
const SWEEP_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

const PermitName = Type.Object({ key: Type.String(), id: Type.String() });

const acquireCall = defineCall("permit.take", {
  request: PermitName,
  reply: Type.Object({ granted: Type.Boolean() }),
});

/// Reports a permit in use to a new owner of its key.
const heldMessage = defineMessage("permit.keep", PermitName);

const releaseMessage = defineMessage("permit.return", PermitName);

export interface Permit {
  release(): void;
}

export interface FleetPermits {
  /// Requests a permit from the owner of `key`. When the owner is unreachable,
  /// this VM's own count applies. Resolves to undefined when no permit is
  /// available.
  acquire(key: string): Promise<Permit | undefined>;
  /// The VM that counts the permits of `key`.
  ownerOf(key: string): string;
  close(): void;
}

export interface FleetPermitsOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// Maximum number of permits of `key` in use at once, according to the data
  /// of this VM.
  readonly limitOf: (key: string) => number;
}

interface Holder {
  readonly identity: VmIdentity;
  unreachableSince: Milliseconds | undefined;
}

export function createFleetPermits(options: FleetPermitsOptions): FleetPermits {
  const { clock, links, limitOf } = options;
  const self = links.self;
  /// Permits that this VM counts as the owner of their keys, by key and id.
  const granted = new Map<string, Map<string, Holder>>();
  /// Keys of the permits that this VM uses, by permit id.
  const held = new Map<string, string>();
  let nextId = 0;
  let timer: Timer;

  const ownerOf = (key: string) => {
    const live = [self.vm, ...links.peers().map((peer) => peer.vm)];
    return rankByRendezvous(key, live)[0]!;
  };

  const addHolder = (key: string, id: string, identity: VmIdentity) => {
    const holders = granted.get(key) ?? new Map<string, Holder>();
    granted.set(key, holders);
    holders.set(id, { identity, unreachableSince: undefined });
  };

  const grant = (key: string, id: string, identity: VmIdentity) => {
    const inUse = granted.get(key)?.size ?? 0;
    if (inUse >= limitOf(key)) return false;
    addHolder(key, id, identity);
    return true;
  };

  const removeHolder = (key: string, id: string) => {
    const holders = granted.get(key);
    holders?.delete(id);
    if (holders?.size === 0) granted.delete(key);
  };

  const isConnected = (identity: VmIdentity) =>
    [self, ...links.peers()].some((vm) =>
      vm.vm === identity.vm && vm.incarnation === identity.incarnation
    );

  const sweep = () => {
    timer = clock.schedule(SWEEP_INTERVAL_MILLISECONDS, sweep);
    const now = clock.now();
    for (const [key, holders] of granted) {
      for (const [id, holder] of holders) {
        if (isConnected(holder.identity)) holder.unreachableSince = undefined;
        else holder.unreachableSince ??= now;
        const elapsed = now - (holder.unreachableSince ?? now);
        if (elapsed >= HOLDER_TIMEOUT_MILLISECONDS) removeHolder(key, id);
      }
    }
  };

  const requestPermit = async (key: string, id: string) => {
    const owner = ownerOf(key);
    if (owner === self.vm) return grant(key, id, self);
    const limits = { timeoutMilliseconds: ACQUIRE_TIMEOUT_MILLISECONDS };
    try {
      const value = { key, id };
      return (await links.call(owner, acquireCall, value, limits)).granted;
    } catch {
      if (grant(key, id, self)) return true;
      links.send(owner, releaseMessage, { key, id });
      return false;
    }
  };

  /// Sends the release to every VM that may count the permit, because the
  /// owner may have changed since the permit was granted.
  const releasePermit = (key: string, id: string, owner: string) => {
    held.delete(id);
    removeHolder(key, id);
    for (const vm of new Set([owner, ownerOf(key)])) {
      if (vm !== self.vm) links.send(vm, releaseMessage, { key, id });
    }
  };

  links.onCall(
    acquireCall,
    ({ key, id }, from) => Promise.resolve({ granted: grant(key, id, from) }),
  );
  links.onMessage(heldMessage, ({ key, id }, from) => addHolder(key, id, from));
  links.onMessage(releaseMessage, ({ key, id }) => removeHolder(key, id));
  links.onPeersChange(() => {
    for (const [id, key] of held) {
      const owner = ownerOf(key);
      if (owner === self.vm) addHolder(key, id, self);
      else links.send(owner, heldMessage, { key, id });
    }
  });
  timer = clock.schedule(SWEEP_INTERVAL_MILLISECONDS, sweep);

  return {
    async acquire(key) {
      const id = `${self.vm}:${self.incarnation}:${nextId++}`;
      const owner = ownerOf(key);
      held.set(id, key);
      if (await requestPermit(key, id)) {
        return { release: () => releasePermit(key, id, owner) };
      }
      held.delete(id);
      return undefined;
    },
    ownerOf,
    close: () => timer.cancel(),
  };
}
