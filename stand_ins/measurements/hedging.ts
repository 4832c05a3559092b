import { build, type Histogram } from "hdr-histogram-js";
import { createContractBook } from "../../src/contracts/contract_book.ts";
import {
  createSeededRandom,
  type RandomSource,
} from "../../src/support/random.ts";
import type { CompletionCall } from "../../src/upstreams/engine_client.ts";
import {
  createEngineDirectory,
  type EngineDirectory,
  type EngineView,
} from "../../src/upstreams/engine_directory.ts";
import { ShortestWaitPlacement } from "../../src/upstreams/placement.ts";
import { describePrompt } from "../../src/upstreams/prompt_blocks.ts";
import { createEngineModel, type EngineModel } from "../engine_model.ts";
import { createFakeClock, type FakeClock } from "../fake_clock.ts";
import { promptOf } from "../fault_schedule.ts";
import type { MeasurementResult, ResultTable } from "../measurement.ts";
import { sampleSheet } from "../sample_sheet.ts";

/// Whether a second copy of a short completion, sent when the first has no
/// token for a time, brings the first token sooner. Idempotent work only.

const SEED = 20_260_104;
const ENGINES = 20;
const ENTRIES = 4;
const REQUESTS = 1_500;
const PROMPT_TOKENS = 1_000;
const ANSWER_TOKENS = 32;
/// Prefill rate of one engine of the stand-in, in tokens a second.
const ENGINE_TOKENS_PER_SECOND = 14_000;
const LOADS = [0.5, 0.7, 0.85];
/// Delays as multiples of the median time to first token without hedging.
const DELAY_FACTORS = [2, 4];
const STRAGGLER_SLOWDOWN = 6;
/// Bounds for keeping it: at every load, in every case.
const LEAST_GAIN = 0.2;
const LARGEST_MEDIAN_LOSS = 0.05;
const LARGEST_EXTRA_WORK = 0.05;

interface Scenario {
  readonly load: number;
  readonly hasStraggler: boolean;
  /// Undefined: no second copy.
  readonly hedgeAfter: number | undefined;
}

interface Outcome {
  readonly firstToken: Histogram;
  readonly prefilledTokens: number;
}

interface Bench {
  readonly clock: FakeClock;
  readonly models: readonly EngineModel[];
  readonly directories: readonly EngineDirectory[];
  /// Of the arrivals alone, so that they are the same in each run.
  readonly arrivals: RandomSource;
}

function createBench({ hasStraggler }: Scenario): Bench {
  const clock = createFakeClock();
  const arrivals = createSeededRandom(SEED);
  const models = Array.from(
    { length: ENGINES },
    (_, index) =>
      createEngineModel({
        clock,
        name: `engine-${index + 1}`,
        model: "text",
        retainMilliseconds: 100,
      }),
  );
  if (hasStraggler) models[0]!.setSlowdown(STRAGGLER_SLOWDOWN);
  const book = createContractBook();
  book.adopt({ revision: 1, sheet: sampleSheet({ engines: ENGINES }) });
  const directories = Array.from(
    { length: ENTRIES },
    () =>
      createEngineDirectory({
        clock,
        book,
        isLeaving: () => false,
        createClient: ({ name }) =>
          models.find((model) => model.name === name)!,
      }),
  );
  return { clock, models, directories, arrivals };
}

/// Sends requests at random times and measures their first tokens.
async function run(scenario: Scenario): Promise<Outcome> {
  const bench = createBench(scenario);
  const { clock, models, directories, arrivals } = bench;
  const placement = new ShortestWaitPlacement(createSeededRandom(SEED + 1));
  const firstToken = build({ highestTrackableValue: 1_000_000 });
  const rate = scenario.load * ENGINES * ENGINE_TOKENS_PER_SECOND /
    PROMPT_TOKENS / 1_000;
  await clock.advance(1_000);

  /// Runs one copy; calls `onToken` at its first token.
  const runCopy = async (
    call: CompletionCall,
    given: { directory: EngineDirectory; engine: EngineView },
    hooks: { stop: AbortSignal; onToken: () => void },
  ) => {
    const { engine, directory } = given;
    const send = directory.recordSend(engine.upstream.name, PROMPT_TOKENS);
    try {
      for await (const chunk of engine.client.complete(call, hooks.stop)) {
        if (chunk.offset === 0) hooks.onToken();
      }
    } catch {
      await engine.client.cancel(call.streamId);
    } finally {
      send.end();
    }
  };

  const request = async (number: number) => {
    const directory = directories[number % ENTRIES]!;
    const prompt = describePrompt(promptOf(PROMPT_TOKENS, number));
    const stops = [new AbortController(), new AbortController()];
    const startedAt = clock.now();
    const used = new Set<string>();
    let seen = false;

    const startCopy = (copy: number) => {
      const candidates = directory.enginesOf("text", "1")
        .filter(({ usable, upstream }) => usable && !used.has(upstream.name));
      const question = {
        prompt,
        maximumTokens: ANSWER_TOKENS,
        isLong: false,
        priority: 0,
      };
      const engine = placement.choose({ ...question, candidates });
      if (!engine) return Promise.resolve();
      used.add(engine.upstream.name);
      const call = {
        streamId: `request-${number}-${copy}`,
        attempt: 1,
        model: "text",
        prompt,
        maximumTokens: ANSWER_TOKENS,
        priority: 0,
        context: [],
      };
      const onToken = () => {
        if (seen) return;
        seen = true;
        firstToken.recordValue(Math.round(clock.now() - startedAt));
        stops[1 - copy]!.abort(new Error("the other copy won"));
      };
      const { signal: stop } = stops[copy]!;
      return runCopy(call, { directory, engine }, { stop, onToken });
    };

    const copies = [startCopy(0)];
    if (scenario.hedgeAfter !== undefined) {
      await clock.sleep(scenario.hedgeAfter);
      if (!seen) copies.push(startCopy(1));
    }
    await Promise.all(copies);
  };

  const running: Promise<void>[] = [];
  for (let number = 0; number < REQUESTS; number++) {
    await clock.advance(-Math.log(1 - arrivals.next()) / rate);
    running.push(request(number));
  }
  await clock.advanceUntil(Promise.all(running));
  directories.forEach((directory) => directory.close());
  const prefilledTokens = models.reduce(
    (total, model) => total + model.counters.prefilledTokens,
    0,
  );
  return { firstToken, prefilledTokens };
}

