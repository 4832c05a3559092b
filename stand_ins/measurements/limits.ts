import { rankByRendezvous } from "../../src/vms/rendezvous.ts";
import {
  LIMIT_CUSTOMER,
  type LimitFleet,
  startLimitFleet,
} from "../limit_fleet.ts";
import type { MeasurementResult, ResultTable } from "../measurement.ts";

/// Accuracy with which 9 entries enforce one customer's shared limit in steady
/// state and after failures, under the fake clock.

const VM_COUNT = 9;
const SEED = 7;
const LIMITS_PER_SECOND = [10, 100, 1_000];
const WARM_UP_SECONDS = 10;
const STEADY_SECONDS = 30;
const FAILURE_SECONDS = 20;
const STEADY_TOLERANCE_RATIO = 0.1;
const MAXIMUM_FAILURE_RATE_RATIO = 2;
const RECOVERY_SECONDS = 5;

type Weights = (second: number) => readonly number[];

const vmIndexes = Array.from({ length: VM_COUNT }, (_, index) => index);
const even: Weights = () => vmIndexes.map(() => 1);
const skewed: Weights = () => vmIndexes.map((index) => index === 0 ? 32 : 1);
const concentrated: Weights = () =>
  vmIndexes.map((index) => index === 0 ? 1 : 0);
const rotating: Weights = (second) =>
  vmIndexes.map((index) =>
    index === Math.floor(second / 2) % VM_COUNT ? 32 : 1
  );

interface SteadyCase {
  readonly name: string;
  readonly weights: Weights;
  /// Arrivals as a multiple of the limit.
  readonly demand: number;
}

const STEADY_CASES: readonly SteadyCase[] = [
  { name: "even", weights: even, demand: 4 },
  { name: "even, demand at the limit", weights: even, demand: 1 },
  { name: "even, demand at 0.8", weights: even, demand: 0.8 },
  { name: "80% at one entry", weights: skewed, demand: 4 },
  { name: "all at one entry", weights: concentrated, demand: 4 },
  { name: "80% at one entry, another every 2 s", weights: rotating, demand: 4 },
];

const rankOwners = (fleet: LimitFleet) =>
  rankByRendezvous(`limit ${LIMIT_CUSTOMER}`, fleet.names);

interface FailureCase {
  readonly name: string;
  readonly weights: Weights;
  readonly cause: (fleet: LimitFleet) => void;
}

const removeOwner = (fleet: LimitFleet) => fleet.remove(rankOwners(fleet)[0]!);

const FAILURE_CASES: readonly FailureCase[] = [
  { name: "failed owner, even", weights: even, cause: removeOwner },
  {
    name: "failed owner, 80% at one entry",
    weights: skewed,
    cause: removeOwner,
  },
  {
    name: "failed owner and its successor",
    weights: even,
    cause: (fleet) => rankOwners(fleet).slice(0, 2).forEach(fleet.remove),
  },
  {
    name: "partition, 3 and 6",
    weights: even,
    cause: (fleet) => fleet.partition(rankOwners(fleet).slice(0, 3)),
  },
  {
    name: "partition, the owner alone",
    weights: even,
    cause: (fleet) => fleet.partition(rankOwners(fleet).slice(0, 1)),
  },
];

async function measureAdmissionRates(
  fleet: LimitFleet,
  arrival: { demand: number; weights: Weights; seconds: number },
): Promise<number[]> {
  const rates: number[] = [];
  for (let second = 0; second < arrival.seconds; second++) {
    rates.push(
      await fleet.sendArrivals({
        perSecond: arrival.demand,
        weights: arrival.weights(second),
        seconds: 1,
      }),
    );
  }
  return rates;
}

const sum = (values: readonly number[]) =>
  values.reduce((total, value) => total + value, 0);
const formatRatio = (value: number) => value.toFixed(3);

function createFleet(limit: number): LimitFleet {
  return startLimitFleet({
    vms: VM_COUNT,
    requestsPerSecond: limit,
    seed: SEED,
  });
}

