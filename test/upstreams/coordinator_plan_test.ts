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

/// Engines, described by one text each: the version, then `busy`, `lost` for an
/// engine without a report, or `>version` for a pending order.
const engines = (descriptions: readonly string[]): ObservedEngine[] =>
  descriptions.map((description, index) => {
    const [version, ordered] = description.replace(/ .*/, "").split(">");
    const hasNoReport = description.endsWith("lost");
    return {
      name: `engine-${index + 1}`,
      serves: "text",
      loaded: hasNoReport ? undefined : { model: "text", version: version! },
      runningStreams: description.endsWith("busy") ? 3 : 0,
      isOrderable: !hasNoReport,
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
    name: "the least busy engine loads the new version",
    has: ["1 busy", "1", "1"],
    wants: { 1: 1, 2: 1 },
    loads: ["engine-2>2"],
  },
  {
    name: "a pending order counts as done",
    has: ["1>2", "1", "1"],
    wants: { 1: 1, 2: 1 },
    loads: [],
  },
  {
    name: "the last ready copy stays while the other engine loads",
    has: ["1>2", "1"],
    wants: { 2: 1 },
    loads: [],
    blocked: ["engine-2"],
  },
  {
    name:
      "the last copy of a removed version is replaced once another is ready",
    has: ["2", "1"],
    wants: { 2: 1 },
    loads: ["engine-2>2"],
  },
  {
    name: "the last copy stays while its engine has running streams",
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
    name: "a requested last copy is never replaced by a third version",
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
