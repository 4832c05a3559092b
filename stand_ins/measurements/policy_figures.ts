import {
  ARRIVAL_PERIOD_MILLISECONDS,
  type RequestOutcome,
  type SimulationResult,
} from "./policy_simulation.ts";
import { CUSTOMERS, type LengthClass } from "./policy_workload.ts";

/// Figures of one simulation, over requests that arrive after the warm-up.

export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export interface SimulationFigures {
  /// Milliseconds to the first token.
  readonly firstToken: Readonly<Record<LengthClass, Percentiles>>;
  readonly longAdmitted: number;
  readonly longInTime: number;
  /// Prompt tokens a second of the requests that finished within their
  /// deadlines during the arrival period, without the warm-up.
  readonly goodput: number;
  readonly refused: number;
  readonly failed: number;
  readonly fairness: number;
  readonly tokenGapP95: number;
  readonly requests: number;
}

const WARM_UP_MILLISECONDS = 10_000;

export function percentile(values: readonly number[], share: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}

/// Returns the times to first token of a length class, in milliseconds, without
/// refused requests. A request without a first token counts as infinite.
export function timesToFirstToken(
  outcomes: readonly RequestOutcome[],
  lengthClass: LengthClass,
): number[] {
  return outcomes
    .filter(({ arrival }) => arrival.lengthClass === lengthClass)
    .filter((outcome) => !wasRefused(outcome))
    .map(({ firstToken }) => firstToken ?? Infinity);
}

/// Whether the request was refused before execution.
export function wasRefused({ error, executed }: RequestOutcome): boolean {
  return error !== undefined && !executed;
}

/// Returns the max-min fair allocation of the capacity: each demand, but at
/// most the largest equal share that the capacity allows.
function maxMinFairShares(
  demands: readonly number[],
  capacity: number,
): number[] {
  let share = Infinity;
  let remaining = capacity;
  const sorted = [...demands].sort((first, second) => first - second);
  for (const [index, demand] of sorted.entries()) {
    const equal = remaining / (sorted.length - index);
    if (demand > equal) {
      share = equal;
      break;
    }
    remaining -= demand;
  }
  return demands.map((demand) => Math.min(demand, share));
}

/// Jain's fairness index of the ratios of each customer's served tokens to its
/// max-min fair share.
function fairness(outcomes: readonly RequestOutcome[]): number {
  const tokensOf = (
    customer: string,
    included: (outcome: RequestOutcome) => boolean,
  ) =>
    outcomes
      .filter((outcome) =>
        outcome.arrival.customer === customer && included(outcome)
      )
      .reduce((total, outcome) => total + outcome.arrival.prompt.tokens, 0);
  const demands = CUSTOMERS.map((name) => tokensOf(name, () => true));
  const served = CUSTOMERS.map((name) =>
    tokensOf(name, (outcome) => !outcome.error)
  );
  const total = served.reduce((sum, tokens) => sum + tokens, 0);
  const allocationRatios = maxMinFairShares(demands, total)
    .map((share, index) => served[index]! / share);
  const sum = allocationRatios.reduce((all, share) => all + share, 0);
  const squares = allocationRatios.reduce(
    (all, share) => all + share * share,
    0,
  );
  return sum * sum / (allocationRatios.length * squares);
}

export function toFigures(
  { outcomes, tokenGaps }: SimulationResult,
): SimulationFigures {
  const afterWarmUp = outcomes.filter(({ arrival }) =>
    arrival.at >= WARM_UP_MILLISECONDS
  );
  const percentilesOf = (lengthClass: LengthClass): Percentiles => {
    const values = timesToFirstToken(afterWarmUp, lengthClass);
    return {
      p50: percentile(values, 0.5),
      p95: percentile(values, 0.95),
      p99: percentile(values, 0.99),
    };
  };
  const long = afterWarmUp.filter((outcome) =>
    outcome.arrival.lengthClass === "long" && !wasRefused(outcome)
  );
  const finishedInWindow = outcomes.filter(({ arrival, duration, error }) => {
    const endedAt = arrival.at + duration;
    return !error && endedAt >= WARM_UP_MILLISECONDS &&
      endedAt < ARRIVAL_PERIOD_MILLISECONDS;
  });
  const tokens = finishedInWindow.reduce(
    (total, outcome) => total + outcome.arrival.prompt.tokens,
    0,
  );
  return {
    firstToken: {
      short: percentilesOf("short"),
      medium: percentilesOf("medium"),
      long: percentilesOf("long"),
    },
    longAdmitted: long.length,
    longInTime: long.filter((outcome) => !outcome.error).length,
    goodput: 1_000 * tokens /
      (ARRIVAL_PERIOD_MILLISECONDS - WARM_UP_MILLISECONDS),
    refused: afterWarmUp.filter(wasRefused).length,
    failed:
      afterWarmUp.filter((outcome) => outcome.error && !wasRefused(outcome))
        .length,
    fairness: fairness(afterWarmUp),
    tokenGapP95: percentile(tokenGaps, 0.95),
    requests: afterWarmUp.length,
  };
}
