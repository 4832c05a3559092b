import type { CrashRecords } from "./crash_records.ts";
import { type CrashedRequest, partKey } from "./crash_table.ts";
import type { Milliseconds } from "../support/clock.ts";

/// Decides from the records of crashes which requests are refused, for loads in
/// which a request, or a part that prompts share, crashes each upstream that runs
/// it. Many requests run beside the cause and take part in its crashes. The cause
/// differs from them in what its crashes have in common, and in that no request
/// with it completes.

/// Crashes after which a request or a part is refused.
const CRASHES_UNTIL_REFUSED = 3;
/// The same for a request or a part that has completed before, a part that took
/// part in less than half of the crashes, and one that can't be told from another
/// part.
const CRASHES_UNTIL_DOUBTFUL_REFUSED = 5;
/// Share of crashes in which their cause takes part. Where upstreams crash for
/// other reasons, any part takes part in some.
const CAUSE_SHARE = 0.5;
/// Latency of reports, by which the times of crashes that two VMs report differ.
const REPORT_LATENCY_MILLISECONDS: Milliseconds = 10;
/// Time between two crashes that aren't the loss of several upstreams at once.
/// VMs notice a closed connection within some milliseconds, or later under load.
const SEPARATE_CRASHES_MILLISECONDS: Milliseconds = 100;

/// Time after the last crash for which its cause is refused. Then it is tried
/// again, by one VM after the other: a part that was refused by mistake can't
/// complete and be cleared otherwise. Each further crash doubles the time.
const FIRST_REFUSAL_MILLISECONDS: Milliseconds = 30_000;
const MAXIMUM_REFUSAL_MILLISECONDS: Milliseconds = 300_000;

/// Why a request is refused.
export interface CrashRefusal {
  /// The fingerprint of the request, or the key of a part of its prompt.
  readonly key: string;
  readonly reason: string;
  /// Time until it is tried again.
  readonly retryAfter: Milliseconds;
}

/// What of a request may crash upstreams.
export interface Suspects {
  readonly fingerprint: string;
  /// IDs of the parts of its prompt that other requests may share, in order.
  readonly parts: readonly string[];
}

/// What is known of crashes.
export type KnownCrashes = Pick<
  CrashRecords,
  | "crashes"
  | "crashesOf"
  | "requestsIn"
  | "hasCompleted"
  | "timeOf"
  | "ageOf"
  | "turnOf"
>;

/// Returns why a request is refused; undefined if it may run.
export function findCrashRefusal(
  known: KnownCrashes,
  { fingerprint, parts }: Suspects,
): CrashRefusal | undefined {
  const isCause = createPartDecision(known);
  for (const part of parts.filter(isCause)) {
    const key = partKey(part);
    const reason = `upstreams crashed with the part ${part} of the prompt`;
    const count = countSeparate(
      known,
      known.crashesOf(key),
      (request) => request.parts.includes(part),
    );
    const retryAfter = timeUntilTrial(known, { key, count });
    if (retryAfter > 0) return { key, reason, retryAfter };
  }
  const crashes = known.crashesOf(fingerprint);
  const threshold = known.hasCompleted(fingerprint)
    ? CRASHES_UNTIL_DOUBTFUL_REFUSED
    : CRASHES_UNTIL_REFUSED;
  const countOf = (some: readonly string[]) =>
    countSeparate(
      known,
      some,
      (request) => request.fingerprint === fingerprint,
    );
  if (countOf(crashes) < threshold) return undefined;
  const count = countOf(
    crashes.filter((crash) =>
      !known.requestsIn(crash).some((request) => request.parts.some(isCause))
    ),
  );
  if (count < threshold) return undefined;
  const retryAfter = timeUntilTrial(known, { key: fingerprint, count });
  const reason = "upstreams crashed with this request";
  return retryAfter > 0 ? { key: fingerprint, reason, retryAfter } : undefined;
}

/// Time until this VM tries a cause of `count` crashes again.
function timeUntilTrial(
  known: KnownCrashes,
  { key, count }: { key: string; count: number },
): Milliseconds {
  const age = Math.min(...known.crashesOf(key).map(known.ageOf));
  const refusal = Math.min(
    MAXIMUM_REFUSAL_MILLISECONDS,
    FIRST_REFUSAL_MILLISECONDS * 2 ** (count - CRASHES_UNTIL_REFUSED),
  );
  return refusal * (1 + known.turnOf(key)) - age;
}

