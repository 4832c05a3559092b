import { createHash } from "node:crypto";
import { Type } from "@sinclair/typebox";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { findCrashRefusal, type Suspects } from "./crash_attribution.ts";
import { createCrashRecords, type ObservedCrash } from "./crash_records.ts";
import { createFleetPermits, type Permit } from "./fleet_permits.ts";
import { RequestError } from "./request_error.ts";
import { createStoredCrashes } from "./stored_crashes.ts";
import { readStoredCrashes } from "./stored_crashes_reader.ts";

/// Limits a request that crashes engines to two crashes in the whole fleet,
/// however often it is resent and whichever VMs receive it. Attempts at engines
/// need a permit, so that the limit also holds for concurrent ones. Calls of
/// services need none: many are equal, and the recorded crashes decide.

/// Crashes after which a fingerprint is refused.
const MAXIMUM_CRASHES = 2;
/// Time for which a request that has completed is not watched.
const HARMLESS_RETENTION_MILLISECONDS: Milliseconds = 600_000;
const MAXIMUM_HARMLESS_FINGERPRINTS = 50_000;
const PERMIT_RETRY_DELAY_MILLISECONDS: Milliseconds = 50;
/// Maximum time for which an engine stays reserved for a suspect request if no
/// message ends the reservation.
const EXCLUSIVE_MILLISECONDS: Milliseconds = 60_000;
const FINGERPRINT_LENGTH = 32;
const ENGINE_KEY_PREFIX = "engine ";

/// Reports to other VMs whether an engine is reserved for a suspect request.
const exclusiveMessage = defineMessage(
  "quarantine.exclusive",
  Type.Object({ engine: Type.String(), exclusive: Type.Boolean() }),
);

/// Reports to the owner of a fingerprint that a request with it has completed.
const harmlessMessage = defineMessage(
  "quarantine.harmless",
  Type.Object({ fingerprint: Type.String() }),
);

/// Digest of a request's customer, model and body, by which a resent request is
/// recognised.
export function fingerprintOf(
  request: { customer: string; model: string; body: string },
): string {
  return createHash("sha256")
    .update(JSON.stringify([request.customer, request.model]))
    .update(request.body)
    .digest("hex")
    .slice(0, FINGERPRINT_LENGTH);
}

/// One attempt of a request. It ends with `completed`, `crashed` or `stop`.
export interface WatchedAttempt {
  /// Whether engines have crashed while running this request.
  readonly isSuspect: boolean;
  /// Reserves an engine for this suspect request. Resolves to false when the
  /// engine is reserved for another one.
  acquireEngine(engine: string): Promise<boolean>;
  completed(): void;
  /// Records the crash of an engine. Resolves when the connected VMs have
  /// confirmed it, or after a bounded time.
  crashed(engine: string): Promise<void>;
  stop(): void;
}

export interface Quarantine {
  /// Waits until the request may run. Throws `RequestError` when it is
  /// quarantined, or the signal's reason.
  admit(suspects: Suspects, signal: AbortSignal): Promise<WatchedAttempt>;
  /// Throws `RequestError` when the request is quarantined.
  requireAllowed(suspects: Suspects): void;
  /// Records the crash of an upstream outside of a watched attempt. Resolves when
  /// the connected VMs have confirmed it, or after a bounded time.
  recordCrash(
    fingerprint: string,
    crash: { readonly upstream: string; readonly ran: Milliseconds },
  ): Promise<void>;
  /// Records that a request has completed outside of a watched attempt.
  recordCompleted(fingerprint: string): void;
  /// Whether the engine is reserved for a suspect request, so that other
  /// requests must use another engine.
  isExclusive(engine: string): boolean;
  close(): void;
}

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly log: Logger;
  /// Keeps the crashes of requests that are refused.
  readonly store: KeyValueStore;
}

