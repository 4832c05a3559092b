import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// Permits that bound how many requests of the whole fleet do the same thing
/// at once. Each key has a home VM, found by rendezvous hash, that counts the
/// permits in use.

/// Time after which a permit of a lost VM is free again. Keepers have ended
/// what it ran by then.
const LOST_HOLDER_MILLISECONDS: Milliseconds = 15_000;
const TAKE_LIMIT_MILLISECONDS: Milliseconds = 500;
const SWEEP_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

const PermitName = Type.Object({ key: Type.String(), id: Type.String() });

const takeCall = defineCall("permit.take", {
  request: PermitName,
  reply: Type.Object({ granted: Type.Boolean() }),
});

/// Tells a new home of a permit that another one had granted.
const keepMessage = defineMessage("permit.keep", PermitName);

const returnMessage = defineMessage("permit.return", PermitName);

export interface Permit {
  return(): void;
}

export interface FleetPermits {
  /// Asks the home of `key`. A home that can't be asked is replaced by this
  /// VM's own count.
  take(key: string): Promise<Permit | undefined>;
  /// The VM that counts the permits of `key`.
  homeOf(key: string): string;
  close(): void;
}

export interface FleetPermitsOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// Permits of `key` that may be in use at once, by this VM's knowledge.
  readonly limitOf: (key: string) => number;
}

interface Holder {
  readonly owner: VmIdentity;
  lostSince: Milliseconds | undefined;
}

export function createFleetPermits(options: FleetPermitsOptions): FleetPermits {
  const { clock, links, limitOf } = options;
  const self = links.self;
  /// Permits that this VM counts as a home, by key and id.
  const granted = new Map<string, Map<string, Holder>>();
  /// Permits that this VM uses, by id.
  const used = new Map<string, string>();
  let nextId = 0;
  let timer: Timer;

  const homeOf = (key: string) => {
    const live = [self.vm, ...links.peers().map((peer) => peer.vm)];
    return rankByRendezvous(key, live)[0]!;
  };

  const keep = (key: string, id: string, owner: VmIdentity) => {
    const holders = granted.get(key) ?? new Map<string, Holder>();
    granted.set(key, holders);
    holders.set(id, { owner, lostSince: undefined });
  };

  const grant = (key: string, id: string, owner: VmIdentity) => {
    const inUse = granted.get(key)?.size ?? 0;
    if (inUse >= limitOf(key)) return false;
    keep(key, id, owner);
    return true;
  };

  const drop = (key: string, id: string) => {
    const holders = granted.get(key);
    holders?.delete(id);
    if (holders?.size === 0) granted.delete(key);
  };

  const isLinked = (owner: VmIdentity) =>
    [self, ...links.peers()].some((vm) =>
      vm.vm === owner.vm && vm.incarnation === owner.incarnation
    );

  const sweep = () => {
    timer = clock.schedule(SWEEP_INTERVAL_MILLISECONDS, sweep);
    const now = clock.now();
    for (const [key, holders] of granted) {
      for (const [id, holder] of holders) {
        if (isLinked(holder.owner)) holder.lostSince = undefined;
        else holder.lostSince ??= now;
        const lost = now - (holder.lostSince ?? now);
        if (lost >= LOST_HOLDER_MILLISECONDS) drop(key, id);
      }
    }
  };

  const ask = async (key: string, id: string) => {
    const home = homeOf(key);
    if (home === self.vm) return grant(key, id, self);
    const limits = { timeoutMilliseconds: TAKE_LIMIT_MILLISECONDS };
    try {
      const value = { key, id };
      return (await links.call(home, takeCall, value, limits)).granted;
    } catch {
      if (grant(key, id, self)) return true;
      links.send(home, returnMessage, { key, id });
      return false;
    }
  };

  /// The home may have changed since the permit was granted, so each VM that
  /// may count it is told.
  const returnPermit = (key: string, id: string, home: string) => {
    used.delete(id);
    drop(key, id);
    for (const vm of new Set([home, homeOf(key)])) {
      if (vm !== self.vm) links.send(vm, returnMessage, { key, id });
    }
  };

  links.onCall(
    takeCall,
    ({ key, id }, from) => Promise.resolve({ granted: grant(key, id, from) }),
  );
  links.onMessage(keepMessage, ({ key, id }, from) => keep(key, id, from));
  links.onMessage(returnMessage, ({ key, id }) => drop(key, id));
  links.onPeersChange(() => {
    for (const [id, key] of used) {
      const home = homeOf(key);
      if (home === self.vm) keep(key, id, self);
      else links.send(home, keepMessage, { key, id });
    }
  });
  timer = clock.schedule(SWEEP_INTERVAL_MILLISECONDS, sweep);

  return {
    async take(key) {
      const id = `${self.vm}:${self.incarnation}:${nextId++}`;
      const home = homeOf(key);
      used.set(id, key);
      if (await ask(key, id)) {
        return { return: () => returnPermit(key, id, home) };
      }
      used.delete(id);
      return undefined;
    },
    homeOf,
    close: () => timer.cancel(),
  };
}
