import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import type { Prompt } from "../../src/upstreams/engine_client.ts";
import { BLOCK_TOKENS } from "../../src/upstreams/prompt_blocks.ts";

/// Seeded open-loop arrivals of prompts of very unlike lengths.

export type LengthClass = "short" | "medium" | "long";

export interface Arrival {
  readonly at: number;
  /// Index of the entry that the platform's balancer picked.
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
const SHORTEST_PROMPT_TOKENS = 1_000;
/// Longest prompt in engine memories.
const LONGEST_PROMPT_MEMORIES = 2.2;
const LONG_SHARE = 0.02;
const MEDIUM_SHARE = 0.2;
/// Exponents of the bounded Pareto distributions of the lengths.
const EXPONENTS = { short: 1, medium: 0.8, long: 1.2 };
const ANSWER_TOKENS = { least: 8, most: 32 };
const BURST_PERIOD_MILLISECONDS = 10_000;
const BURST_MILLISECONDS = 2_000;
/// Rate within a burst relative to the average.
const BURST_FACTOR = 2;
/// Relative request rates of the customers; three are large.
const CUSTOMER_RATES = [30, 20, 15, 5, 5, 5, 5, 5, 5, 5];
const REUSE_SHARE = 0.6;
const PREFIXES_PER_CUSTOMER = 8;
const LONGEST_PREFIX_BLOCKS = 8;
const TEXT_LENGTH = 96;
/// Samples from which the mean length is estimated.
const MEAN_SAMPLES = 100_000;

export const CUSTOMERS = CUSTOMER_RATES.map((_, index) =>
  `customer-${index + 1}`
);

interface Bounds {
  readonly least: number;
  readonly most: number;
  readonly exponent: number;
}

function boundedPareto(random: RandomSource, bounds: Bounds): number {
  const { least, most, exponent } = bounds;
  const ratio = (least / most) ** exponent;
  const share = 1 - random.next() * (1 - ratio);
  return Math.round(least * share ** (-1 / exponent));
}

function drawLength(random: RandomSource, memory: number) {
  const point = random.next();
  const lengthClass: LengthClass = point < LONG_SHARE
    ? "long"
    : point < LONG_SHARE + MEDIUM_SHARE
    ? "medium"
    : "short";
  const ranges = {
    short: [SHORTEST_PROMPT_TOKENS, MAXIMUM_SHORT_PROMPT_TOKENS],
    medium: [MAXIMUM_SHORT_PROMPT_TOKENS + 1, MINIMUM_LONG_PROMPT_TOKENS - 1],
    long: [MINIMUM_LONG_PROMPT_TOKENS, LONGEST_PROMPT_MEMORIES * memory],
  } as const;
  const [least, most] = ranges[lengthClass];
  const exponent = EXPONENTS[lengthClass];
  const tokens = boundedPareto(random, { least, most, exponent });
  return { lengthClass, tokens };
}

/// Mean prompt length of the distribution.
export function meanPromptTokens(memory: number): number {
  const random = createSeededRandom(1);
  let total = 0;
  for (let count = 0; count < MEAN_SAMPLES; count++) {
    total += drawLength(random, memory).tokens;
  }
  return total / MEAN_SAMPLES;
}

function drawCustomer(random: RandomSource): number {
  const total = CUSTOMER_RATES.reduce((sum, rate) => sum + rate, 0);
  let point = random.next() * total;
  return CUSTOMER_RATES.findIndex((rate) => (point -= rate) < 0);
}

/// Blocks of a prompt that may begin with one of its customer's prefixes.
function drawBlocks(
  random: RandomSource,
  prompt: { tokens: number; customer: number; number: number },
): string[] {
  const prefix = randomInteger(random, PREFIXES_PER_CUSTOMER);
  const shared = random.next() < REUSE_SHARE
    ? 1 + prefix % LONGEST_PREFIX_BLOCKS
    : 0;
  const whole = Math.floor(prompt.tokens / BLOCK_TOKENS);
  return Array.from(
    { length: Math.min(whole, LONGEST_PREFIX_BLOCKS) },
    (_, index) =>
      index < shared
        ? `shared-${prompt.customer}-${prefix}-${index}`
        : `own-${prompt.number}-${index}`,
  );
}

/// Draws all arrivals, in order of time.
export function createWorkload(options: WorkloadOptions): Arrival[] {
  const random = createSeededRandom(options.seed);
  const memory = options.engineMemoryTokens;
  const perMillisecond = options.tokensPerSecond / meanPromptTokens(memory) /
    1_000;
  const burstShare = BURST_MILLISECONDS / BURST_PERIOD_MILLISECONDS;
  const calmFactor = (1 - BURST_FACTOR * burstShare) / (1 - burstShare);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (let number = 0;; number++) {
    const inBurst = at % BURST_PERIOD_MILLISECONDS < BURST_MILLISECONDS;
    const rate = perMillisecond * (inBurst ? BURST_FACTOR : calmFactor);
    at += -Math.log(1 - random.next()) / rate;
    if (at >= options.durationMilliseconds) return arrivals;
    const { lengthClass, tokens } = drawLength(random, memory);
    const customer = drawCustomer(random);
    const span = ANSWER_TOKENS.most - ANSWER_TOKENS.least + 1;
    arrivals.push({
      at,
      entry: randomInteger(random, options.entries),
      customer: CUSTOMERS[customer]!,
      prompt: {
        text: `prompt-${number}-`.padEnd(TEXT_LENGTH, "."),
        tokens,
        blocks: drawBlocks(random, { tokens, customer, number }),
      },
      maximumTokens: ANSWER_TOKENS.least + randomInteger(random, span),
      lengthClass,
    });
  }
}
