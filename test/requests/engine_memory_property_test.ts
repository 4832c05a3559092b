import test from "ava";
import fc from "fast-check";
import {
  playSchedule,
  type ScheduledEvent,
} from "../../stand_ins/fault_schedule.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";
import {
  createSeededRandom,
  type RandomSource,
} from "../../src/support/random.ts";

/// Random schedules of callers, dying entries and failing engines leave no
/// engine memory held.

const SEED = 20_260_104;
const RUNS = 100;
/// Longest deadline of the requests, then the time to free what is left.
const END_MILLISECONDS = 20_000 + 20_000;
const LOST_ANSWER_SHARE = 0.2;
const FAULTS = [
  "entryKilled",
  "linkCut",
  "engineCrashed",
  "engineHangs",
  "engineStalls",
] as const;

const at = fc.nat(4_000);

const request = fc.record({
  kind: fc.constant("request" as const),
  at,
  entry: fc.nat(),
  promptTokens: fc.constantFrom(200, 1_000, 3_000, 9_000),
  maximumTokens: fc.constantFrom(1, 50, 400),
  leavesAfter: fc.option(fc.nat(2_000), { nil: undefined }),
});

const fault = fc.record({
  kind: fc.constantFrom(...FAULTS),
  at,
  number: fc.nat(),
  duration: fc.nat(8_000),
});

const schedule = fc.array(
  fc.oneof({ weight: 2, arbitrary: request }, { weight: 1, arbitrary: fault }),
  { minLength: 5, maxLength: 40 },
);

async function heldAfter(events: readonly ScheduledEvent[]): Promise<number> {
  const random: RandomSource = createSeededRandom(SEED);
  const fleet = await startFleet({
    sheet: sampleSheet(),
    entries: 4,
    seed: 5,
    engine: {
      memoryTokens: 4_500,
      listsStreams: false,
      losesAnswer: () => random.next() < LOST_ANSWER_SHARE,
    },
  });
  await playSchedule(fleet, events);
  await fleet.clock.advance(END_MILLISECONDS);
  return fleet.heldTokens();
}

test("random faults leave no engine memory held", async (t) => {
  const property = fc.asyncProperty(schedule, async (events) => {
    const held = await heldAfter(events);
    return held === 0;
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