const UNCOUNTED: Permit = { release: () => {} };

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { clock, links, log, store } = options;
  const stop = new AbortController();
  const crashes = createCrashRecords({
    clock,
    links,
    log,
    // Only the VM that wrote an entry, or read it at its start, knows of it.
    onCleared: (key) => storedCrashes.remove(key),
  });
  const storedCrashes = createStoredCrashes({
    clock,
    log,
    store,
    records: crashes,
  });
  readStoredCrashes({ clock, store, storedCrashes }, stop.signal);
  /// Time until which a fingerprint counts as harmless.
  const harmlessUntil = new Map<string, Milliseconds>();
  /// Time until which an engine is reserved for a suspect request.
  const exclusiveUntil = new Map<string, Milliseconds>();

  const isHarmless = (fingerprint: string) =>
    crashes.count(fingerprint) === 0 &&
    (harmlessUntil.get(fingerprint) ?? 0) > clock.now();

  /// Every running attempt may crash an engine. The crash limit therefore
  /// applies to recorded crashes and permits in use together.
  const limitOf = (key: string) => {
    if (key.startsWith(ENGINE_KEY_PREFIX)) return 1;
    if (isHarmless(key)) return Infinity;
    return MAXIMUM_CRASHES - crashes.count(key);
  };

  const permits = createFleetPermits({ clock, links, limitOf });

  const recordHarmless = (fingerprint: string) => {
    harmlessUntil.delete(fingerprint);
    harmlessUntil.set(
      fingerprint,
      clock.now() + HARMLESS_RETENTION_MILLISECONDS,
    );
    if (harmlessUntil.size <= MAXIMUM_HARMLESS_FINGERPRINTS) return;
    harmlessUntil.delete([...harmlessUntil.keys()][0]!);
  };

  const recordExclusive = (engine: string, isExclusive: boolean) => {
    if (!isExclusive) exclusiveUntil.delete(engine);
    else exclusiveUntil.set(engine, clock.now() + EXCLUSIVE_MILLISECONDS);
  };

  const setExclusive = (engine: string, isExclusive: boolean) => {
    recordExclusive(engine, isExclusive);
    links.broadcast(exclusiveMessage, { engine, exclusive: isExclusive });
  };

  const recordCrash = async (
    crash: ObservedCrash & { readonly parts: readonly string[] },
  ) => {
    const { fingerprint, parts } = crash;
    const recorded = crashes.record(crash);
    if (crashes.count(fingerprint) >= MAXIMUM_CRASHES) {
      storedCrashes.save(fingerprint);
    }
    const refusal = findCrashRefusal(crashes, { fingerprint, parts });
    if (refusal) storedCrashes.save(refusal.key);
    await recorded;
  };

  const watch = (
    { fingerprint, parts }: Suspects,
    permit: Permit,
  ): WatchedAttempt => {
    const startedAt = clock.now();
    const enginePermits = new Map<string, Permit>();
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      for (const [engine, enginePermit] of enginePermits) {
        enginePermit.release();
        setExclusive(engine, false);
      }
      enginePermits.clear();
      permit.release();
    };
    return {
      isSuspect: crashes.count(fingerprint) > 0,
      async acquireEngine(engine) {
        const enginePermit = await permits.acquire(ENGINE_KEY_PREFIX + engine);
        if (!enginePermit) return false;
        enginePermits.set(engine, enginePermit);
        setExclusive(engine, true);
        return true;
      },
      completed() {
        if (ended) return;
        crashes.clear(fingerprint, parts);
        recordHarmless(fingerprint);
        const owner = permits.ownerOf(fingerprint);
        if (permit !== UNCOUNTED && owner !== links.self.vm) {
          links.send(owner, harmlessMessage, { fingerprint });
        }
        end();
      },
      async crashed(engine) {
        const ran = clock.now() - startedAt;
        await recordCrash({ fingerprint, parts, upstream: engine, ran });
        end();
      },
      stop: end,
    };
  };

  const refuse = (retryAfter: Milliseconds): never => {
    const retryAfterSeconds = Math.ceil(retryAfter / 1_000);
    throw new RequestError("quarantined", { retryAfterSeconds });
  };

  const requireAllowed = (suspects: Suspects) => {
    const refusal = findCrashRefusal(crashes, suspects);
    if (refusal) refuse(refusal.retryAfter);
  };

  links.onMessage(exclusiveMessage, (value) => {
    recordExclusive(value.engine, value.exclusive);
  });
  links.onMessage(harmlessMessage, ({ fingerprint }) => {
    recordHarmless(fingerprint);
  });

  return {
    async admit(suspects, signal) {
      const { fingerprint } = suspects;
      while (true) {
        signal.throwIfAborted();
        if (crashes.count(fingerprint) >= MAXIMUM_CRASHES) {
          refuse(crashes.remaining(fingerprint));
        }
        requireAllowed(suspects);
        if (isHarmless(fingerprint)) return watch(suspects, UNCOUNTED);
        const permit = await permits.acquire(fingerprint);
        if (permit) return watch(suspects, permit);
        await clock.sleep(PERMIT_RETRY_DELAY_MILLISECONDS, signal);
      }
    },
    requireAllowed,
    recordCrash: (fingerprint, crash) =>
      recordCrash({ fingerprint, parts: [], ...crash }),
    recordCompleted: (fingerprint) => crashes.clear(fingerprint),
    isExclusive: (engine) => (exclusiveUntil.get(engine) ?? 0) > clock.now(),
    close() {
      stop.abort(new Error("closed"));
      permits.close();
    },
  };
}
