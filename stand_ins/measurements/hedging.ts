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

/// Effect of hedging on the time to first token of short completions. A hedged
/// request is sent to a second engine if the first one has returned no token
/// after a delay. Applies to idempotent requests only.

const SEED = 20_260_104;
const ENGINES = 20;
const ENTRIES = 4;
const REQUESTS = 1_500;
const PROMPT_TOKENS = 1_000;
const MAXIMUM_ANSWER_TOKENS = 32;
/// Prefill rate of one simulated engine.
const ENGINE_PREFILL_TOKENS_PER_SECOND = 14_000;
const LOADS = [0.5, 0.7, 0.85];
/// Delays as multiples of the median time to first token without hedging.
const DELAY_FACTORS = [2, 4];
const STRAGGLER_SLOWDOWN_FACTOR = 6;
/// Bounds that hedging has to meet at every load and in every scenario.
const MINIMUM_P99_REDUCTION_RATIO = 0.2;
const MAXIMUM_MEDIAN_INCREASE_RATIO = 0.05;
const MAXIMUM_EXTRA_PREFILL_RATIO = 0.05;

interface Scenario {
  readonly load: number;
  readonly hasStraggler: boolean;
  /// Time until the second copy is sent; undefined without hedging.
  readonly hedgeDelayMilliseconds: number | undefined;
}

interface SimulationResult {
  readonly firstToken: Histogram;
  readonly prefilledTokens: number;
}

interface Simulation {
  readonly clock: FakeClock;
  readonly models: readonly EngineModel[];
  readonly directories: readonly EngineDirectory[];
  /// Draws only the arrivals, so that they are the same in every simulation.
  readonly arrivals: RandomSource;
}

function createSimulation({ hasStraggler }: Scenario): Simulation {
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
  if (hasStraggler) models[0]!.setSlowdown(STRAGGLER_SLOWDOWN_FACTOR);
  const book = createContractBook();
  book.adopt({ revision: 1, sheet: sampleSheet({ engines: ENGINES }) });
  const directories = Array.from(
    { length: ENTRIES },
    () =>
      createEngineDirectory({
        clock,
        book,
        isDraining: () => false,
        createClient: ({ name }) =>
          models.find((model) => model.name === name)!,
      }),
  );
  return { clock, models, directories, arrivals };
}

