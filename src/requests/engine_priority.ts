import type { Objective } from "../contracts/sheet.ts";

/// The priority a prompt has at its engine. Smaller is more urgent.

export interface PriorityQuestion {
  /// Index of the request's priority in the contract; 0 is the most urgent.
  readonly level: number;
  readonly tokens: number;
  readonly longPromptTokens: number;
  readonly objective: Objective;
  /// Whether prompts that are not long are told apart by their length.
  readonly ordersByLength: boolean;
}

const LEVEL_STEP = 10;
/// Prompts up to this length always go first within their level.
export const SHORT_PROMPT_TOKENS = 4_000;
/// Steps of medium prompts below the short ones.
const MEDIUM_STEPS = 4;
const LONG_STEP = 5;

/// With the objective `slowdown`, every doubling of the length costs a step,
/// so that the shorter prompt goes first. With `timeToFirstToken`, all prompts
/// that are not short share one step and go in the order of their arrival.
export function enginePriority(question: PriorityQuestion): number {
  const { level, tokens, longPromptTokens, objective } = question;
  const base = level * LEVEL_STEP;
  const isLong = tokens >= longPromptTokens;
  if (!question.ordersByLength) return base + (isLong ? LONG_STEP : 0);
  if (tokens <= SHORT_PROMPT_TOKENS) return base;
  if (objective === "timeToFirstToken") return base + 1;
  if (isLong) return base + LONG_STEP;
  const doublings = Math.ceil(Math.log2(tokens / SHORT_PROMPT_TOKENS));
  return base + Math.min(doublings, MEDIUM_STEPS);
}
