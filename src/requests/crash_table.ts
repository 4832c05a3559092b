import type { Clock, Milliseconds } from "../support/clock.ts";

/// What ran on upstreams when they crashed. A key stands for something that may
/// have caused a crash: the fingerprint of a request, or a part that prompts
/// share.

/// Time for which a crash counts, and so for which its cause is refused.
export const RETENTION_MILLISECONDS: Milliseconds = 600_000;
/// Maximum number of requests in all crashes, of cleared crashes, and of completed
/// requests and parts each, that one VM keeps. Above it, the oldest are removed.
const MAXIMUM_ENTRIES = 10_000;
const PART_KEY_PREFIX = "part ";

/// A request that ran on an upstream when it crashed.
export interface CrashedRequest {
  /// ID of the crash.
  readonly crash: string;
  readonly fingerprint: string;
  /// IDs of the parts of its prompt that other requests may share.
  readonly parts: readonly string[];
  /// Time for which it had been there.
  readonly ran: Milliseconds;
  /// Whether it was sent there after an earlier upstream had crashed with it.
  readonly isRetry: boolean;
}

export interface CrashTable {
  /// Adds a request to a crash of `age`. Returns false if that is known already
  /// or was cleared.
  add(request: CrashedRequest, age: Milliseconds): boolean;
  /// IDs of all crashes, oldest first.
  crashes(): readonly string[];
  /// IDs of the crashes in which the key took part, oldest first.
  crashesOf(key: string): readonly string[];
  /// The requests that took part in a crash.
  requestsIn(crash: string): readonly CrashedRequest[];
  /// Time of a crash.
  timeOf(crash: string): Milliseconds;
  /// Time until the last crash of a key expires.
  remaining(key: string): Milliseconds;
  /// Records that the key caused none of these crashes.
  clear(key: string, crashes: readonly string[]): void;
  /// Records that a request with the key has completed.
  recordCompleted(key: string): void;
  /// Whether a request with the key has completed.
  hasCompleted(key: string): boolean;
  /// All requests, with the ages of their crashes.
  entries(): readonly (CrashedRequest & { readonly age: Milliseconds })[];
}

/// Returns the key of a part that prompts share.
export function partKey(part: string): string {
  return PART_KEY_PREFIX + part;
}

interface Crash {
  readonly at: Milliseconds;
  /// By fingerprint.
  readonly requests: Map<string, CrashedRequest>;
}

export function createCrashTable(clock: Clock): CrashTable {
  const crashes = new Map<string, Crash>();
  const crashesByKey = new Map<string, Set<string>>();
  /// Crashes that a key has not caused, as `clearedName`.
  const cleared = new Set<string>();
  /// Keys with which requests have completed. Fingerprints seldom come again and
  /// must not take the place of parts.
  const completedRequests = new Set<string>();
  const completedParts = new Set<string>();
  let requestCount = 0;

  const addBounded = (set: Set<string>, value: string) => {
    set.delete(value);
    set.add(value);
    if (set.size > MAXIMUM_ENTRIES) set.delete(set.keys().next().value!);
  };

  const completedLike = (key: string) =>
    key.startsWith(PART_KEY_PREFIX) ? completedParts : completedRequests;

  const clearedName = (key: string, crash: string) => `${key} ${crash}`;

  const keysOfRequest = ({ fingerprint, parts }: CrashedRequest) => [
    fingerprint,
    ...parts.map(partKey),
  ];

  const removeFrom = (key: string, crash: string) => {
    const ids = crashesByKey.get(key);
    ids?.delete(crash);
    if (ids?.size === 0) crashesByKey.delete(key);
  };

  const removeCrash = (id: string) => {
    const { requests } = crashes.get(id)!;
    crashes.delete(id);
    requestCount -= requests.size;
    for (const request of requests.values()) {
      for (const key of keysOfRequest(request)) removeFrom(key, id);
    }
  };

  const removeOldest = () => {
    const oldest = clock.now() - RETENTION_MILLISECONDS;
    for (const [id, { at }] of crashes) {
      if (at > oldest && requestCount <= MAXIMUM_ENTRIES) return;
      removeCrash(id);
    }
  };

  const isCleared = (key: string, crash: string) =>
    cleared.has(clearedName(key, crash));

  return {
    add(request, age) {
      const { crash: id, fingerprint } = request;
      const crash = crashes.get(id) ??
        { at: clock.now() - age, requests: new Map<string, CrashedRequest>() };
      if (crash.requests.has(fingerprint)) return false;
      const keys = keysOfRequest(request).filter((key) => !isCleared(key, id));
      if (keys.length === 0) return false;
      crashes.set(id, crash);
      crash.requests.set(fingerprint, request);
      requestCount += 1;
      for (const key of keys) {
        const ids = crashesByKey.get(key) ?? new Set();
        crashesByKey.set(key, ids.add(id));
      }
      removeOldest();
      return true;
    },
    crashes() {
      removeOldest();
      return [...crashes.keys()];
    },
    crashesOf(key) {
      removeOldest();
      return [...crashesByKey.get(key) ?? []];
    },
    requestsIn: (id) => [...crashes.get(id)?.requests.values() ?? []],
    timeOf: (id) => crashes.get(id)?.at ?? -Infinity,
    remaining(key) {
      const times = [...crashesByKey.get(key) ?? []]
        .map((id) => crashes.get(id)!.at);
      return Math.max(
        0,
        ...times.map((at) => at + RETENTION_MILLISECONDS - clock.now()),
      );
    },
    clear(key, ids) {
      for (const id of ids) {
        addBounded(cleared, clearedName(key, id));
        removeFrom(key, id);
      }
    },
    recordCompleted: (key) => addBounded(completedLike(key), key),
    hasCompleted: (key) => completedLike(key).has(key),
    entries() {
      removeOldest();
      return [...crashes.values()].flatMap(({ at, requests }) =>
        [...requests.values()]
          .filter((request) =>
            keysOfRequest(request).some((key) => !isCleared(key, request.crash))
          )
          .map((request) => ({ ...request, age: clock.now() - at }))
      );
    },
  };
}
