import { build, type Histogram } from "hdr-histogram-js";
import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import type { EngineModel } from "../engine_model.ts";
import {
  promptOf,
  runSchedule,
  type ScheduledEvent,
} from "../fault_schedule.ts";
import { type Fleet, type FleetAnswer, startFleet } from "../fleet.ts";
import type { MeasurementResult } from "../measurement.ts";
import { sampleSheet } from "../sample_sheet.ts";

/// Engine memory that stays held after many requests met random faults, and
/// the time that requests take to finish after their engine died.

const SEED = 20_260_104;
const REQUESTS = 10_000;
const REQUESTS_PER_ROUND = 500;
const ROUND_MILLISECONDS = 20_000;
const FAULTS_PER_ROUND = 60;
const ENTRIES = 9;
const ENGINES = 20;
const LOST_ANSWER_SHARE = 0.1;
/// Longest deadline, then the time to free what is left.
const END_MILLISECONDS = 40_000;
/// Share of the requests that no engine can hold alone.
const SPANNED_SHARE = 0.02;
const LEAVING_SHARE = 0.1;
const DEATHS = 300;
const ANSWER_TOKENS = 16;
const PROMPT_TOKENS = 1_000;
const FINISH_TARGET_MILLISECONDS = 2_000;
const FAULTS = [
  "entryKilled",
  "linkCut",
  "engineCrashed",
  "engineHangs",
  "engineStalls",
] as const;
const KEY = "caller-key";

function randomRequest(random: RandomSource): ScheduledEvent {
  const spanned = random.next() < SPANNED_SHARE;
  const leaves = random.next() < LEAVING_SHARE;
  return {
    kind: "request",
    at: randomInteger(random, ROUND_MILLISECONDS),
    entry: randomInteger(random, ENTRIES),
    promptTokens: spanned ? 12_000 : 50 + randomInteger(random, 2_000),
    maximumTokens: 1 + randomInteger(random, 100),
    disconnectAfterMilliseconds: leaves
      ? randomInteger(random, 1_000)
      : undefined,
  };
}

function randomFault(random: RandomSource): ScheduledEvent {
  return {
    kind: FAULTS[randomInteger(random, FAULTS.length)]!,
    at: randomInteger(random, ROUND_MILLISECONDS),
    number: randomInteger(random, 1_000),
    duration: randomInteger(random, 6_000),
  };
}

const times = <Item>(count: number, create: () => Item): Item[] =>
  Array.from({ length: count }, create);

function reasonOf({ error }: FleetAnswer): string {
  const cause = error?.cause instanceof Error ? error.cause.message : "";
  if (cause.endsWith("was killed")) return "entry killed";
  return error?.code ?? "finished";
}

async function playRounds() {
  const random = createSeededRandom(SEED);
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: ENGINES }),
    entries: ENTRIES,
    seed: SEED,
    engine: {
      memoryTokens: 6_000,
      listsStreams: false,
      retainMilliseconds: 1_000,
      losesAnswer: () => random.next() < LOST_ANSWER_SHARE,
    },
  });
  let sent = 0;
  let peak = 0;
  const reasons = new Map<string, number>();
  while (sent < REQUESTS) {
    const events = [
      ...times(REQUESTS_PER_ROUND, () => randomRequest(random)),
      ...times(FAULTS_PER_ROUND, () => randomFault(random)),
    ];
    const { completed: played } = await runSchedule(fleet, events);
    sent += REQUESTS_PER_ROUND;
    peak = Math.max(peak, fleet.heldTokens());
    for (const { answer } of played) {
      const reason = reasonOf(answer);
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
  }
  await fleet.clock.advance(END_MILLISECONDS);
  return { held: fleet.heldTokens(), peak, reasons };
}

const busiest = (fleet: Fleet): EngineModel | undefined =>
  [...fleet.engines.values()].find((engine) => engine.runningStreams() > 0);

/// Kills the engine of a request before its first token, `DEATHS` times.
async function finishAfterDeaths(): Promise<Histogram> {
  const random = createSeededRandom(SEED + 1);
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: 6 }),
    entries: 3,
    seed: SEED,
  });
  const { clock } = fleet;
  const histogram = build({ highestTrackableValue: 100_000 });
  for (let count = 0; count < DEATHS; count++) {
    const prompt = promptOf(PROMPT_TOKENS, count);
    const call = { vm: `vm-${1 + count % 3}`, key: KEY };
    const completion = { prompt, maximumTokens: ANSWER_TOKENS };
    const answer = fleet.complete(call, completion);
    while (!busiest(fleet)) await clock.advance(1);
    await clock.advance(randomInteger(random, 40));
    const engine = busiest(fleet)!;
    const died = clock.now();
    engine.crash();
    const { error } = await clock.advanceUntil(answer);
    if (!error) histogram.recordValue(Math.round(clock.now() - died));
    engine.restart();
    await clock.advance(3_000);
  }
  return histogram;
}

/// Runs the measurement under the fake clock.
export async function measureEngineMemory(): Promise<MeasurementResult> {
  const { held, peak, reasons } = await playRounds();
  const finish = await finishAfterDeaths();
  const p95 = finish.getValueAtPercentile(95);
  return {
    name: "engine-memory",
    summary: `${REQUESTS} random requests at ${ENTRIES} entries and ` +
      `${ENGINES} engines that list no streams, with entries and engines ` +
      `killed, links cut, control calls hanging and ` +
      `${100 * LOST_ANSWER_SHARE} in 100 control answers lost; then ` +
      `${DEATHS} engines killed before the first token of a prompt of ` +
      `${PROMPT_TOKENS} tokens. Simulated time.`,
    seed: SEED,
    targets: [
      {
        name: "tokens held at the end",
        target: "0",
        measured: String(held),
        met: held === 0,
      },
      {
        name: "requests that finish after their engine's death",
        target: String(DEATHS),
        measured: String(finish.totalCount),
        met: finish.totalCount === DEATHS,
      },
      {
        name: "p95 time from death to the whole answer, ms",
        target: `${FINISH_TARGET_MILLISECONDS}`,
        measured: String(p95),
        met: p95 <= FINISH_TARGET_MILLISECONDS,
      },
    ],
    tables: [
      {
        title: "Ends of the requests",
        columns: ["end", "requests"],
        rows: [...reasons].sort((left, right) => right[1] - left[1]),
      },
      {
        title: "Figures",
        columns: ["figure", "value"],
        rows: [
          ["largest memory held at the end of a round, tokens", peak],
          ["p50 from death to answer, ms", finish.getValueAtPercentile(50)],
          ["p99 from death to answer, ms", finish.getValueAtPercentile(99)],
        ],
      },
    ],
  };
}
