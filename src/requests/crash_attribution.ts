import type { CrashRecords } from "./crash_records.ts";
import { partKey } from "./crash_table.ts";
import type { Milliseconds } from "../support/clock.ts";

/// Decides from the records of crashes which requests are refused, for loads in
/// which a request, or a part that prompts share, crashes each upstream that runs
/// it. Many requests run beside the cause and take part in its crashes. The cause
/// differs from them in what its crashes have in common, and in that no request
/// with it completes.

/// Crashes after which a request or a part is refused.
const CRASHES_UNTIL_REFUSED = 3;
/// The same for a part that requests have completed with, one that took part in
/// less than half of the crashes, and one that can't be told from another part.
const CRASHES_UNTIL_DOUBTFUL_REFUSED = 5;
/// Share of the crashes since its first one in which a part takes part that
/// causes them. Where upstreams crash for other reasons, any part takes part in
/// some.
const CAUSE_SHARE = 0.5;
/// Crashes of several upstreams within this time count as one for a part: the
/// loss of a rack or of a data centre ends what runs there at the same moment.
const SIMULTANEOUS_MILLISECONDS: Milliseconds = 50;

/// Why a request is refused.
export interface CrashRefusal {
  readonly reason: string;
  /// Time until the crashes expire.
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
  | "remaining"
>;

/// Returns why a request is refused; undefined if it may run.
export function findCrashRefusal(
  known: KnownCrashes,
  { fingerprint, parts }: Suspects,
): CrashRefusal | undefined {
  const isCause = createPartDecision(known);
  const part = parts.find(isCause);
  if (part !== undefined) {
    return {
      reason: `upstreams crashed with the part ${part} of the prompt`,
      retryAfter: known.remaining(partKey(part)),
    };
  }
  const crashes = known.crashesOf(fingerprint);
  if (crashes.length < CRASHES_UNTIL_REFUSED) return undefined;
  const unexplained = crashes.filter((crash) =>
    !known.requestsIn(crash).some((request) => request.parts.some(isCause))
  );
  if (unexplained.length < CRASHES_UNTIL_REFUSED) return undefined;
  return {
    reason: "upstreams crashed with this request",
    retryAfter: known.remaining(fingerprint),
  };
}

/// Returns a function that decides whether a part of prompts crashes upstreams.
/// It remembers its decisions, so it is used for one request only.
export function createPartDecision(
  known: KnownCrashes,
): (part: string) => boolean {
  const decisions = new Map<string, boolean>();

  /// Whether a prompt of a crash goes on after `part` with a cause, which fewer
  /// prompts have than `part`.
  const hasCauseAfter = (crash: string, part: string): boolean =>
    known.requestsIn(crash).some(({ parts }) => {
      const index = parts.indexOf(part);
      return index >= 0 && parts.slice(index + 1).some(isCause);
    });

  /// Number of crashes, counting simultaneous ones once.
  const countSeparate = (crashes: readonly string[]): number => {
    const times = crashes.map(known.timeOf).sort((left, right) => left - right);
    let last = -Infinity;
    return times.filter((time) => {
      const isSeparate = time - last > SIMULTANEOUS_MILLISECONDS;
      if (isSeparate) last = time;
      return isSeparate;
    }).length;
  };

  /// Whether most crashes since the first of these are others.
  const isInFew = (crashes: readonly string[]): boolean => {
    const first = Math.min(...crashes.map(known.timeOf));
    const since = known.crashes().filter((id) => known.timeOf(id) >= first);
    return countSeparate(crashes) < CAUSE_SHARE * countSeparate(since);
  };

  const decide = (part: string): boolean => {
    const all = known.crashesOf(partKey(part));
    if (countSeparate(all) < CRASHES_UNTIL_REFUSED) return false;
    const threshold = known.hasCompleted(part) || isInFew(all)
      ? CRASHES_UNTIL_DOUBTFUL_REFUSED
      : CRASHES_UNTIL_REFUSED;
    const crashes = all.filter((crash) => !hasCauseAfter(crash, part));
    if (countSeparate(crashes) < threshold) return false;
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
        countSeparate(crashes) < CRASHES_UNTIL_DOUBTFUL_REFUSED;
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