/// Number of crashes, counting the loss of several upstreams at once as one: it
/// ends what runs there at the same moment. A crash is separate if a request that
/// `isMeant` is a retry or was sent after the crash before it, or if they are
/// apart in time.
function countSeparate(
  known: KnownCrashes,
  crashes: readonly string[],
  isMeant: (request: CrashedRequest) => boolean,
): number {
  const runs = crashes.map((crash) => {
    const end = known.timeOf(crash);
    const requests = known.requestsIn(crash).filter(isMeant);
    const start = end - Math.min(...requests.map(({ ran }) => ran));
    return { start, end, isRetry: requests.some(({ isRetry }) => isRetry) };
  }).sort((left, right) => left.end - right.end);
  let lastSeparate = -Infinity;
  return runs.filter(({ start, end, isRetry }, index) => {
    const previous = runs[index - 1]?.end ?? -Infinity;
    const isSeparate = isRetry ||
      end - previous > SEPARATE_CRASHES_MILLISECONDS ||
      start >= lastSeparate - REPORT_LATENCY_MILLISECONDS;
    if (isSeparate) lastSeparate = end;
    return isSeparate;
  }).length;
}

/// Returns a function that decides whether a part of prompts crashes upstreams.
/// It remembers its decisions, so it is used for one request only.
function createPartDecision(
  known: KnownCrashes,
): (part: string) => boolean {
  const decisions = new Map<string, boolean>();

  /// The parts that follow `part` in prompts of a crash. Fewer prompts have them
  /// than `part`.
  const partsAfter = (crash: string, part: string): string[] =>
    known.requestsIn(crash).flatMap(({ parts }) => {
      const index = parts.indexOf(part);
      return index < 0 ? [] : parts.slice(index + 1);
    }).filter((later) => known.crashesOf(partKey(later)).includes(crash));

  /// The crashes of a part that no part after it in a prompt explains: one that
  /// is a cause, or that may become one, since it took part in most of them.
  const withoutLaterCauses = (crashes: readonly string[], part: string) => {
    const after = new Map(
      crashes.map((crash) => [crash, new Set(partsAfter(crash, part))]),
    );
    const isInMost = (id: string) =>
      crashes.filter((crash) => after.get(crash)!.has(id)).length >
        CAUSE_SHARE * crashes.length;
    const later = new Set([...after.values()].flatMap((ids) => [...ids]));
    later.delete(part);
    const candidates = [...later].filter((id) => isInMost(id) || isCause(id));
    return crashes.filter((crash) =>
      !candidates.some((id) => after.get(crash)!.has(id))
    );
  };

  const countWith = (crashes: readonly string[], part: string): number =>
    countSeparate(known, crashes, ({ parts }) => parts.includes(part));

  /// Whether most crashes since the first of these are others.
  const isInFew = (crashes: readonly string[], part: string): boolean => {
    const first = Math.min(...crashes.map(known.timeOf));
    const since = known.crashes().filter((id) => known.timeOf(id) >= first);
    return countWith(crashes, part) <
      CAUSE_SHARE * countSeparate(known, since, () => true);
  };

  const decide = (part: string): boolean => {
    const all = known.crashesOf(partKey(part));
    if (countWith(all, part) < CRASHES_UNTIL_REFUSED) return false;
    const threshold = known.hasCompleted(partKey(part)) || isInFew(all, part)
      ? CRASHES_UNTIL_DOUBTFUL_REFUSED
      : CRASHES_UNTIL_REFUSED;
    const crashes = withoutLaterCauses(all, part);
    if (countWith(crashes, part) < threshold) return false;
    const isInAll = (key: string) => {
      const others = known.crashesOf(key);
      return crashes.every((crash) => others.includes(crash));
    };
    const requests = known.requestsIn(crashes[0]!);
    if (requests.some(({ fingerprint }) => isInAll(fingerprint))) return false;
    // Parts of the same prompt are told apart by their order.
    const related = new Set(
      requests.filter(({ parts }) => parts.includes(part))
        .flatMap(({ parts }) => parts),
    );
    return !requests.flatMap(({ parts }) => parts).some((other) => {
      const key = partKey(other);
      if (related.has(other) || !isInAll(key)) return false;
      return known.crashesOf(key).length > all.length ||
        countWith(crashes, part) < CRASHES_UNTIL_DOUBTFUL_REFUSED;
    });
  };

  const isCause = (part: string): boolean => {
    const decision = decisions.get(part);
    if (decision !== undefined) return decision;
    // Ends the recursion where callers send parts in changing order.
    decisions.set(part, false);
    const isDecided = decide(part);
    decisions.set(part, isDecided);
    return isDecided;
  };

  return isCause;
}
