import { setMaxListeners } from "node:events";
import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { EngineClient } from "./engine_client.ts";
import {
  announceCall,
  type EngineClaim,
  heldClaimsCall,
  reapersOf,
  toEngineId,
  withdrawMessage,
} from "./engine_reaper_messages.ts";
import {
  MAXIMUM_CALL_DELAY_MILLISECONDS,
  releaseUntilConfirmed,
} from "./engine_release.ts";

/// The engine memory that this VM owns: announced to the engine's keepers
/// before it is asked for, and given back at the end.

/// Claims made within this time are announced together.
const ANNOUNCE_BATCH_MILLISECONDS: Milliseconds = 1;
/// A keeper that does not confirm for this long is not waited for.
const ANNOUNCE_LIMIT_MILLISECONDS: Milliseconds = 250;
const WITHDRAW_BATCH_MILLISECONDS: Milliseconds = 100;

/// Engine memory that this VM asks for. It is over after `end` or `release`,
/// whichever is called first.
export interface Holding {
  readonly id: string;
  /// Resolves when a keeper knows of it, or after a bounded time.
  readonly announced: Promise<void>;
  /// Notes that the engine holds nothing of it any more.
  end(): void;
  /// Gives it back in the background until the engine has confirmed, then
  /// resolves. With `mayStartLate`, the engine may still receive the call that
  /// asked for it.
  release(options?: { mayStartLate: boolean }): Promise<void>;
}

export interface HoldOptions {
  /// Time for which another VM may take it over once this one is gone.
  readonly graceMilliseconds?: Milliseconds;
}

export interface EngineHoldings {
  /// Claims memory of an engine under an id made from `name`, which is unique
  /// on this VM.
  hold(
    engine: string,
    kind: EngineClaim["kind"],
    name: string,
    options?: HoldOptions,
  ): Holding;
  /// Claims a stream that another VM, or this one, has started.
  adopt(engine: string, streamId: string, options?: HoldOptions): Holding;
  isHeld(id: string): boolean;
  /// Claims whose end is not confirmed yet.
  held(): readonly EngineClaim[];
  /// Resolves when every release has been confirmed, or after `limit`.
  whenReleased(limit: Milliseconds): Promise<void>;
  close(): void;
}

export interface EngineHoldingsOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// The client of an engine, or undefined once the engine is out of use.
  readonly clientOf: (engine: string) => EngineClient | undefined;
}