async function measureSteady(limit: number, { weights, demand }: SteadyCase) {
  const fleet = createFleet(limit);
  await fleet.start();
  const arrival = { demand: limit * demand, weights };
  await measureAdmissionRates(fleet, { ...arrival, seconds: WARM_UP_SECONDS });
  const refusedBefore = fleet.refused();
  const rates = await measureAdmissionRates(fleet, {
    ...arrival,
    seconds: STEADY_SECONDS,
  });
  const admitted = sum(rates);
  const arrived = admitted + fleet.refused() - refusedBefore;
  const usable = Math.min(arrived, limit * STEADY_SECONDS);
  return {
    ratio: admitted / (limit * STEADY_SECONDS),
    worstSecond: Math.max(...rates) / limit,
    unused: 1 - admitted / usable,
  };
}

async function measureFailure(limit: number, failure: FailureCase) {
  const fleet = createFleet(limit);
  await fleet.start();
  const arrival = { demand: limit * 4, weights: failure.weights };
  await measureAdmissionRates(fleet, { ...arrival, seconds: WARM_UP_SECONDS });
  failure.cause(fleet);
  const rates = await measureAdmissionRates(fleet, {
    ...arrival,
    seconds: FAILURE_SECONDS,
  });
  const after = rates.slice(RECOVERY_SECONDS);
  return {
    worstSecond: Math.max(...rates) / limit,
    averageDuringRecovery: sum(rates.slice(0, RECOVERY_SECONDS)) /
      (limit * RECOVERY_SECONDS),
    worstSecondAfterRecovery: Math.max(...after) / limit,
    averageAfterRecovery: sum(after) / (limit * after.length),
  };
}

/// Measures every case at every limit.
export async function measureLimits(): Promise<MeasurementResult> {
  const steadyRows: (string | number)[][] = [];
  const failureRows: (string | number)[][] = [];
  let maximumAdmitted = 0;
  let unused = 0;
  let worstSecond = 0;
  let worstAverageAfter = 0;
  for (const limit of LIMITS_PER_SECOND) {
    for (const steady of STEADY_CASES) {
      const result = await measureSteady(limit, steady);
      maximumAdmitted = Math.max(maximumAdmitted, result.ratio);
      unused = Math.max(unused, result.unused);
      const figures = [result.ratio, result.worstSecond, result.unused];
      steadyRows.push([limit, steady.name, ...figures.map(formatRatio)]);
    }
    for (const failure of FAILURE_CASES) {
      const result = await measureFailure(limit, failure);
      worstSecond = Math.max(worstSecond, result.worstSecond);
      worstAverageAfter = Math.max(
        worstAverageAfter,
        result.averageAfterRecovery,
      );
      const { averageDuringRecovery, averageAfterRecovery } = result;
      const figures = [
        result.worstSecond,
        averageDuringRecovery,
        result.worstSecondAfterRecovery,
        averageAfterRecovery,
      ];
      failureRows.push([limit, failure.name, ...figures.map(formatRatio)]);
    }
  }
  const tables: ResultTable[] = [
    {
      title: "Steady state, as shares of the limit",
      columns: [
        "limit per second",
        "arrival",
        "admitted",
        "largest second",
        "unused share",
      ],
      rows: steadyRows,
    },
    {
      title: "After a failure, as shares of the limit",
      columns: [
        "limit per second",
        "failure",
        "largest second",
        "first 5 s",
        "largest second after 5 s",
        "average after 5 s",
      ],
      rows: failureRows,
    },
  ];
  const check = (name: string, measured: number, bound: number) => ({
    name,
    target: `≤ ${bound}`,
    measured: formatRatio(measured),
    met: measured <= bound,
  });
  return {
    name: "limits",
    seed: SEED,
    summary:
      "One customer's requests at 9 entries, arriving at random times. " +
      "Peers detect a failed VM after 3.2 s; the VM list lags by 30 s. The " +
      "unused share is what was refused although the limit had room for it.",
    tables,
    targets: [
      check(
        "steady state, admitted",
        maximumAdmitted,
        1 + STEADY_TOLERANCE_RATIO,
      ),
      check("steady state, unused share", unused, STEADY_TOLERANCE_RATIO),
      check(
        "after a failure, largest second",
        worstSecond,
        MAXIMUM_FAILURE_RATE_RATIO,
      ),
      check(
        "later than 5 s, average",
        worstAverageAfter,
        1 + STEADY_TOLERANCE_RATIO,
      ),
    ],
  };
}
