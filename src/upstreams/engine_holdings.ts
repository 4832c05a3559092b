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

/// The engine memory that this VM owns. Each claim is announced to the engine's
/// reapers before the memory is requested, and is released at the end.

/// Claims made within this time are announced together.
const ANNOUNCE_BATCH_MILLISECONDS: Milliseconds = 1;
/// Time after which the confirmation of a reaper is no longer waited for.
const ANNOUNCE_TIMEOUT_MILLISECONDS: Milliseconds = 250;
const WITHDRAW_BATCH_MILLISECONDS: Milliseconds = 100;

/// A claim of this VM on engine memory. It is ended by `end` or `release`,
/// whichever is called first.
export interface Holding {
  readonly id: string;
  /// Resolves when a reaper has confirmed the claim, or after a bounded time.
  readonly announced: Promise<void>;
  /// Records that the engine no longer holds any of the memory.
  end(): void;
  /// Releases the memory in the background and resolves when the engine has
  /// confirmed. With `mayStartLate`, the engine may still receive the call that
  /// requests the memory, so it is released a second time after a delay.
  release(options?: { mayStartLate: boolean }): Promise<void>;
}

export interface HoldOptions {
  /// Time for which another VM may take the claim over once this VM has failed.
  readonly graceMilliseconds?: Milliseconds;
}

export interface EngineHoldings {
  /// Claims memory of an engine under an id derived from `name`, which has to
  /// be unique on this VM.
  hold(
    engine: string,
    kind: EngineClaim["kind"],
    name: string,
    options?: HoldOptions,
  ): Holding;
  /// Claims a stream that this or another VM has started.
  adopt(engine: string, streamId: string, options?: HoldOptions): Holding;
  isHeld(id: string): boolean;
  /// Claims whose release is not confirmed yet.
  held(): readonly EngineClaim[];
  /// Resolves when every release has been confirmed, or after `timeout`.
  whenReleased(timeout: Milliseconds): Promise<void>;
  close(): void;
}

export interface EngineHoldingsOptions {
  readonly clock: Clock;
  readonly links: Links;
  /// The client of an engine, or undefined once the engine is no longer in use.
  readonly clientOf: (engine: string) => EngineClient | undefined;
}

export function createEngineHoldings(
  options: EngineHoldingsOptions,
): EngineHoldings {
  const { clock, links, clientOf } = options;
  const { vm, incarnation } = links.self;
  const owner = { vm, incarnation };
  const claims = new Map<string, EngineClaim>();
  /// Number of holdings of each claim; a stream may be adopted while another
  /// request of this VM still holds it.
  const holdingCounts = new Map<string, number>();
  const releases = new Set<Promise<void>>();
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  let reapersByEngine = new Map<string, readonly string[]>();
  let unannounced: { claim: EngineClaim; done: () => void }[] = [];
  let withdrawn: EngineClaim[] = [];
  let announceTimer: Timer | undefined;
  let withdrawTimer: Timer | undefined;

  const currentReapers = (engine: string) => {
    let reapers = reapersByEngine.get(engine);
    if (!reapers) {
      const live = links.peers().map((peer) => peer.vm);
      reapers = reapersOf(engine, { live, owner: vm });
      reapersByEngine.set(engine, reapers);
    }
    return reapers;
  };

  const groupByReaper = (list: readonly EngineClaim[]) => {
    const groups = new Map<string, EngineClaim[]>();
    for (const claim of list) {
      for (const reaper of currentReapers(claim.engine)) {
        const group = groups.get(reaper) ?? [];
        groups.set(reaper, group);
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
    const limits = { timeoutMilliseconds: ANNOUNCE_TIMEOUT_MILLISECONDS };
    for (const [reaper, list] of groupByReaper(batch.map((b) => b.claim))) {
      const value = { owner, claims: list, all: false };
      calls.set(reaper, links.call(reaper, announceCall, value, limits));
    }
    for (const { claim, done } of batch) {
      const confirmations = currentReapers(claim.engine).map((reaper) =>
        calls.get(reaper)!
      );
      Promise.any(confirmations).then(done, done);
    }
  };

  /// Announces all claims to the current reapers after the peers have changed.
  const announceAll = () => {
    reapersByEngine = new Map();
    if (stop.signal.aborted) return;
    for (const [reaper, list] of groupByReaper([...claims.values()])) {
      const value = { owner, claims: list, all: true };
      links.call(reaper, announceCall, value).catch(() => {});
    }
  };

  const flushWithdrawals = () => {
    withdrawTimer = undefined;
    const batch = withdrawn;
    withdrawn = [];
    for (const [reaper, list] of groupByReaper(batch)) {
      const ids = list.map((claim) => claim.id);
      links.send(reaper, withdrawMessage, { ids });
    }
  };

  const withdraw = (claim: EngineClaim) => {
    const count = holdingCounts.get(claim.id)! - 1;
    holdingCounts.set(claim.id, count);
    if (count > 0) return;
    holdingCounts.delete(claim.id);
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
    holdingCounts.set(claim.id, (holdingCounts.get(claim.id) ?? 0) + 1);
    const announced = currentReapers(claim.engine).length === 0
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
      release: (releaseOptions) =>
        released ??= startRelease(claim, releaseOptions?.mayStartLate ?? false),
    };
  };

  links.onCall(heldClaimsCall, ({ ids }) => {
    const held = ids.filter((id) => claims.has(id));
    return Promise.resolve({ held });
  });
  links.onPeersChange(announceAll);

  return {
    hold: (engine, kind, name, holdOptions) =>
      start({ engine, kind, id: toEngineId(owner, name), ...holdOptions }),
    adopt: (engine, id, holdOptions) =>
      start({ engine, kind: "stream", id, ...holdOptions }),
    isHeld: (id) => claims.has(id),
    held: () => [...claims.values()],
    async whenReleased(timeout) {
      const done = Promise.allSettled([...releases]);
      await Promise.race([done, clock.sleep(timeout, stop.signal)]);
    },
    close() {
      stop.abort(new Error("closed"));
      announceTimer?.cancel();
      withdrawTimer?.cancel();
    },
  };
}
