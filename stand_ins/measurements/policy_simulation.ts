import type { Objective, Sheet } from "../../src/contracts/sheet.ts";
import type { EntryOptions } from "../../src/entry.ts";
import type { ProblemCode } from "../../src/requests/request_error.ts";
import { type Fleet, startFleet } from "../fleet.ts";
import { sampleSheet } from "../sample_sheet.ts";
import {
  type Arrival,
  createWorkload,
  CUSTOMERS,
  MINIMUM_LONG_PROMPT_TOKENS,
} from "./policy_workload.ts";

/// One cell of the policy tables: a fleet, its arrivals, a fault, and what
/// became of every request.

export interface Site {
  readonly name: string;
  readonly engines: number;
  readonly entries: number;
  readonly dataCentres: readonly string[];
}

export interface Fault {
  readonly name: string;
  /// Breaks something when the fleet has run for half of the arrivals.
  readonly begin: (fleet: Fleet) => void;
}

export interface SimulationOptions {
  readonly site: Site;
  readonly seed: number;
  /// Share of the engines' prefill capacity.
  readonly load: number;
  readonly entry: Partial<EntryOptions>;
  readonly objective?: Objective;
  readonly reportLagMilliseconds?: number;
  readonly lostCacheEventInterval?: number;
  readonly excludesLongRequests?: boolean;
  readonly fault?: Fault;
}

export interface RequestOutcome {
  readonly arrival: Arrival;
  /// Undefined if no token came.
  readonly firstToken: number | undefined;
  readonly duration: number;
  readonly error: ProblemCode | undefined;
  readonly executed: boolean;
}

export interface SimulationResult {
  readonly outcomes: readonly RequestOutcome[];
  /// Milliseconds between tokens of one answer.
  readonly tokenGaps: readonly number[];
}

export const ARRIVAL_PERIOD_MILLISECONDS = 90_000;
const SHORT_DEADLINE_MILLISECONDS = 10_000;
const LONG_DEADLINE_MILLISECONDS = 180_000;
const LIMIT_MILLISECONDS = 400_000;

export const ENGINE_OPTIONS = {
  memoryTokens: 400_000,
  prefillTokensPerStep: 256,
  stepMilliseconds: 8,
  prefillMillisecondsPerToken: 0.04,
  decodeMillisecondsPerStream: 0.1,
  retainMilliseconds: 1_000,
};

/// Prompt tokens a second that one engine prefills in full steps.
export const ENGINE_PREFILL_TOKENS_PER_SECOND = 1_000 *
  ENGINE_OPTIONS.prefillTokensPerStep /
  (ENGINE_OPTIONS.stepMilliseconds +
    ENGINE_OPTIONS.prefillTokensPerStep *
      ENGINE_OPTIONS.prefillMillisecondsPerToken);

function createSheet({ site, objective }: SimulationOptions): Sheet {
  const keys = Object.fromEntries(CUSTOMERS.map((name) => [name, name]));
  const sheet = sampleSheet({ keys, engines: site.engines, replicas: 0 });
  return {
    ...sheet,
    options: {
      objective: objective ?? "slowdown",
      longPromptTokens: MINIMUM_LONG_PROMPT_TOKENS,
    },
    customers: sheet.customers.map((customer) => ({
      ...customer,
      concurrentLongRequests: 1_000,
      shortDeadlineMilliseconds: SHORT_DEADLINE_MILLISECONDS,
      longDeadlineMilliseconds: LONG_DEADLINE_MILLISECONDS,
    })),
  };
}

/// Runs one cell to the end of its last request.
export async function simulatePolicy(
  options: SimulationOptions,
): Promise<SimulationResult> {
  const { site, seed } = options;
  const drawn = createWorkload({
    seed,
    entries: site.entries,
    tokensPerSecond: options.load * site.engines *
      ENGINE_PREFILL_TOKENS_PER_SECOND,
    durationMilliseconds: ARRIVAL_PERIOD_MILLISECONDS,
    engineMemoryTokens: ENGINE_OPTIONS.memoryTokens,
  });
  const arrivals = drawn.filter((arrival) =>
    !options.excludesLongRequests || arrival.lengthClass !== "long"
  );
  const prompts = new Map(
    arrivals.map(({ prompt }) => [prompt.text, prompt]),
  );
  const fleet = await startFleet({
    sheet: createSheet(options),
    entries: site.entries,
    seed,
    dataCentres: site.dataCentres,
    engine: {
      ...ENGINE_OPTIONS,
      reportLagMilliseconds: options.reportLagMilliseconds ?? 1_000,
      lostCacheEventInterval: options.lostCacheEventInterval ?? 0,
    },
    entry: {
      ...options.entry,
      describePrompt: (text) => prompts.get(text)!,
    },
  });
  const tokenGaps: number[] = [];
  const started = fleet.clock.now();
  const pending = arrivals.map(async (arrival) => {
    await fleet.clock.sleep(arrival.at);
    return await send(fleet, arrival, tokenGaps);
  });
  if (options.fault) {
    const { begin } = options.fault;
    fleet.clock.schedule(ARRIVAL_PERIOD_MILLISECONDS / 2, () => begin(fleet));
  }
  const all = Promise.all(pending);
  const outcomes = await fleet.clock.advanceUntil(
    all,
    started + LIMIT_MILLISECONDS,
  );
  for (const entry of fleet.entries.values()) entry.close();
  return { outcomes, tokenGaps };
}

/// The arrival's entry, or the next one if that is gone.
function entryOf(fleet: Fleet, arrival: Arrival): string {
  const names = [...fleet.entries.keys()];
  const wanted = `vm-${arrival.entry + 1}`;
  return fleet.entries.has(wanted)
    ? wanted
    : names[arrival.entry % names.length]!;
}

async function send(
  fleet: Fleet,
  arrival: Arrival,
  tokenGaps: number[],
): Promise<RequestOutcome> {
  const { clock } = fleet;
  const started = clock.now();
  let firstToken: number | undefined;
  let previous = started;
  const answer = await fleet.complete({
    vm: entryOf(fleet, arrival),
    key: arrival.customer,
    onChunk(chunk) {
      const now = clock.now();
      if (firstToken === undefined) firstToken = now - started;
      else if (chunk.tokens > 0) {
        tokenGaps.push((now - previous) / chunk.tokens);
      }
      previous = now;
    },
  }, {
    prompt: arrival.prompt.text,
    maximumTokens: arrival.maximumTokens,
  });
  return {
    arrival,
    firstToken,
    duration: clock.now() - started,
    error: answer.error?.code,
    executed: answer.error !== undefined && answer.error.executed !== "no",
  };
}