interface Comparison {
  readonly cells: readonly (string | number)[];
  readonly factor: number;
  readonly helps: boolean;
}

function compare(
  scenario: Scenario,
  factor: number,
  { plain, hedged }: { plain: Outcome; hedged: Outcome },
): Comparison {
  const at = ({ firstToken }: Outcome, percentile: number) =>
    firstToken.getValueAtPercentile(percentile);
  const gain = 1 - at(hedged, 99) / at(plain, 99);
  const medianLoss = at(hedged, 50) / at(plain, 50) - 1;
  const extraWork = hedged.prefilledTokens / plain.prefilledTokens - 1;
  const percent = (share: number) => `${(100 * share).toFixed(1)} %`;
  return {
    factor,
    helps: gain >= LEAST_GAIN && medianLoss <= LARGEST_MEDIAN_LOSS &&
      extraWork <= LARGEST_EXTRA_WORK,
    cells: [
      scenario.load,
      scenario.hasStraggler ? "one slow" : "all alike",
      scenario.hedgeAfter!,
      `${at(plain, 50)} / ${at(plain, 95)} / ${at(plain, 99)}`,
      `${at(hedged, 50)} / ${at(hedged, 95)} / ${at(hedged, 99)}`,
      percent(gain),
      percent(extraWork),
    ],
  };
}

function verdictOf(comparisons: readonly Comparison[]): ResultTable {
  const rows = DELAY_FACTORS.map((factor) => {
    const tried = comparisons.filter((entry) => entry.factor === factor);
    const helped = tried.filter((entry) => entry.helps).length;
    return [`${factor} medians`, `${helped} of ${tried.length}`];
  });
  return {
    title: `Rows in which it helps: p99 shorter by ${100 * LEAST_GAIN} %, ` +
      `median within ${100 * LARGEST_MEDIAN_LOSS} %, work within ` +
      `${100 * LARGEST_EXTRA_WORK} %`,
    columns: ["second copy after", "helps in"],
    rows,
  };
}

/// Runs the measurement under the fake clock.
export async function measureHedging(): Promise<MeasurementResult> {
  const comparisons: Comparison[] = [];
  for (const load of LOADS) {
    for (const hasStraggler of [false, true]) {
      const scenario = { load, hasStraggler, hedgeAfter: undefined };
      const plain = await run(scenario);
      const median = plain.firstToken.getValueAtPercentile(50);
      for (const factor of DELAY_FACTORS) {
        const delayed = { ...scenario, hedgeAfter: factor * median };
        const hedged = await run(delayed);
        comparisons.push(compare(delayed, factor, { plain, hedged }));
      }
    }
  }
  return {
    name: "hedging",
    summary: `Time to first token of ${REQUESTS} prompts of ` +
      `${PROMPT_TOKENS} tokens at ${ENTRIES} entries and ${ENGINES} engines, ` +
      `with and without a second copy at another engine after a delay of ` +
      `${DELAY_FACTORS.join(" or ")} medians. The loser is cancelled. ` +
      `"One slow": one engine takes ${STRAGGLER_SLOWDOWN} times as long for ` +
      `each step. Simulated time, the same arrivals in each row.`,
    seed: SEED,
    targets: [],
    tables: [verdictOf(comparisons), {
      title: "Time to first token in ms, p50 / p95 / p99",
      columns: [
        "load",
        "engines",
        "delay",
        "without",
        "with",
        "p99 shorter by",
        "extra prefill",
      ],
      rows: comparisons.map((entry) => entry.cells),
    }],
  };
}
