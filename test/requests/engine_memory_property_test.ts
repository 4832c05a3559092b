import test from "ava";
import fc from "fast-check";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import {
  type PlayedRequest,
  playSchedule,
  type ScheduledEvent,
} from "../../stand_ins/fault_schedule.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";
import {
  createSeededRandom,
  type RandomSource,
} from "../../src/support/random.ts";

/// What holds after random schedules of callers, dying entries and failing
/// engines: no engine memory is held, answers are whole, and what was told not
/// to have run did not run.

const SEED = 20_260_104;
const RUNS = 100;
const TEST_LIMIT_MILLISECONDS = 180_000;
/// Longest deadline of the requests, the time for which a keyed stream waits
/// for its caller, then the time to free what is left.
const END_MILLISECONDS = 60_000 + 60_000 + 20_000;
/// Requests from this length on are long and may have a key.
const LONG_TOKENS = 1_000;
const SPANNED_CHARACTERS = 4 * 4_000;
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
  keyed: fc.boolean(),
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

interface Aftermath {
  readonly played: readonly PlayedRequest[];
  readonly heldTokens: number;
  /// Prompts, or first spans of prompts, that an engine worked on.
  readonly run: ReadonlySet<string>;
}

async function play(events: readonly ScheduledEvent[]): Promise<Aftermath> {
  const random: RandomSource = createSeededRandom(SEED);
  const run = new Set<string>();
  const sample = sampleSheet();
  const options = { ...sample.options, longPromptTokens: LONG_TOKENS };
  const fleet = await startFleet({
    sheet: { ...sample, options },
    entries: 4,
    seed: 5,
    engine: {
      memoryTokens: 4_500,
      listsStreams: false,
      losesAnswer: () => random.next() < LOST_ANSWER_SHARE,
      crashesOn({ prompt }) {
        run.add(prompt.text);
        return false;
      },
    },
  });
  const { played } = await playSchedule(fleet, events);
  await fleet.clock.advance(END_MILLISECONDS);
  return { played, heldTokens: fleet.heldTokens(), run };
}

function isHonest({ prompt, answer }: PlayedRequest, { run }: Aftermath) {
  if (answer.error?.executed !== "no") return true;
  return ![...run].some((text) => prompt.startsWith(text));
}

/// An answer over several engines is made from its last span.
function isWhole({ prompt, maximumTokens, answer }: PlayedRequest) {
  const isSpanned = prompt.length > SPANNED_CHARACTERS;
  const { text, error, end } = answer;
  if (isSpanned) return error !== undefined || end !== undefined;
  const expected = expectedAnswer(prompt, maximumTokens);
  return error ? expected.startsWith(text) : text === expected;
}

test("random faults leave memory free and answers whole", async (t) => {
  t.timeout(TEST_LIMIT_MILLISECONDS);
  const property = fc.asyncProperty(schedule, async (events) => {
    const aftermath = await play(events);
    const { played, heldTokens } = aftermath;
    return heldTokens === 0 &&
      played.every((request) =>
        isWhole(request) && isHonest(request, aftermath)
      );
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
