import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import type { Prompt } from "../../src/upstreams/engine_client.ts";
import { BLOCK_TOKENS } from "../../src/upstreams/prompt_blocks.ts";

/// Seeded open-loop workload of prompts whose lengths differ widely.

export type LengthClass = "short" | "medium" | "long";

export interface Arrival {
  readonly at: number;
  /// Index of the entry that the platform's load balancer selects.
  readonly entry: number;
  readonly customer: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  readonly lengthClass: LengthClass;
}

export interface WorkloadOptions {
  readonly seed: number;
  readonly entries: number;
  /// Prompt tokens a second, on average.
  readonly tokensPerSecond: number;
  readonly durationMilliseconds: number;
  readonly engineMemoryTokens: number;
}

export const MAXIMUM_SHORT_PROMPT_TOKENS = 4_000;
export const MINIMUM_LONG_PROMPT_TOKENS = 100_000;
const MINIMUM_PROMPT_TOKENS = 1_000;
/// Longest prompt as a multiple of an engine's memory.
const MAXIMUM_PROMPT_MEMORY_RATIO = 2.2;
const LONG_PROMPT_RATIO = 0.02;
const MEDIUM_PROMPT_RATIO = 0.2;
/// Exponents of the bounded Pareto distributions of the lengths.
const PARETO_EXPONENTS = { short: 1, medium: 0.8, long: 1.2 };
const ANSWER_TOKENS = { minimum: 8, maximum: 32 };
const BURST_PERIOD_MILLISECONDS = 10_000;
const BURST_DURATION_MILLISECONDS = 2_000;
/// Request rate within a burst relative to the average.
const BURST_RATE_FACTOR = 2;
/// Relative request rates of the customers; three are large.
const CUSTOMER_RATES = [30, 20, 15, 5, 5, 5, 5, 5, 5, 5];
const PREFIX_REUSE_RATIO = 0.6;
const PREFIXES_PER_CUSTOMER = 8;
const MAXIMUM_PREFIX_BLOCKS = 8;
const PROMPT_TEXT_LENGTH = 96;
/// Number of samples for the estimate of the mean prompt length.
const MEAN_LENGTH_SAMPLES = 100_000;

export const CUSTOMERS = CUSTOMER_RATES.map((_, index) =>
  `customer-${index + 1}`
);

interface Bounds {
  readonly minimum: number;
  readonly maximum: number;
  readonly exponent: number;
}

function sampleBoundedPareto(random: RandomSource, bounds: Bounds): number {
  const { minimum, maximum, exponent } = bounds;
  const ratio = (minimum / maximum) ** exponent;
  const share = 1 - random.next() * (1 - ratio);
  return Math.round(minimum * share ** (-1 / exponent));
}

function samplePromptLength(random: RandomSource, memoryTokens: number) {
  const sample = random.next();
  const lengthClass: LengthClass = sample < LONG_PROMPT_RATIO
    ? "long"
    : sample < LONG_PROMPT_RATIO + MEDIUM_PROMPT_RATIO
    ? "medium"
    : "short";
  const ranges = {
    short: [MINIMUM_PROMPT_TOKENS, MAXIMUM_SHORT_PROMPT_TOKENS],
    medium: [MAXIMUM_SHORT_PROMPT_TOKENS + 1, MINIMUM_LONG_PROMPT_TOKENS - 1],
    long: [
      MINIMUM_LONG_PROMPT_TOKENS,
      MAXIMUM_PROMPT_MEMORY_RATIO * memoryTokens,
    ],
  } as const;
  const [minimum, maximum] = ranges[lengthClass];
  const exponent = PARETO_EXPONENTS[lengthClass];
  const tokens = sampleBoundedPareto(random, { minimum, maximum, exponent });
  return { lengthClass, tokens };
}

/// Estimates the mean prompt length of the distribution, in tokens.
export function meanPromptTokens(memoryTokens: number): number {
  const random = createSeededRandom(1);
  let total = 0;
  for (let count = 0; count < MEAN_LENGTH_SAMPLES; count++) {
    total += samplePromptLength(random, memoryTokens).tokens;
  }
  return total / MEAN_LENGTH_SAMPLES;
}

function sampleCustomer(random: RandomSource): number {
  const total = CUSTOMER_RATES.reduce((sum, rate) => sum + rate, 0);
  let sample = random.next() * total;
  return CUSTOMER_RATES.findIndex((rate) => (sample -= rate) < 0);
}

/// Draws the blocks of a prompt, which may start with one of its customer's
/// shared prefixes.
function samplePromptBlocks(
  random: RandomSource,
  prompt: { tokens: number; customer: number; number: number },
): string[] {
  const prefix = randomInteger(random, PREFIXES_PER_CUSTOMER);
  const sharedBlocks = random.next() < PREFIX_REUSE_RATIO
    ? 1 + prefix % MAXIMUM_PREFIX_BLOCKS
    : 0;
  const fullBlocks = Math.floor(prompt.tokens / BLOCK_TOKENS);
  return Array.from(
    { length: Math.min(fullBlocks, MAXIMUM_PREFIX_BLOCKS) },
    (_, index) =>
      index < sharedBlocks
        ? `shared-${prompt.customer}-${prefix}-${index}`
        : `own-${prompt.number}-${index}`,
  );
}

/// Draws all arrivals in chronological order.
export function createWorkload(options: WorkloadOptions): Arrival[] {
  const random = createSeededRandom(options.seed);
  const memoryTokens = options.engineMemoryTokens;
  const averageRequestsPerMillisecond = options.tokensPerSecond /
    meanPromptTokens(memoryTokens) /
    1_000;
  const burstShare = BURST_DURATION_MILLISECONDS / BURST_PERIOD_MILLISECONDS;
  const offBurstFactor = (1 - BURST_RATE_FACTOR * burstShare) /
    (1 - burstShare);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (let number = 0;; number++) {
    const inBurst =
      at % BURST_PERIOD_MILLISECONDS < BURST_DURATION_MILLISECONDS;
    const rate = averageRequestsPerMillisecond *
      (inBurst ? BURST_RATE_FACTOR : offBurstFactor);
    at += -Math.log(1 - random.next()) / rate;
    if (at >= options.durationMilliseconds) return arrivals;
    const { lengthClass, tokens } = samplePromptLength(random, memoryTokens);
    const customer = sampleCustomer(random);
    const answerTokenRange = ANSWER_TOKENS.maximum - ANSWER_TOKENS.minimum + 1;
    arrivals.push({
      at,
      entry: randomInteger(random, options.entries),
      customer: CUSTOMERS[customer]!,
      prompt: {
        text: `prompt-${number}-`.padEnd(PROMPT_TEXT_LENGTH, "."),
        tokens,
        blocks: samplePromptBlocks(random, { tokens, customer, number }),
      },
      maximumTokens: ANSWER_TOKENS.minimum +
        randomInteger(random, answerTokenRange),
      lengthClass,
    });
  }
}
