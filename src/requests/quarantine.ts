import { createHash } from "node:crypto";
import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { createCrashRecords } from "./crash_records.ts";
import { createFleetPermits, type Permit } from "./fleet_permits.ts";
import { RequestError } from "./request_error.ts";

/// Keeps a request that crashes engines from taking down more than two of the
/// fleet's, whoever sends it again and where.

/// Engines that one fingerprint may take down.
const CRASH_LIMIT = 2;
/// Time for which a request that has run to its end is not watched.
const HARMLESS_MILLISECONDS: Milliseconds = 600_000;
const REMEMBERED_HARMLESS = 50_000;
const PERMIT_RETRY_MILLISECONDS: Milliseconds = 50;
/// Longest time for which an engine is left to a suspect without notice.
const EXCLUSIVE_MILLISECONDS: Milliseconds = 60_000;
const FINGERPRINT_LENGTH = 32;
const ENGINE_PREFIX = "engine ";

/// Tells other VMs which engine runs a suspect, or no longer does.
const exclusiveMessage = defineMessage(
  "quarantine.exclusive",
  Type.Object({ engine: Type.String(), exclusive: Type.Boolean() }),
);

/// Tells the home of a fingerprint that it has run to its end.
const harmlessMessage = defineMessage(
  "quarantine.harmless",
  Type.Object({ fingerprint: Type.String() }),
);

/// Names a request by what it asks for, whoever brings it.
export function fingerprintOf(
  request: { customer: string; model: string; body: string },
): string {
  return createHash("sha256")
    .update(JSON.stringify([request.customer, request.model]))
    .update(request.body)
    .digest("hex")
    .slice(0, FINGERPRINT_LENGTH);
}

/// One try of a request. Over after `completed`, `crashed` or `stop`.
export interface WatchedAttempt {
  /// Whether engines died under the request before.
  readonly isSuspect: boolean;
  /// Takes an engine for this suspect alone; false when another has it.
  acquireEngine(engine: string): Promise<boolean>;
  completed(): void;
  /// Notes that the engine died. Resolves when the other VMs know.
  crashed(): Promise<void>;
  stop(): void;
}

export interface Quarantine {
  /// Waits until the request may run. Throws `RequestError` when it is
  /// quarantined, or the signal's reason.
  admit(fingerprint: string, signal: AbortSignal): Promise<WatchedAttempt>;
  /// Whether a suspect runs there now; other requests go elsewhere.
  isExclusive(engine: string): boolean;
  close(): void;
}

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly links: Links;
}

const UNCOUNTED: Permit = { return: () => {} };

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { clock, links } = options;
  const marks = createCrashRecords(options);
  /// Until when fingerprints count as harmless.
  const harmless = new Map<string, Milliseconds>();
  /// Until when engines are left to a suspect.
  const exclusive = new Map<string, Milliseconds>();

  const isHarmless = (fingerprint: string) =>
    marks.count(fingerprint) === 0 &&
    (harmless.get(fingerprint) ?? 0) > clock.now();

  /// Every running try may take down an engine, so those count as well.
  const limitOf = (key: string) => {
    if (key.startsWith(ENGINE_PREFIX)) return 1;
    if (isHarmless(key)) return Infinity;
    return CRASH_LIMIT - marks.count(key);
  };

  const permits = createFleetPermits({ clock, links, limitOf });

  const noteHarmless = (fingerprint: string) => {
    harmless.delete(fingerprint);
    harmless.set(fingerprint, clock.now() + HARMLESS_MILLISECONDS);
    if (harmless.size <= REMEMBERED_HARMLESS) return;
    harmless.delete([...harmless.keys()][0]!);
  };

  const noteExclusive = (engine: string, isExclusive: boolean) => {
    if (!isExclusive) exclusive.delete(engine);
    else exclusive.set(engine, clock.now() + EXCLUSIVE_MILLISECONDS);
  };

  const setExclusive = (engine: string, isExclusive: boolean) => {
    noteExclusive(engine, isExclusive);
    links.broadcast(exclusiveMessage, { engine, exclusive: isExclusive });
  };

  const watch = (fingerprint: string, permit: Permit): WatchedAttempt => {
    const taken = new Map<string, Permit>();
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      for (const [engine, enginePermit] of taken) {
        enginePermit.return();
        setExclusive(engine, false);
      }
      taken.clear();
      permit.return();
    };
    return {
      isSuspect: marks.count(fingerprint) > 0,
      async acquireEngine(engine) {
        const enginePermit = await permits.take(ENGINE_PREFIX + engine);
        if (!enginePermit) return false;
        taken.set(engine, enginePermit);
        setExclusive(engine, true);
        return true;
      },
      completed() {
        if (ended) return;
        marks.clear(fingerprint);
        noteHarmless(fingerprint);
        const home = permits.homeOf(fingerprint);
        if (permit !== UNCOUNTED && home !== links.self.vm) {
          links.send(home, harmlessMessage, { fingerprint });
        }
        end();
      },
      async crashed() {
        await marks.record(fingerprint);
        end();
      },
      stop: end,
    };
  };

  const requireNotQuarantined = (fingerprint: string) => {
    if (marks.count(fingerprint) < CRASH_LIMIT) return;
    const retryAfterSeconds = Math.ceil(marks.remaining(fingerprint) / 1_000);
    throw new RequestError("quarantined", { retryAfterSeconds });
  };

  links.onMessage(exclusiveMessage, (value) => {
    noteExclusive(value.engine, value.exclusive);
  });
  links.onMessage(harmlessMessage, ({ fingerprint }) => {
    noteHarmless(fingerprint);
  });

  return {
    async admit(fingerprint, signal) {
      while (true) {
        signal.throwIfAborted();
        requireNotQuarantined(fingerprint);
        if (isHarmless(fingerprint)) return watch(fingerprint, UNCOUNTED);
        const permit = await permits.take(fingerprint);
        if (permit) return watch(fingerprint, permit);
        await clock.sleep(PERMIT_RETRY_MILLISECONDS, signal);
      }
    },
    isExclusive: (engine) => (exclusive.get(engine) ?? 0) > clock.now(),
    close: () => permits.close(),
  };
}
