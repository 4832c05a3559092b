import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";

/// How upstreams have answered lately. A health probe that passes says little
/// about requests, so results decide: those of this VM, and what the other VMs
/// tell of theirs, since one VM of many meets an upstream too seldom to learn
/// from its own failures alone. An upstream may fail some VMs only, so a VM
/// believes its own results first, and others only if most of them agree.

/// Weight of the newest result in an upstream's share of failures: about the
/// last seven results count.
const RESULT_WEIGHT = 0.15;
/// Time in which a share of failures halves without further results, so that
/// an upstream which is avoided gets another chance.
const HALF_LIFE_MILLISECONDS: Milliseconds = 3_000;
/// Suspension after the first failure that says an upstream is unreachable;
/// doubled by each further one.
const FIRST_SUSPENSION_MILLISECONDS: Milliseconds = 1_000;
const LONGEST_SUSPENSION_MILLISECONDS: Milliseconds = 8_000;
/// Suspensions that other VMs caused end up to this share later, each VM's at
/// another time: the first that tries the upstream tells the others.
const SUSPENSION_SPREAD = 1;

/// Time for which a VM's word of an upstream counts.
const WORD_AGE_MILLISECONDS: Milliseconds = 4_000;
/// Least time between two words of one VM on one upstream.
const WORD_INTERVAL_MILLISECONDS: Milliseconds = 500;
/// Requests that an upstream must have failed lately, of this VM or of so many
/// VMs. One alone may have had trouble of its own.
const DOUBTS = 2;
/// Age up to which this VM's own success counts against others' failures.
const OWN_SUCCESS_MILLISECONDS: Milliseconds = 1_000;

/// Cause of a suspension after other VMs' words alone.
const OTHERS = "other VMs";

const wordMessage = defineMessage(
  "gateway.health",
  Type.Object({ upstream: Type.String(), hasFailed: Type.Boolean() }),
  { replaceKey: ({ upstream }) => upstream },
);

export interface UpstreamHealth {
  recordSuccess(id: string): void;
  /// Notes that the upstream has begun to answer.
  recordResponding(id: string): void;
  /// A failed answer from an upstream that can be reached.
  recordFailure(id: string): void;
  /// An answer broke or never came, though a connection was made.
  recordBroken(id: string): void;
  /// The upstream takes no connections.
  recordUnreachable(id: string): void;
  /// Share of recent results that failed, 0 to 1.
  failureShare(id: string): number;
  /// Whether nothing should be sent while others are there. When a suspension
  /// ends, one request at a time tries the upstream until one succeeds.
  isSuspended(id: string): boolean;
  /// Notes that a request is sent, which may be such a try.
  recordSent(id: string): void;
  remove(id: string): void;
}

interface Record {
  failureShare: number;
  /// When the share was last brought up to date.
  sharedAt: Milliseconds;
  suspendedAt: Milliseconds;
  suspendedUntil: Milliseconds;
  /// Length of the last suspension; 0 if the upstream has succeeded since.
  suspension: Milliseconds;
  /// Answers in a row that broke.
  broken: number;
  succeededAt: Milliseconds;
  toldAt: Milliseconds;
  /// The other VMs' last word each.
  words: Map<
    string,
    { readonly hasFailed: boolean; readonly at: Milliseconds }
  >;
}

export interface UpstreamHealthOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
}

