import { type Static, Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Which requests were running on engines when those died, as known on every
/// VM of the fleet.

/// Time for which a crash is remembered, and a fingerprint quarantined.
const MARK_MILLISECONDS: Milliseconds = 600_000;
const ANNOUNCE_LIMIT_MILLISECONDS: Milliseconds = 500;
/// Marks that one VM remembers; the oldest go first.
const REMEMBERED_MARKS = 10_000;

const CrashMark = Type.Object({
  fingerprint: Type.String(),
  /// Names the crash, so that hearing of it twice counts once.
  id: Type.String(),
  age: Type.Number({ minimum: 0 }),
});
type CrashMark = Static<typeof CrashMark>;

const markCall = defineCall("quarantine.mark", {
  request: Type.Object({ marks: Type.Array(CrashMark) }),
  reply: Type.Object({}),
});

const clearMessage = defineMessage(
  "quarantine.clear",
  Type.Object({ fingerprint: Type.String(), ids: Type.Array(Type.String()) }),
);

export interface CrashRecords {
  /// Crashes that this fingerprint was part of.
  count(fingerprint: string): number;
  /// Time until the last crash of a fingerprint is forgotten.
  remaining(fingerprint: string): Milliseconds;
  /// Notes a crash and tells all linked VMs. Resolves when they have
  /// confirmed, or after a bounded time.
  record(fingerprint: string): Promise<void>;
  /// Forgets the crashes of a request that has run to its end.
  clear(fingerprint: string): void;
}

export interface CrashRecordsOptions {
  readonly clock: Clock;
  readonly links: Links;
}

export function createCrashRecords(options: CrashRecordsOptions): CrashRecords {
  const { clock, links } = options;
  /// Times of crashes by fingerprint and id.
  const marks = new Map<string, Map<string, Milliseconds>>();
  /// Crashes that are cleared; a late mark of one is ignored.
  const cleared = new Set<string>();
  const newPeers = createNewPeers(links);
  let nextId = 0;

  const forgetOldest = <Key>(items: { keys(): Iterable<Key> }, size: number) =>
    size > REMEMBERED_MARKS ? [...items.keys()][0] : undefined;

  const add = ({ fingerprint, id, age }: CrashMark) => {
    if (cleared.has(id)) return;
    const crashes = marks.get(fingerprint) ?? new Map<string, Milliseconds>();
    marks.set(fingerprint, crashes);
    if (!crashes.has(id)) crashes.set(id, clock.now() - age);
    const oldest = forgetOldest(marks, marks.size);
    if (oldest !== undefined) marks.delete(oldest);
  };

  /// Crashes of a fingerprint that are still remembered.
  const crashesOf = (fingerprint: string) => {
    const crashes = marks.get(fingerprint);
    if (!crashes) return [];
    const oldest = clock.now() - MARK_MILLISECONDS;
    for (const [id, time] of crashes) {
      if (time <= oldest) crashes.delete(id);
    }
    if (crashes.size === 0) marks.delete(fingerprint);
    return [...crashes];
  };

  const remove = (fingerprint: string, ids: readonly string[]) => {
    for (const id of ids) {
      marks.get(fingerprint)?.delete(id);
      cleared.add(id);
      const oldest = forgetOldest(cleared, cleared.size);
      if (oldest !== undefined) cleared.delete(oldest);
    }
  };

  const tell = (vm: string, list: CrashMark[]) =>
    links.call(vm, markCall, { marks: list }, {
      timeoutMilliseconds: ANNOUNCE_LIMIT_MILLISECONDS,
    });

  const allMarks = (): CrashMark[] =>
    [...marks.keys()].flatMap((fingerprint) =>
      crashesOf(fingerprint).map(([id, time]) => ({
        fingerprint,
        id,
        age: clock.now() - time,
      }))
    );

  /// Tells VMs that have just connected everything known here.
  const tellNewPeers = () => {
    const added = newPeers();
    const list = allMarks();
    if (list.length === 0) return;
    for (const { vm } of added) tell(vm, list).catch(() => {});
  };

  links.onCall(markCall, ({ marks: list }) => {
    list.forEach(add);
    return Promise.resolve({});
  });
  links.onMessage(clearMessage, ({ fingerprint, ids }) => {
    remove(fingerprint, ids);
  });
  links.onPeersChange(tellNewPeers);

  return {
    count: (fingerprint) => crashesOf(fingerprint).length,
    remaining(fingerprint) {
      const times = crashesOf(fingerprint).map(([, time]) => time);
      return Math.max(
        0,
        ...times.map((time) => time + MARK_MILLISECONDS - clock.now()),
      );
    },
    async record(fingerprint) {
      const { vm, incarnation } = links.self;
      const id = `${vm}:${incarnation}:${nextId++}`;
      const mark = { fingerprint, id, age: 0 };
      add(mark);
      const peers = links.peers();
      await Promise.allSettled(peers.map((peer) => tell(peer.vm, [mark])));
    },
    clear(fingerprint) {
      const ids = crashesOf(fingerprint).map(([id]) => id);
      if (ids.length === 0) return;
      remove(fingerprint, ids);
      links.broadcast(clearMessage, { fingerprint, ids });
    },
  };
}
