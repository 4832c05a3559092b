import test from "ava";
import {
  BUCKETS_PER_WINDOW,
  createWindowCounter,
} from "../../src/administration/window_counter.ts";
import { createServiceLevelObjectives } from "../../src/administration/service_level_objectives.ts";
import { formatBurnPage } from "../../src/administration/burn_page.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import type {
  RequestEnd,
  RequestRecord,
} from "../../src/requests/request_registry.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const HOUR = 3_600_000;
const MINUTE = 60_000;
const KEY = "caller-key";

test("a window holds its length and at most one bucket more", async (t) => {
  const clock = createFakeClock();
  const counter = createWindowCounter(clock, HOUR);
  const width = HOUR / BUCKETS_PER_WINDOW;
  const total = () =>
    counter.buckets().reduce((sum, bucket) => sum + bucket.total, 0);
  counter.add(false);
  await clock.advance(HOUR - 1);
  t.is(total(), 1);
  await clock.advance(width);
  t.is(total(), 1);
  await clock.advance(1);
  t.is(total(), 0);
  for (let count = 0; count < 1_000; count++) counter.add(true);
  await clock.advance(10 * HOUR);
  t.is(counter.buckets().length, BUCKETS_PER_WINDOW + 1);
  t.is(total(), 0);
});

const RECORD: RequestRecord = {
  id: "r",
  kind: "completion",
  customer: "caller",
  target: "text",
  promptTokens: 1_000,
  isLong: false,
  state: "finished",
  attempt: 1,
  upstream: "engine-1",
  receivedAt: 0,
  firstTokenAt: 200,
};

const NAMES = [
  "firstTokenShort",
  "firstTokenLong",
  "slowdownShort",
  "completion",
];
const late = new RequestError("deadline_exceeded");
const gone = new RequestError("caller_gone");

// What counts for each objective above: good, bad, or not at all.
const JUDGED: readonly [
  string,
  Partial<RequestRecord>,
  RequestError | undefined,
  string,
][] = [
  ["a quick short request", {}, undefined, "good - good good"],
  ["a late first token", { firstTokenAt: 811 }, undefined, "bad - bad good"],
  ["a slow first token", { firstTokenAt: 201 }, undefined, "good - bad good"],
  [
    "a long request",
    { isLong: true, firstTokenAt: 50_000 },
    undefined,
    "- good - good",
  ],
  [
    "no first token in time",
    { state: "failed", firstTokenAt: undefined },
    late,
    "bad - bad bad",
  ],
  [
    "a caller that left",
    { state: "failed", firstTokenAt: undefined },
    gone,
    "- - - -",
  ],
  ["a refusal", { state: "notRun", firstTokenAt: undefined }, late, "- - - -"],
  ["a service call", { kind: "service" }, undefined, "- - - good"],
];

for (const [name, change, error, expected] of JUDGED) {
  test(`judges ${name}`, (t) => {
    const engine = { report: { prefillTokensPerSecond: 20_000 } };
    const objectives = createServiceLevelObjectives({
      find: () => engine as never,
    });
    t.deepEqual(objectives.map((objective) => objective.name), NAMES);
    const end = { record: { ...RECORD, ...change }, endedAt: 900, error };
    const results = objectives.map(({ judge }) => {
      const good = judge(end as RequestEnd);
      return good === undefined ? "-" : good ? "good" : "bad";
    });
    t.is(results.join(" "), expected);
  });
}

test("a report merges all VMs and names the missing", async (t) => {
  const fleet = await startFleet({ sheet: sampleSheet(), entries: 3, seed: 1 });
  const { clock, network, entries } = fleet;
  for (const vm of entries.keys()) {
    await clock.advanceUntil(fleet.complete({ vm, key: KEY }, {}));
  }
  const headers = { deadline: 1 };
  await clock.advanceUntil(
    fleet.complete({ vm: "vm-3", key: KEY, headers }, {}),
  );
  const read = () => clock.advanceUntil(entries.get("vm-1")!.burn.report());
  const report = await read();
  t.deepEqual([report.vms, report.missing], [["vm-1", "vm-2", "vm-3"], []]);
  const completion = report.objectives.find(({ name }) =>
    name === "completion"
  )!;
  t.deepEqual(
    completion.windows.map((
      { total, bad, burn },
    ) => [total, bad, burn.toFixed(0)]),
    Array(4).fill([4, 1, "250"]),
  );
  t.is(completion.alert, "fast");
  t.deepEqual(completion.windows[0]!.partialVms, ["vm-1", "vm-2", "vm-3"]);
  const page = formatBurnPage(report);
  t.is(page.match(/<svg /g)?.length, 16);
  t.false(/src=|href=|<script/.test(page));

  network.setCut("vm-1", "vm-3", true);
  await clock.advance(6 * MINUTE);
  const later = await read();
  t.deepEqual([later.vms, later.missing], [["vm-1", "vm-2"], ["vm-3"]]);
  t.is(later.objectives[0]!.windows[0]!.total, 0);
  t.is(later.objectives[0]!.windows[1]!.total, 2);
});