export function createUpstreamHealth(
  { clock, random, log, links }: UpstreamHealthOptions,
): UpstreamHealth {
  const records = new Map<string, Record>();

  const recordOf = (id: string): Record => {
    const record = records.get(id) ??
      {
        failureShare: 0,
        sharedAt: clock.now(),
        suspendedAt: -Infinity,
        suspendedUntil: -Infinity,
        suspension: 0,
        broken: 0,
        succeededAt: -Infinity,
        toldAt: -Infinity,
        words: new Map(),
      };
    records.set(id, record);
    return record;
  };

  const shareOf = (record: Record): number => {
    const halvings = (clock.now() - record.sharedAt) / HALF_LIFE_MILLISECONDS;
    return record.failureShare * 0.5 ** halvings;
  };

  const add = (id: string, failed: number) => {
    const record = recordOf(id);
    const share = shareOf(record);
    record.failureShare = share + (failed - share) * RESULT_WEIGHT;
    record.sharedAt = clock.now();
    return record;
  };

  const tell = (id: string, hasFailed: boolean) => {
    const record = recordOf(id);
    const now = clock.now();
    if (now - record.toldAt < WORD_INTERVAL_MILLISECONDS) return;
    record.toldAt = now;
    links.broadcast(wordMessage, { upstream: id, hasFailed });
  };

  /// How many other VMs lately said that the upstream failed, or served, them.
  const countWords = ({ words }: Record) => {
    const since = clock.now() - WORD_AGE_MILLISECONDS;
    const recent = [...words.values()].filter(({ at }) => at >= since);
    const failing = recent.filter(({ hasFailed }) => hasFailed).length;
    return { failing, served: recent.length - failing };
  };

  const suspend = (
    id: string,
    { spread, cause }: { spread: number; cause: string },
  ) => {
    const record = recordOf(id);
    const now = clock.now();
    // Several requests break together: that counts once.
    if (now < record.suspendedAt + record.suspension) return;
    const isFirst = record.suspension === 0;
    record.suspension = Math.min(
      LONGEST_SUSPENSION_MILLISECONDS,
      Math.max(FIRST_SUSPENSION_MILLISECONDS, 2 * record.suspension),
    );
    record.suspendedAt = now;
    record.suspendedUntil = now +
      record.suspension * (1 + spread * random.next());
    // What other VMs have found out is told here once.
    if (cause === OTHERS && !isFirst) return;
    const { failing, served } = countWords(record);
    log.warn("upstream suspended", {
      upstream: id,
      cause,
      milliseconds: Math.round(record.suspendedUntil - now),
      failureShare: record.failureShare,
      vmsFailed: failing,
      vmsServed: served,
    });
  };

  const noteSuccess = (id: string) => {
    const record = add(id, 0);
    const now = clock.now();
    record.succeededAt = now;
    record.broken = 0;
    if (record.suspension > 0) log.info("upstream regained", { upstream: id });
    record.suspension = 0;
    record.suspendedUntil = -Infinity;
    if (countWords(record).failing > 0) tell(id, false);
  };

  links.onMessage(wordMessage, ({ upstream, hasFailed }, { vm }) => {
    const record = recordOf(upstream);
    const now = clock.now();
    record.words.set(vm, { hasFailed, at: now });
    if (!hasFailed) return;
    if (now - record.succeededAt < OWN_SUCCESS_MILLISECONDS) {
      return tell(upstream, false);
    }
    const { failing, served } = countWords(record);
    const isDoubted = failing >= DOUBTS || record.suspension > 0;
    if (!isDoubted || failing <= served) return;
    suspend(upstream, { spread: SUSPENSION_SPREAD, cause: OTHERS });
  });

  return {
    recordSuccess: noteSuccess,
    recordResponding(id) {
      const record = recordOf(id);
      record.succeededAt = clock.now();
      record.broken = 0;
    },
    recordFailure: (id) => void add(id, 1),
    recordBroken(id) {
      const record = add(id, 1);
      record.broken += 1;
      tell(id, true);
      const { failing, served } = countWords(record);
      const isDoubted = record.broken >= DOUBTS || record.suspension > 0 ||
        (failing + 1 >= DOUBTS && failing >= served);
      if (!isDoubted) return;
      suspend(id, { spread: SUSPENSION_SPREAD, cause: "broken answers" });
    },
    recordUnreachable(id) {
      add(id, 1);
      tell(id, true);
      suspend(id, { spread: 0, cause: "unreachable" });
    },
    failureShare(id) {
      const record = records.get(id);
      return record ? shareOf(record) : 0;
    },
    isSuspended(id) {
      const record = records.get(id);
      return record !== undefined && clock.now() < record.suspendedUntil;
    },
    recordSent(id) {
      const record = records.get(id);
      if (!record || record.suspension === 0) return;
      record.suspendedUntil = clock.now() + record.suspension;
    },
    remove: (id) => void records.delete(id),
  };
}