/// Sends requests at random times and records their times to first token.
async function simulate(scenario: Scenario): Promise<SimulationResult> {
  const simulation = createSimulation(scenario);
  const { clock, models, directories, arrivals } = simulation;
  const placement = new ShortestWaitPlacement(createSeededRandom(SEED + 1));
  const firstToken = build({ highestTrackableValue: 1_000_000 });
  const requestsPerMillisecond = scenario.load * ENGINES *
    ENGINE_PREFILL_TOKENS_PER_SECOND /
    PROMPT_TOKENS / 1_000;
  await clock.advance(1_000);

  /// Sends one copy to an engine and reads its stream. Calls `onFirstToken` at
  /// the first token.
  const runCopy = async (
    call: CompletionCall,
    destination: { directory: EngineDirectory; engine: EngineView },
    hooks: { stop: AbortSignal; onFirstToken: () => void },
  ) => {
    const { engine, directory } = destination;
    const send = directory.recordSend(engine.upstream.name, PROMPT_TOKENS);
    try {
      for await (const chunk of engine.client.complete(call, hooks.stop)) {
        if (chunk.offset === 0) hooks.onFirstToken();
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
    const abortControllers = [new AbortController(), new AbortController()];
    const startedAt = clock.now();
    const usedEngines = new Set<string>();
    let hasFirstToken = false;

    const startCopy = (copy: number) => {
      const candidates = directory.enginesOf("text", "1")
        .filter(({ usable, upstream }) =>
          usable && !usedEngines.has(upstream.name)
        );
      const criteria = {
        prompt,
        maximumTokens: MAXIMUM_ANSWER_TOKENS,
        isLong: false,
        priority: 0,
      };
      const engine = placement.choose({ ...criteria, candidates });
      if (!engine) return Promise.resolve();
      usedEngines.add(engine.upstream.name);
      const call = {
        streamId: `request-${number}-${copy}`,
        attempt: 1,
        model: "text",
        prompt,
        maximumTokens: MAXIMUM_ANSWER_TOKENS,
        priority: 0,
        context: [],
      };
      const onFirstToken = () => {
        if (hasFirstToken) return;
        hasFirstToken = true;
        firstToken.recordValue(Math.round(clock.now() - startedAt));
        abortControllers[1 - copy]!.abort(
          new Error("the other copy returned the first token"),
        );
      };
      const { signal: stop } = abortControllers[copy]!;
      return runCopy(call, { directory, engine }, { stop, onFirstToken });
    };

    const copies = [startCopy(0)];
    if (scenario.hedgeDelayMilliseconds !== undefined) {
      await clock.sleep(scenario.hedgeDelayMilliseconds);
      if (!hasFirstToken) copies.push(startCopy(1));
    }
    await Promise.all(copies);
  };

  const running: Promise<void>[] = [];
  for (let number = 0; number < REQUESTS; number++) {
    await clock.advance(
      -Math.log(1 - arrivals.next()) / requestsPerMillisecond,
    );
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
  readonly delayFactor: number;
  readonly isBeneficial: boolean;
}

function compare(
  scenario: Scenario,
  delayFactor: number,
  { unhedged, hedged }: {
    unhedged: SimulationResult;
    hedged: SimulationResult;
  },
): Comparison {
  const percentileOf = ({ firstToken }: SimulationResult, percentile: number) =>
    firstToken.getValueAtPercentile(percentile);
  const p99Reduction = 1 -
    percentileOf(hedged, 99) / percentileOf(unhedged, 99);
  const medianIncrease = percentileOf(hedged, 50) / percentileOf(unhedged, 50) -
    1;
  const extraPrefill = hedged.prefilledTokens / unhedged.prefilledTokens - 1;
  const percent = (share: number) => `${(100 * share).toFixed(1)} %`;
  return {
    delayFactor,
    isBeneficial: p99Reduction >= MINIMUM_P99_REDUCTION_RATIO &&
      medianIncrease <= MAXIMUM_MEDIAN_INCREASE_RATIO &&
      extraPrefill <= MAXIMUM_EXTRA_PREFILL_RATIO,
    cells: [
      scenario.load,
      scenario.hasStraggler ? "one slow" : "all alike",
      scenario.hedgeDelayMilliseconds!,
      `${percentileOf(unhedged, 50)} / ${percentileOf(unhedged, 95)} / ${
        percentileOf(unhedged, 99)
      }`,
      `${percentileOf(hedged, 50)} / ${percentileOf(hedged, 95)} / ${
        percentileOf(hedged, 99)
      }`,
      percent(p99Reduction),
      percent(extraPrefill),
    ],
  };
}

function createVerdictTable(comparisons: readonly Comparison[]): ResultTable {
  const rows = DELAY_FACTORS.map((delayFactor) => {
    const compared = comparisons.filter((comparison) =>
      comparison.delayFactor === delayFactor
    );
    const beneficial = compared.filter((comparison) =>
      comparison.isBeneficial
    ).length;
    return [`${delayFactor} medians`, `${beneficial} of ${compared.length}`];
  });
  return {
    title:
      `Rows in which hedging is beneficial: p99 shorter by ${
        100 * MINIMUM_P99_REDUCTION_RATIO
      } %, ` +
      `median within ${
        100 * MAXIMUM_MEDIAN_INCREASE_RATIO
      } %, prefill within ` +
      `${100 * MAXIMUM_EXTRA_PREFILL_RATIO} %`,
    columns: ["second copy after", "beneficial in"],
    rows,
  };
}

/// Runs the measurement under the fake clock.
export async function measureHedging(): Promise<MeasurementResult> {
  const comparisons: Comparison[] = [];
  for (const load of LOADS) {
    for (const hasStraggler of [false, true]) {
      const scenario = {
        load,
        hasStraggler,
        hedgeDelayMilliseconds: undefined,
      };
      const unhedged = await simulate(scenario);
      const median = unhedged.firstToken.getValueAtPercentile(50);
      for (const delayFactor of DELAY_FACTORS) {
        const delayed = {
          ...scenario,
          hedgeDelayMilliseconds: delayFactor * median,
        };
        const hedged = await simulate(delayed);
        comparisons.push(compare(delayed, delayFactor, { unhedged, hedged }));
      }
    }
  }
  return {
    name: "hedging",
    summary: `Time to first token of ${REQUESTS} prompts of ` +
      `${PROMPT_TOKENS} tokens at ${ENTRIES} entries and ${ENGINES} engines, ` +
      `with and without a second copy at another engine after a delay of ` +
      `${DELAY_FACTORS.join(" or ")} medians. The slower copy is cancelled. ` +
      `"One slow": one engine takes ${STRAGGLER_SLOWDOWN_FACTOR} times as long for ` +
      `each step. Simulated time, the same arrivals in each row.`,
    seed: SEED,
    targets: [],
    tables: [createVerdictTable(comparisons), {
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
      rows: comparisons.map((comparison) => comparison.cells),
    }],
  };
}
