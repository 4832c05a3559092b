import test from "ava";
import {
  apportion,
  type ObservedEngine,
  planLoads,
} from "../../src/upstreams/coordinator_plan.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const sheetWith = (shares: Readonly<Record<string, number>>) => ({
  ...sampleSheet(),
  models: Object.entries(shares).map(([version, share]) => ({
    customer: "caller",
    model: "text",
    version,
    share,
  })),
});

/// Engines by a word each: version, then `busy`, `lost`, or `>version` for an
/// order under way.
const engines = (words: readonly string[]): ObservedEngine[] =>
  words.map((word, index) => {
    const [version, ordered] = word.replace(/ .*/, "").split(">");
    const isLost = word.endsWith("lost");
    return {
      name: `engine-${index + 1}`,
      serves: "text",
      loaded: isLost ? undefined : { model: "text", version: version! },
      runningStreams: word.endsWith("busy") ? 3 : 0,
      isOrderable: !isLost,
      ordered: ordered ? { model: "text", version: ordered } : undefined,
    };
  });

const SPLITS = [
  { demand: { a: 1, b: 1 }, count: 4, expected: { a: 2, b: 2 } },
  { demand: { a: 98, b: 1 }, count: 4, expected: { a: 3, b: 1 } },
  { demand: { a: 3, b: 2, c: 1 }, count: 2, expected: { a: 1, b: 1 } },
  { demand: { a: 0, b: 0 }, count: 3, expected: { a: 2, b: 1 } },
  { demand: {}, count: 3, expected: {} },
];
for (const { demand, count, expected } of SPLITS) {
  test(`${JSON.stringify(demand)} over ${count} engines`, (t) => {
    const counts = apportion(new Map(Object.entries(demand)), count);
    t.deepEqual(Object.fromEntries(counts), expected as never);
  });
}

const PLANS = [
  { name: "nothing to do", has: ["1", "1"], wants: { 1: 1 }, loads: [] },
  {
    name: "the least busy engine is taken",
    has: ["1 busy", "1", "1"],
    wants: { 1: 1, 2: 1 },
    loads: ["engine-2>2"],
  },
  {
    name: "an order under way counts as done",
    has: ["1>2", "1", "1"],
    wants: { 1: 1, 2: 1 },
    loads: [],
  },
  {
    name: "a last ready copy stays while the other loads",
    has: ["1>2", "1"],
    wants: { 2: 1 },
    loads: [],
    blocked: ["engine-2"],
  },
  {
    name: "a last copy that nobody wants goes once another is ready",
    has: ["2", "1"],
    wants: { 2: 1 },
    loads: ["engine-2>2"],
  },
  {
    name: "a last copy with running streams stays",
    has: ["2", "1 busy"],
    wants: { 2: 1 },
    loads: [],
    blocked: ["engine-2"],
  },
  {
    name: "a single idle engine follows the sheet",
    has: ["1"],
    wants: { 2: 1 },
    loads: ["engine-1>2"],
  },
  {
    name: "a wanted last copy is never taken for a third version",
    has: ["1", "2"],
    wants: { 1: 1, 2: 1, 3: 9 },
    loads: [],
    blocked: ["engine-2"],
  },
  {
    name: "an engine without a report gets no order",
    has: ["1 lost", "1 lost"],
    wants: { 2: 1 },
    loads: [],
  },
];
for (const { name, has, wants, loads, blocked } of PLANS) {
  test(name, (t) => {
    const plan = planLoads(sheetWith(wants as never), engines(has));
    const texts = plan.loads.map((load) => `${load.engine}>${load.version}`);
    t.deepEqual(texts, loads);
    if (blocked) t.deepEqual(plan.blocked, blocked);
  });
}
