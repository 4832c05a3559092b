import test from "ava";
import fc from "fast-check";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import {
  type CompletedRequest,
  runSchedule,
  type ScheduledEvent,
} from "../../stand_ins/fault_schedule.ts";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";
import {
  createSeededRandom,
  type RandomSource,
} from "../../src/support/random.ts";

/// Properties after random schedules of requests and failures of entries, links
/// and engines: no engine memory is held, answers are whole, and a request
/// reported as not executed was not executed.

const SEED = 20_260_104;
const SCHEDULE_COUNT = 100;
const TEST_TIMEOUT_MILLISECONDS = 180_000;
/// Sum of the longest deadline of the requests, the time for which a stream
/// with a key waits for its caller, and the time to free the remaining memory.
const END_MILLISECONDS = 60_000 + 60_000 + 20_000;
/// Requests from this length on are long and may have a key.
const LONG_TOKENS = 1_000;
const MAXIMUM_WHOLE_PROMPT_CHARACTERS = 4 * 4_000;
const LOST_ANSWER_RATIO = 0.2;
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
  disconnectAfterMilliseconds: fc.option(fc.nat(2_000), { nil: undefined }),
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

interface ScheduleOutcome {
  readonly played: readonly CompletedRequest[];
  readonly heldTokens: number;
  /// Prompts, or first spans of prompts, that an engine executed.
  readonly executedPrompts: ReadonlySet<string>;
}

async function play(
  events: readonly ScheduledEvent[],
): Promise<ScheduleOutcome> {
  const random: RandomSource = createSeededRandom(SEED);
  const executedPrompts = new Set<string>();
  const sample = sampleSheet();
  const options = { ...sample.options, longPromptTokens: LONG_TOKENS };
  const fleet = await startFleet({
    sheet: { ...sample, options },
    entries: 4,
    seed: 5,
    engine: {
      memoryTokens: 4_500,
      listsStreams: false,
      losesAnswer: () => random.next() < LOST_ANSWER_RATIO,
      crashesOn({ prompt }) {
        executedPrompts.add(prompt.text);
        return false;
      },
    },
  });
  const { completed: played } = await runSchedule(fleet, events);
  await fleet.clock.advance(END_MILLISECONDS);
  return { played, heldTokens: fleet.heldTokens(), executedPrompts };
}

function reportsExecutionCorrectly(
  { prompt, answer }: CompletedRequest,
  { executedPrompts }: ScheduleOutcome,
) {
  if (answer.error?.executed !== "no") return true;
  return ![...executedPrompts].some((text) => prompt.startsWith(text));
}

/// The engine model generates an answer over several engines from the last span
/// only, so its text differs from the expected answer to the whole prompt.
function isWhole({ prompt, maximumTokens, answer }: CompletedRequest) {
  const isSpanned = prompt.length > MAXIMUM_WHOLE_PROMPT_CHARACTERS;
  const { text, error, end } = answer;
  if (isSpanned) return error !== undefined || end !== undefined;
  const expected = expectedAnswer(prompt, maximumTokens);
  return error ? expected.startsWith(text) : text === expected;
}

test("after random faults no memory is held and answers are whole", async (t) => {
  t.timeout(TEST_TIMEOUT_MILLISECONDS);
  const property = fc.asyncProperty(schedule, async (events) => {
    const outcome = await play(events);
    const { played, heldTokens } = outcome;
    return heldTokens === 0 &&
      played.every((request) =>
        isWhole(request) && reportsExecutionCorrectly(request, outcome)
      );
  });
  await fc.assert(property, { seed: SEED, numRuns: SCHEDULE_COUNT });
  t.pass();
});
