import {
  ARRIVAL_PERIOD_MILLISECONDS,
  type RequestOutcome,
  type SimulationResult,
} from "./policy_simulation.ts";
import { CUSTOMERS, type LengthClass } from "./policy_workload.ts";

/// Figures of one cell, over requests that arrive after the warm-up.

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
  /// Prompt tokens a second of requests that finished, within their deadlines,
  /// while arrivals went on.
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

/// Times to first token of a class; a request without one counts as endless.
export function timesToFirstToken(
  outcomes: readonly RequestOutcome[],
  lengthClass: LengthClass,
): number[] {
  return outcomes
    .filter(({ arrival }) => arrival.lengthClass === lengthClass)
    .filter((outcome) => !wasRefused(outcome))
    .map(({ firstToken }) => firstToken ?? Infinity);
}

/// Refused without having run.
export function wasRefused({ error, executed }: RequestOutcome): boolean {
  return error !== undefined && !executed;
}

/// Largest equal share that customers with these demands can have.
function fairShares(demands: readonly number[], capacity: number): number[] {
  let share = Infinity;
  let left = capacity;
  const sorted = [...demands].sort((first, second) => first - second);
  for (const [index, demand] of sorted.entries()) {
    const equal = left / (sorted.length - index);
    if (demand > equal) {
      share = equal;
      break;
    }
    left -= demand;
  }
  return demands.map((demand) => Math.min(demand, share));
}

/// Jain's index over what each customer got of its max-min fair share.
function fairness(outcomes: readonly RequestOutcome[]): number {
  const tokensOf = (
    customer: string,
    included: (one: RequestOutcome) => boolean,
  ) =>
    outcomes
      .filter((one) => one.arrival.customer === customer && included(one))
      .reduce((total, one) => total + one.arrival.prompt.tokens, 0);
  const demands = CUSTOMERS.map((name) => tokensOf(name, () => true));
  const served = CUSTOMERS.map((name) => tokensOf(name, (one) => !one.error));
  const total = served.reduce((sum, tokens) => sum + tokens, 0);
  const shares = fairShares(demands, total)
    .map((share, index) => served[index]! / share);
  const sum = shares.reduce((all, share) => all + share, 0);
  const squares = shares.reduce((all, share) => all + share * share, 0);
  return sum * sum / (shares.length * squares);
}

export function toFigures(
  { outcomes, tokenGaps }: SimulationResult,
): SimulationFigures {
  const counted = outcomes.filter(({ arrival }) =>
    arrival.at >= WARM_UP_MILLISECONDS
  );
  const percentilesOf = (lengthClass: LengthClass): Percentiles => {
    const values = timesToFirstToken(counted, lengthClass);
    return {
      p50: percentile(values, 0.5),
      p95: percentile(values, 0.95),
      p99: percentile(values, 0.99),
    };
  };
  const long = counted.filter((one) =>
    one.arrival.lengthClass === "long" && !wasRefused(one)
  );
  const finishedInWindow = outcomes.filter(({ arrival, duration, error }) => {
    const endedAt = arrival.at + duration;
    return !error && endedAt >= WARM_UP_MILLISECONDS &&
      endedAt < ARRIVAL_PERIOD_MILLISECONDS;
  });
  const tokens = finishedInWindow.reduce(
    (total, one) => total + one.arrival.prompt.tokens,
    0,
  );
  return {
    firstToken: {
      short: percentilesOf("short"),
      medium: percentilesOf("medium"),
      long: percentilesOf("long"),
    },
    longAdmitted: long.length,
    longInTime: long.filter((one) => !one.error).length,
    goodput: 1_000 * tokens /
      (ARRIVAL_PERIOD_MILLISECONDS - WARM_UP_MILLISECONDS),
    refused: counted.filter(wasRefused).length,
    failed: counted.filter((one) => one.error && !wasRefused(one)).length,
    fairness: fairness(counted),
    tokenGapP95: percentile(tokenGaps, 0.95),
    requests: counted.length,
  };
}
