import type { Links } from "../links/links.ts";
import type { RequestRegistry } from "../requests/request_registry.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { EngineDirectory } from "../upstreams/engine_directory.ts";
import type { Membership } from "../vms/membership.ts";
import {
  type BucketCount,
  BUCKETS_PER_WINDOW,
  createWindowCounter,
} from "./window_counter.ts";
import {
  createServiceLevelObjectives,
  type ServiceLevelObjective,
} from "./service_level_objectives.ts";
import {
  type BurnReport,
  type BurnWindow,
  BurnWindowsCall,
  type VmCounts,
} from "./burn_schemas.ts";

/// How fast the error budgets are spent, over all VMs.

interface Window {
  readonly name: string;
  readonly milliseconds: Milliseconds;
}

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;

const WINDOWS: readonly Window[] = [
  { name: "5 min", milliseconds: 5 * MINUTE_MILLISECONDS },
  { name: "1 h", milliseconds: HOUR_MILLISECONDS },
  { name: "6 h", milliseconds: 6 * HOUR_MILLISECONDS },
  { name: "1 d", milliseconds: 24 * HOUR_MILLISECONDS },
];

/// Burn in both of the two shorter, or longer, windows that raises an alert.
const FAST_BURN = 14.4;
const SLOW_BURN = 3;

export interface BurnMonitorOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly membership: Membership;
  readonly registry: RequestRegistry;
  readonly engines: EngineDirectory;
}

export interface BurnMonitor {
  /// Merges the counts of all VMs that answer.
  report(): Promise<BurnReport>;
  /// Calls `listener` for each objective that an ended request counts for.
  onObjectiveResult(listener: (objective: string, good: boolean) => void): void;
}

interface NamedCounts {
  readonly vm: string;
  readonly counts: VmCounts;
}

function sumBuckets(buckets: readonly BucketCount[]): BucketCount {
  return buckets.reduce(
    (sum, { total, bad }) => ({
      total: sum.total + total,
      bad: sum.bad + bad,
    }),
    { total: 0, bad: 0 },
  );
}

/// Sums the buckets of the same age.
function mergeBuckets(
  all: readonly (readonly BucketCount[])[],
): readonly BucketCount[] {
  return Array.from(
    { length: BUCKETS_PER_WINDOW + 1 },
    (_, age) => sumBuckets(all.flatMap((buckets) => buckets[age] ?? [])),
  );
}

function burnOf({ total, bad }: BucketCount, target: number): number {
  return total === 0 ? 0 : bad / total / (1 - target);
}

function mergeWindow(
  objective: ServiceLevelObjective,
  window: Window,
  vms: readonly NamedCounts[],
): BurnWindow {
  const { name, milliseconds } = window;
  const merged = mergeBuckets(vms.flatMap(({ counts }) =>
    counts.objectives
      .filter((counted) => counted.name === objective.name)
      .flatMap(({ windows }) => windows)
      .filter((counted) => counted.name === name)
      .map(({ buckets }) => buckets)
  ));
  const counts = sumBuckets(merged);
  return {
    name,
    milliseconds,
    ...counts,
    burn: burnOf(counts, objective.target),
    series: merged.map((bucket) => burnOf(bucket, objective.target)),
    bucketMilliseconds: milliseconds / BUCKETS_PER_WINDOW,
    partialVms: vms
      .filter(({ counts }) => counts.ageMilliseconds < milliseconds)
      .map(({ vm }) => vm),
  };
}

function alertOf(windows: readonly BurnWindow[]): "none" | "slow" | "fast" {
  const [shortest, short, long, longest] = windows.map(({ burn }) => burn);
  if (Math.min(shortest!, short!) >= FAST_BURN) return "fast";
  return Math.min(long!, longest!) >= SLOW_BURN ? "slow" : "none";
}

/// Starts counting the requests that end on this VM.
export function startBurnMonitor(options: BurnMonitorOptions): BurnMonitor {
  const { clock, links, membership, registry, engines } = options;
  const startedAt = clock.now();
  const objectives = createServiceLevelObjectives(engines);
  const counters = new Map(
    objectives.map(({ name }) => [
      name,
      WINDOWS.map((window) => ({
        name: window.name,
        counter: createWindowCounter(clock, window.milliseconds),
      })),
    ]),
  );
  const listeners: ((objective: string, good: boolean) => void)[] = [];

  registry.onEnd((end) => {
    for (const { name, judge } of objectives) {
      const good = judge(end);
      if (good === undefined) continue;
      for (const { counter } of counters.get(name)!) counter.add(good);
      listeners.forEach((listener) => listener(name, good));
    }
  });

  const ownCounts = (): VmCounts => ({
    ageMilliseconds: clock.now() - startedAt,
    objectives: objectives.map(({ name }) => ({
      name,
      windows: counters.get(name)!.map((window) => ({
        name: window.name,
        buckets: [...window.counter.buckets()],
      })),
    })),
  });

  const askVm = async (vm: string): Promise<NamedCounts | undefined> => {
    try {
      return { vm, counts: await links.call(vm, BurnWindowsCall, {}) };
    } catch {
      return undefined;
    }
  };

  links.onCall(BurnWindowsCall, () => Promise.resolve(ownCounts()));

  return {
    async report() {
      const { self } = links;
      const others = membership.members().map(({ vm }) => vm)
        .filter((vm) => vm !== self.vm);
      const answers = await Promise.all(others.map(askVm));
      const vms = [
        { vm: self.vm, counts: ownCounts() },
        ...answers.filter((answer) => answer !== undefined),
      ];
      return {
        vms: vms.map(({ vm }) => vm),
        missing: others.filter((_, index) => answers[index] === undefined),
        objectives: objectives.map((objective) => {
          const { name, description, target } = objective;
          const windows = WINDOWS.map((window) =>
            mergeWindow(objective, window, vms)
          );
          const alert = alertOf(windows);
          return { name, description, target, alert, windows };
        }),
      };
    },
    onObjectiveResult: (listener) => void listeners.push(listener),
  };
}
