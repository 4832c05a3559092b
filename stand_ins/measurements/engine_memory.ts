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

/// Engine memory that is still held after many requests under random faults,
/// and the time from the crash of an engine until its requests finish.

const SEED = 20_260_104;
const REQUESTS = 10_000;
const REQUESTS_PER_ROUND = 500;
const ROUND_MILLISECONDS = 20_000;
const FAULTS_PER_ROUND = 60;
const ENTRIES = 9;
const ENGINES = 20;
const LOST_RESPONSE_RATIO = 0.1;
/// Covers the longest deadline and the time to free the memory still held
/// after it.
const CLEANUP_MILLISECONDS = 40_000;
/// Ratio of the requests whose prompt exceeds the memory of one engine.
const OVERSIZED_PROMPT_RATIO = 0.02;
const DISCONNECT_RATIO = 0.1;
const ENGINE_CRASHES = 300;
const ANSWER_TOKENS = 16;
const PROMPT_TOKENS = 1_000;
const RECOVERY_LIMIT_MILLISECONDS = 2_000;
const FAULT_KINDS = [
  "entryKilled",
  "linkCut",
  "engineCrashed",
  "engineHangs",
  "engineStalls",
] as const;
const KEY = "caller-key";

function randomRequest(random: RandomSource): ScheduledEvent {
  const isOversized = random.next() < OVERSIZED_PROMPT_RATIO;
  const disconnects = random.next() < DISCONNECT_RATIO;
  return {
    kind: "request",
    at: randomInteger(random, ROUND_MILLISECONDS),
    entry: randomInteger(random, ENTRIES),
    promptTokens: isOversized ? 12_000 : 50 + randomInteger(random, 2_000),
    maximumTokens: 1 + randomInteger(random, 100),
    disconnectAfterMilliseconds: disconnects
      ? randomInteger(random, 1_000)
      : undefined,
  };
}

function randomFault(random: RandomSource): ScheduledEvent {
  return {
    kind: FAULT_KINDS[randomInteger(random, FAULT_KINDS.length)]!,
    at: randomInteger(random, ROUND_MILLISECONDS),
    number: randomInteger(random, 1_000),
    duration: randomInteger(random, 6_000),
  };
}

const repeat = <Item>(count: number, create: () => Item): Item[] =>
  Array.from({ length: count }, create);

function outcomeOf({ error }: FleetAnswer): string {
  const cause = error?.cause instanceof Error ? error.cause.message : "";
  if (cause.endsWith("was killed")) return "entry killed";
  return error?.code ?? "finished";
}

async function runFaultRounds() {
  const random = createSeededRandom(SEED);
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: ENGINES }),
    entries: ENTRIES,
    seed: SEED,
    engine: {
      memoryTokens: 6_000,
      listsStreams: false,
      retainMilliseconds: 1_000,
      losesAnswer: () => random.next() < LOST_RESPONSE_RATIO,
    },
  });
  let sent = 0;
  let peakTokens = 0;
  const counts = new Map<string, number>();
  while (sent < REQUESTS) {
    const events = [
      ...repeat(REQUESTS_PER_ROUND, () => randomRequest(random)),
      ...repeat(FAULTS_PER_ROUND, () => randomFault(random)),
    ];
    const { completed } = await runSchedule(fleet, events);
    sent += REQUESTS_PER_ROUND;
    peakTokens = Math.max(peakTokens, fleet.heldTokens());
    for (const { answer } of completed) {
      const outcome = outcomeOf(answer);
      counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
  }
  await fleet.clock.advance(CLEANUP_MILLISECONDS);
  return { held: fleet.heldTokens(), peakTokens, counts };
}

const findBusyEngine = (fleet: Fleet): EngineModel | undefined =>
  [...fleet.engines.values()].find((engine) => engine.runningStreams() > 0);

/// Crashes the engine of a request before its first token, `ENGINE_CRASHES`
/// times. Returns the times from the crash until the request finishes.
async function measureRecovery(): Promise<Histogram> {
  const random = createSeededRandom(SEED + 1);
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: 6 }),
    entries: 3,
    seed: SEED,
  });
  const { clock } = fleet;
  const histogram = build({ highestTrackableValue: 100_000 });
  for (let count = 0; count < ENGINE_CRASHES; count++) {
    const prompt = promptOf(PROMPT_TOKENS, count);
    const call = { vm: `vm-${1 + count % 3}`, key: KEY };
    const completion = { prompt, maximumTokens: ANSWER_TOKENS };
    const answer = fleet.complete(call, completion);
    while (!findBusyEngine(fleet)) await clock.advance(1);
    await clock.advance(randomInteger(random, 40));
    const engine = findBusyEngine(fleet)!;
    const crashedAt = clock.now();
    engine.crash();
    const { error } = await clock.advanceUntil(answer);
    if (!error) histogram.recordValue(Math.round(clock.now() - crashedAt));
    engine.restart();
    await clock.advance(3_000);
  }
  return histogram;
}

/// Runs the measurement under the fake clock.
export async function measureEngineMemory(): Promise<MeasurementResult> {
  const { held, peakTokens, counts } = await runFaultRounds();
  const recoveryTimes = await measureRecovery();
  const p95 = recoveryTimes.getValueAtPercentile(95);
  return {
    name: "engine-memory",
    summary: `${REQUESTS} random requests at ${ENTRIES} entries and ` +
      `${ENGINES} engines that list no streams, with entries and engines ` +
      `killed, links cut, control calls hanging and ` +
      `${100 * LOST_RESPONSE_RATIO} in 100 control responses lost; then ` +
      `${ENGINE_CRASHES} engines killed before the first token of a prompt of ` +
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
        name: "requests that finish after the crash of their engine",
        target: String(ENGINE_CRASHES),
        measured: String(recoveryTimes.totalCount),
        met: recoveryTimes.totalCount === ENGINE_CRASHES,
      },
      {
        name: "p95 time from the crash to the complete answer, ms",
        target: `${RECOVERY_LIMIT_MILLISECONDS}`,
        measured: String(p95),
        met: p95 <= RECOVERY_LIMIT_MILLISECONDS,
      },
    ],
    tables: [
      {
        title: "Ends of the requests",
        columns: ["end", "requests"],
        rows: [...counts].sort((left, right) => right[1] - left[1]),
      },
      {
        title: "Figures",
        columns: ["figure", "value"],
        rows: [
          ["largest memory held at the end of a round, tokens", peakTokens],
          [
            "p50 from crash to answer, ms",
            recoveryTimes.getValueAtPercentile(50),
          ],
          [
            "p99 from crash to answer, ms",
            recoveryTimes.getValueAtPercentile(99),
          ],
        ],
      },
    ],
  };
}
