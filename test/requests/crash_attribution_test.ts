import test from "ava";
import { findCrashRefusal } from "../../src/requests/crash_attribution.ts";
import {
  type CrashTable,
  createCrashTable,
  partKey,
} from "../../src/requests/crash_table.ts";
import { createFakeClock, type FakeClock } from "../../stand_ins/fake_clock.ts";

/// Decisions on the cause of crashes. A request is written as its name and the
/// parts of its prompt, such as `x1 first bad`, and the time for which it had run
/// if it isn't the usual one.

/// About the time from one crash to the next under load.
const CRASH_INTERVAL_MILLISECONDS = 250;

/// About the time for which a short prompt is prefilled.
const RUN_MILLISECONDS = 100;

interface AttributionCase {
  readonly title: string;
  /// What happened, in order: the requests that ran on an upstream when it
  /// crashed, or a request that completed.
  readonly events: readonly (
    | {
      readonly crashed: readonly string[];
      /// Time since the crash before it, if not the usual one.
      readonly after?: number;
      /// Time for which the requests had run, if not the usual one.
      readonly ran?: number;
    }
    | { readonly completed: string }
  )[];
  /// Requests that are refused afterwards, and such as are not.
  readonly refused: readonly string[];
  readonly allowed: readonly string[];
}

const CASES: readonly AttributionCase[] = [
  {
    title: "a request that crashes three upstreams is refused",
    events: [
      { crashed: ["x", "s1 first"] },
      { crashed: ["x", "s2 first"] },
      { completed: "s1 first" },
      { crashed: ["x", "s3 first"] },
    ],
    refused: ["x"],
    allowed: ["s1 first", "s2 first", "s3 first", "new first"],
  },
  {
    title: "a request that crashes upstreams doesn't make its parts suspect",
    events: [
      { crashed: ["x first"] },
      { crashed: ["x first"] },
      { crashed: ["x first"] },
    ],
    refused: ["x first"],
    allowed: ["new first"],
  },
  {
    title: "two crashes are not enough",
    events: [{ crashed: ["x a"] }, { crashed: ["x a", "y a"] }],
    refused: [],
    allowed: ["x a", "y a", "new a"],
  },
  {
    title: "a part that crashes upstreams is refused, its first part is not",
    events: [
      { crashed: ["x1 first bad", "s1 first"] },
      { completed: "s2 first" },
      { crashed: ["x2 first bad", "s1 first"] },
      { crashed: ["x3 first bad", "s3 other"] },
    ],
    refused: ["x1 first bad", "new first bad", "new other bad"],
    allowed: ["s1 first", "new first", "s3 other"],
  },
  {
    title: "without completions the more specific part is refused",
    events: [
      { crashed: ["x1 first bad", "s1 first"] },
      { crashed: ["x2 first bad", "s2 first"] },
      { crashed: ["x3 first bad", "s3 first"] },
      { crashed: ["s4 first"] },
    ],
    refused: ["new first bad"],
    allowed: ["s1 first", "new first"],
  },
  {
    title:
      "a first part that crashes upstreams with and without more is refused",
    events: [
      { crashed: ["x1 first a"] },
      { crashed: ["x2 first b"] },
      { crashed: ["x3 first"] },
    ],
    refused: ["new first"],
    allowed: ["new other a", "new other b"],
  },
  {
    title:
      "a first part isn't refused before a part after it that may be the cause",
    events: [
      { crashed: ["x1 first bad"] },
      { crashed: ["x2 first bad ran=400", "s1 first ran=10"], after: 50 },
      { crashed: ["x3 first bad ran=700", "s2 first ran=10"], after: 50 },
      { crashed: ["s3 first"] },
    ],
    refused: [],
    allowed: ["new first", "new first bad"],
  },
  {
    title:
      "a first part that crashes upstreams with several later parts is refused",
    events: [
      { crashed: ["x1 first a"] },
      { crashed: ["x2 first b"] },
      { crashed: ["x3 first a"] },
      { crashed: ["x4 first b"] },
    ],
    refused: ["new first", "new first c"],
    allowed: ["new a", "new b"],
  },
  {
    title: "parts of requests that ran beside each other are told apart later",
    events: [
      { crashed: ["x1 bad", "s1 beside"] },
      { crashed: ["x2 bad", "s2 beside"] },
      { crashed: ["x3 bad", "s3 beside"] },
    ],
    refused: [],
    allowed: ["new bad", "new beside"],
  },
  {
    title: "the part that has one crash more is refused",
    events: [
      { crashed: ["x1 bad", "s1 beside"] },
      { crashed: ["x2 bad", "s2 beside"] },
      { crashed: ["x3 bad", "s3 beside"] },
      { crashed: ["x4 bad"] },
    ],
    refused: ["new bad"],
    allowed: ["new beside"],
  },
  {
    title: "parts that can't be told apart in five crashes are refused",
    events: Array.from({ length: 5 }, (_, index) => ({
      crashed: [`x${index} bad`, `s${index} beside`],
    })),
    refused: ["new bad", "new beside"],
    allowed: ["new other"],
  },
  {
    title: "a request that ran beside a part in three crashes stays allowed",
    events: [
      { crashed: ["x1 bad", "s first"] },
      { crashed: ["x2 bad", "s first"] },
      { crashed: ["x3 bad", "s first"] },
      { crashed: ["x4 bad"] },
    ],
    refused: ["new bad"],
    allowed: ["s first"],
  },
  {
    title: "crashes of upstreams that have no cause in requests refuse nothing",
    events: [
      { crashed: ["s1 first a", "s2 first b"] },
      { completed: "s1 first a" },
      { crashed: ["s3 first a", "s2 first b"] },
      { completed: "s2 first b" },
      { crashed: ["s4 first a", "s5 first b"] },
      { crashed: ["s6 first a", "s7 first b"] },
      { completed: "s6 first a" },
    ],
    refused: [],
    allowed: ["new first a", "new first b", "s2 first b"],
  },
  {
    title: "upstreams that crash at the same moment make no part suspect",
    events: Array.from({ length: 9 }, (_, index) => ({
      crashed: [`s${index} first a`],
      after: index > 0 ? 0 : undefined,
    })),
    refused: [],
    allowed: ["new first a", "new first"],
  },
  {
    title: "a part in three of many crashes stays allowed until the fifth",
    events: [
      { crashed: ["s1 rare"] },
      { crashed: ["s2 a"] },
      { crashed: ["s3 b"] },
      { crashed: ["s4 rare"] },
      { crashed: ["s5 c"] },
      { crashed: ["s6 d"] },
      { crashed: ["s7 rare"] },
    ],
    refused: [],
    allowed: ["new rare"],
  },
  {
    title: "a part in five of many crashes is refused",
    events: Array.from({ length: 5 }, (_, index) => [
      { crashed: [`x${index} bad`] },
      { crashed: [`s${index} a${index}`] },
      { crashed: [`s${index} b${index}`] },
    ]).flat(),
    refused: ["new bad"],
    allowed: ["new a1", "new b1"],
  },
  {
    title: "upstreams whose loss is noticed in turn make nothing suspect",
    events: Array.from({ length: 9 }, (_, index) => ({
      crashed: [`s${index} first a`, "s"],
      after: index > 0 ? 60 : undefined,
      ran: 5_000,
    })),
    refused: [],
    allowed: ["new first a", "new first", "s"],
  },
  {
    title:
      "a request that runs on several upstreams and crashes each is refused",
    events: Array.from({ length: 3 }, () => ({ crashed: ["x"], ran: 2_000 })),
    refused: ["x"],
    allowed: [],
  },
  {
    title: "a request on upstreams that crash at the same moment stays allowed",
    events: Array.from({ length: 9 }, (_, index) => ({
      crashed: ["s"],
      after: index > 0 ? 0 : undefined,
    })),
    refused: [],
    allowed: ["s"],
  },
  {
    title: "a request that has completed before stays allowed for four crashes",
    events: [
      { completed: "s" },
      ...Array.from({ length: 4 }, () => ({ crashed: ["s"] })),
    ],
    refused: [],
    allowed: ["s"],
  },
  {
    title: "a request that has completed before is refused after five crashes",
    events: [
      { completed: "s" },
      ...Array.from({ length: 5 }, () => ({ crashed: ["s"] })),
    ],
    refused: ["s"],
    allowed: [],
  },
  {
    title: "a part that requests have completed with is refused after five",
    events: [
      { completed: "s1 a" },
      ...Array.from(
        { length: 4 },
        (_, index) => ({ crashed: [`x${index} a`] }),
      ),
    ],
    refused: [],
    allowed: ["new a"],
  },
  {
    title: "parts in changing order are decided",
    events: [
      { crashed: ["x1 a b"] },
      { crashed: ["x2 b a"] },
      { crashed: ["x3 a b"] },
    ],
    refused: ["new a b"],
    allowed: ["new c"],
  },
];