export function createEngineHoldings(
  options: EngineHoldingsOptions,
): EngineHoldings {
  const { clock, links, clientOf } = options;
  const { vm, incarnation } = links.self;
  const owner = { vm, incarnation };
  const claims = new Map<string, EngineClaim>();
  /// Holdings of one claim; a stream may be adopted while another request of
  /// this VM still has it.
  const counts = new Map<string, number>();
  const releases = new Set<Promise<void>>();
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  let keeperCache = new Map<string, readonly string[]>();
  let unannounced: { claim: EngineClaim; done: () => void }[] = [];
  let withdrawn: EngineClaim[] = [];
  let announceTimer: Timer | undefined;
  let withdrawTimer: Timer | undefined;

  const keepersNow = (engine: string) => {
    let keepers = keeperCache.get(engine);
    if (!keepers) {
      const live = links.peers().map((peer) => peer.vm);
      keepers = reapersOf(engine, { live, owner: vm });
      keeperCache.set(engine, keepers);
    }
    return keepers;
  };

  const groupByKeeper = (list: readonly EngineClaim[]) => {
    const groups = new Map<string, EngineClaim[]>();
    for (const claim of list) {
      for (const keeper of keepersNow(claim.engine)) {
        const group = groups.get(keeper) ?? [];
        groups.set(keeper, group);
        group.push(claim);
      }
    }
    return groups;
  };

  const flushAnnouncements = () => {
    announceTimer = undefined;
    const batch = unannounced;
    unannounced = [];
    const calls = new Map<string, Promise<unknown>>();
    const limits = { timeoutMilliseconds: ANNOUNCE_LIMIT_MILLISECONDS };
    for (const [keeper, list] of groupByKeeper(batch.map((b) => b.claim))) {
      const value = { owner, claims: list, all: false };
      calls.set(keeper, links.call(keeper, announceCall, value, limits));
    }
    for (const { claim, done } of batch) {
      const waits = keepersNow(claim.engine).map((keeper) =>
        calls.get(keeper)!
      );
      Promise.any(waits).then(done, done);
    }
  };

  /// Tells the keepers of now everything, after VMs came or went.
  const announceAfresh = () => {
    keeperCache = new Map();
    if (stop.signal.aborted) return;
    for (const [keeper, list] of groupByKeeper([...claims.values()])) {
      const value = { owner, claims: list, all: true };
      links.call(keeper, announceCall, value).catch(() => {});
    }
  };

  const flushWithdrawals = () => {
    withdrawTimer = undefined;
    const batch = withdrawn;
    withdrawn = [];
    for (const [keeper, list] of groupByKeeper(batch)) {
      const ids = list.map((claim) => claim.id);
      links.send(keeper, withdrawMessage, { ids });
    }
  };

  const withdraw = (claim: EngineClaim) => {
    const count = counts.get(claim.id)! - 1;
    counts.set(claim.id, count);
    if (count > 0) return;
    counts.delete(claim.id);
    claims.delete(claim.id);
    withdrawn.push(claim);
    withdrawTimer ??= clock.schedule(
      WITHDRAW_BATCH_MILLISECONDS,
      flushWithdrawals,
    );
  };

  const releaseInBackground = async (
    claim: EngineClaim,
    mayStartLate: boolean,
  ) => {
    const { signal } = stop;
    await releaseUntilConfirmed(claim, { clock, clientOf, signal });
    if (mayStartLate) {
      await clock.sleep(MAXIMUM_CALL_DELAY_MILLISECONDS, signal);
      await releaseUntilConfirmed(claim, { clock, clientOf, signal });
    }
    withdraw(claim);
  };

  const startRelease = (claim: EngineClaim, mayStartLate: boolean) => {
    const release = releaseInBackground(claim, mayStartLate).catch(() => {});
    releases.add(release);
    return release.finally(() => void releases.delete(release));
  };

  const start = (claim: EngineClaim): Holding => {
    claims.set(claim.id, claim);
    counts.set(claim.id, (counts.get(claim.id) ?? 0) + 1);
    const announced = keepersNow(claim.engine).length === 0
      ? Promise.resolve()
      : new Promise<void>((done) => unannounced.push({ claim, done }));
    announceTimer ??= clock.schedule(
      ANNOUNCE_BATCH_MILLISECONDS,
      flushAnnouncements,
    );
    let released: Promise<void> | undefined;
    return {
      id: claim.id,
      announced,
      end() {
        if (!released) withdraw(claim);
        released ??= Promise.resolve();
      },
      release: (given) =>
        released ??= startRelease(claim, given?.mayStartLate ?? false),
    };
  };

  links.onCall(heldClaimsCall, ({ ids }) => {
    const held = ids.filter((id) => claims.has(id));
    return Promise.resolve({ held });
  });
  links.onPeersChange(announceAfresh);

  return {
    hold: (engine, kind, name, given) =>
      start({ engine, kind, id: toEngineId(owner, name), ...given }),
    adopt: (engine, id, given) =>
      start({ engine, kind: "stream", id, ...given }),
    isHeld: (id) => claims.has(id),
    held: () => [...claims.values()],
    async whenReleased(limit) {
      const done = Promise.allSettled([...releases]);
      await Promise.race([done, clock.sleep(limit, stop.signal)]);
    },
    close() {
      stop.abort(new Error("closed"));
      announceTimer?.cancel();
      withdrawTimer?.cancel();
    },
  };
}
