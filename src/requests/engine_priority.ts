import type { Objective } from "../contracts/sheet.ts";

/// The priority of a prompt at its engine. Smaller is more urgent.

export interface EnginePriorityOptions {
  /// Index of the request's priority in the contract; 0 is the most urgent.
  readonly level: number;
  readonly tokens: number;
  readonly longPromptTokens: number;
  readonly objective: Objective;
  /// Whether the priority of prompts that aren't long depends on their length.
  readonly ordersByLength: boolean;
}

const PRIORITIES_PER_LEVEL = 10;
/// Prompts up to this length have the most urgent priority of their level.
export const SHORT_PROMPT_TOKENS = 4_000;
/// Largest offset of medium prompts from the priority of short ones.
const MAXIMUM_MEDIUM_OFFSET = 4;
const LONG_OFFSET = 5;

/// With the objective `slowdown`, every doubling of the length adds one, so
/// that shorter prompts run first. With `timeToFirstToken`, all prompts that
/// aren't short have the same priority and run in the order of their arrival.
export function enginePriority(options: EnginePriorityOptions): number {
  const { level, tokens, longPromptTokens, objective } = options;
  const base = level * PRIORITIES_PER_LEVEL;
  const isLong = tokens >= longPromptTokens;
  if (!options.ordersByLength) return base + (isLong ? LONG_OFFSET : 0);
  if (tokens <= SHORT_PROMPT_TOKENS) return base;
  if (objective === "timeToFirstToken") return base + 1;
  if (isLong) return base + LONG_OFFSET;
  const doublings = Math.ceil(Math.log2(tokens / SHORT_PROMPT_TOKENS));
  return base + Math.min(doublings, MAXIMUM_MEDIUM_OFFSET);
}