const parse = (text: string) => {
  const [fingerprint, ...rest] = text.split(" ");
  const parts = rest.filter((word) => !word.startsWith("ran="));
  const ran = rest.find((word) => word.startsWith("ran="))?.slice(4);
  return { fingerprint: fingerprint!, parts, ran: ran && Number(ran) };
};

/// The crashes that the only VM knows of.
const knownTo = (table: CrashTable, clock: FakeClock) => ({
  ...table,
  ageOf: (crash: string) => clock.now() - table.timeOf(crash),
  turnOf: () => 0,
});

for (const { title, events, refused, allowed } of CASES) {
  test(title, async (t) => {
    const clock = createFakeClock();
    const table = createCrashTable(clock);
    for (const [index, event] of events.entries()) {
      if ("completed" in event) {
        const { fingerprint, parts } = parse(event.completed);
        for (const key of [fingerprint, ...parts.map(partKey)]) {
          table.recordCompleted(key);
          table.clear(key, table.crashesOf(key));
        }
        continue;
      }
      await clock.advance(event.after ?? CRASH_INTERVAL_MILLISECONDS);
      for (const request of event.crashed) {
        const parsed = parse(request);
        const ran = parsed.ran || event.ran || RUN_MILLISECONDS;
        const crash = `crash-${index}`;
        table.add({ ...parsed, crash, ran, isRetry: false }, 0);
      }
    }
    const isRefused = (request: string) =>
      findCrashRefusal(knownTo(table, clock), parse(request)) !== undefined;
    t.deepEqual(refused.filter((request) => !isRefused(request)), []);
    t.deepEqual(allowed.filter(isRefused), []);
  });
}

test("a cause is tried again, later after each further crash", async (t) => {
  const clock = createFakeClock();
  const table = createCrashTable(clock);
  const refusal = () => findCrashRefusal(knownTo(table, clock), parse("x"));
  const crash = async (id: string) => {
    await clock.advance(CRASH_INTERVAL_MILLISECONDS);
    const ran = RUN_MILLISECONDS;
    table.add({ ...parse("x"), crash: id, ran, isRetry: false }, 0);
  };
  for (const id of ["a", "b", "c"]) await crash(id);
  for (const expected of [30_000, 60_000, 120_000, 240_000, 300_000]) {
    t.is(refusal()?.retryAfter, expected);
    await clock.advance(expected);
    t.is(refusal(), undefined);
    await crash(`after ${expected}`);
  }
});
