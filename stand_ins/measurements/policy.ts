import type { EntryOptions, Mechanism } from "../../src/entry.ts";
import type { Fleet } from "../fleet.ts";
import type { MeasurementResult, ResultTable } from "../measurement.ts";
import {
  LeastRequestsPlacement,
  LeastTokensPlacement,
  PrefixAffinityPlacement,
  RandomPlacement,
  RoundRobinPlacement,
  StaticSplitPlacement,
  TwoChoicesPlacement,
} from "./baseline_placements.ts";
import {
  ARRIVAL_PERIOD_MILLISECONDS,
  ENGINE_OPTIONS,
  ENGINE_PREFILL_TOKENS_PER_SECOND,
  type Fault,
  simulatePolicy,
  type SimulationOptions,
  type SimulationResult,
  type Site,
} from "./policy_simulation.ts";
import {
  percentile,
  type SimulationFigures,
  timesToFirstToken,
  toFigures,
} from "./policy_figures.ts";
import { meanPromptTokens } from "./policy_workload.ts";

/// Placement and admission under load and faults, compared with common
/// placement policies under the same arrivals.

const SEED = 1;
const LOADS = [0.5, 0.7, 0.85, 0.95, 1.3];
const TARGET_LOAD = 0.85;
const HIGH_LOAD = 0.95;
const OVERLOAD = 1.3;
const MAXIMUM_FIRST_TOKEN_MILLISECONDS = 810;
const MAXIMUM_SLOWDOWN_RATIO = 1.2;
const MAXIMUM_TOKEN_GAP_MILLISECONDS = 26;
const MINIMUM_OVERLOAD_GOODPUT_RATIO = 0.9;
const MAXIMUM_RECOVERY_MILLISECONDS = 10_000;
const RECOVERY_WINDOW_MILLISECONDS = 5_000;
const ENGINE_SLOWDOWN_FACTOR = 3;

const MUSCAT: Site = {
  name: "Muscat",
  engines: 20,
  entries: 9,
  dataCentres: ["muttrah", "seeb", "qurum"],
};
const THAR: Site = {
  name: "Thar",
  engines: 15,
  entries: 9,
  dataCentres: ["mithi", "umerkot", "chachro"],
};

interface Policy {
  readonly name: string;
  readonly entry: Partial<EntryOptions>;
}

/// Mechanisms other than placement, which the baselines run without.
const NON_PLACEMENT_MECHANISMS: readonly Mechanism[] = [
  "announcements",
  "lengthPriority",
  "queues",
  "feasibility",
  "cacheView",
];

const FULL_POLICY: Policy = { name: "sequoiaturn", entry: {} };
const BASELINE_PLACEMENTS: readonly Policy[] = [
  {
    name: "random",
    entry: { createPlacement: (random) => new RandomPlacement(random) },
  },
  {
    name: "round robin",
    entry: { createPlacement: (random) => new RoundRobinPlacement(random) },
  },
  {
    name: "least requests",
    entry: { createPlacement: () => new LeastRequestsPlacement() },
  },
  {
    name: "power of two choices",
    entry: { createPlacement: (random) => new TwoChoicesPlacement(random) },
  },
  {
    name: "least outstanding tokens",
    entry: { createPlacement: () => new LeastTokensPlacement() },
  },
  {
    name: "prefix affinity",
    entry: { createPlacement: () => new PrefixAffinityPlacement() },
  },
  {
    name: "static split",
    entry: { createPlacement: () => new StaticSplitPlacement() },
  },
];

const BASELINES: readonly Policy[] = BASELINE_PLACEMENTS.map((
  { name, entry },
) => ({
  name,
  entry: { ...entry, disabledMechanisms: NON_PLACEMENT_MECHANISMS },
}));

const firstEngine = (fleet: Fleet) => [...fleet.engines.values()][0]!;
const FAULTS: readonly Fault[] = [
  { name: "one engine failed", begin: (fleet) => firstEngine(fleet).crash() },
  {
    name: "one engine at a third of its speed",
    begin: (fleet) => firstEngine(fleet).setSlowdown(ENGINE_SLOWDOWN_FACTOR),
  },
  { name: "one entry failed", begin: (fleet) => fleet.kill("vm-2") },
];

interface PolicyRow {
  readonly labels: readonly string[];
  readonly figures: SimulationFigures;
  readonly result: SimulationResult;
}

const COLUMNS = [
  "≤ 4k p50",
  "p95",
  "p99",
  "4k–100k p50",
  "p95",
  "p99",
  "> 100k p50",
  "p95",
  "long in time",
  "goodput tokens/s",
  "refused early",
  "failed late",
  "fairness",
  "token gap p95",
  "requests",
];

const formatInteger = (value: number) =>
  Number.isFinite(value) ? value.toFixed(0) : "none";

function formatRow({ labels, figures }: PolicyRow) {
  const { short, medium, long } = figures.firstToken;
  const times = [
    short.p50,
    short.p95,
    short.p99,
    medium.p50,
    medium.p95,
    medium.p99,
    long.p50,
    long.p95,
  ];
  return [
    ...labels,
    ...times.map(formatInteger),
    `${figures.longInTime}/${figures.longAdmitted}`,
    formatInteger(figures.goodput),
    figures.refused,
    figures.failed,
    figures.fairness.toFixed(3),
    figures.tokenGapP95.toFixed(1),
    figures.requests,
  ];
}

async function measureRow(
  labels: readonly string[],
  options: Omit<SimulationOptions, "seed">,
): Promise<PolicyRow> {
  const result = await simulatePolicy({ seed: SEED, ...options });
  return { labels, figures: toFigures(result), result };
}

function toTable(
  title: string,
  labels: readonly string[],
  rows: readonly PolicyRow[],
): ResultTable {
  return { title, columns: [...labels, ...COLUMNS], rows: rows.map(formatRow) };
}

async function measureLoads(): Promise<PolicyRow[]> {
  const rows: PolicyRow[] = [];
  for (const load of LOADS) {
    const label = load.toFixed(2);
    const { entry } = FULL_POLICY;
    rows.push(
      await measureRow([label, FULL_POLICY.name], {
        site: MUSCAT,
        load,
        entry,
      }),
    );
    if (load !== TARGET_LOAD && load !== OVERLOAD) continue;
    for (const { name, entry } of BASELINES) {
      rows.push(
        await measureRow([label, name], { site: MUSCAT, load, entry }),
      );
    }
  }
  return rows;
}

interface Slowdown {
  readonly name: string;
  readonly p50: number;
  readonly p95: number;
}

/// Times to first token of short prompts with long prompts in the workload,
/// divided by those without long prompts.
async function measureSlowdown(
  rows: readonly PolicyRow[],
): Promise<Slowdown[]> {
  const slowdowns: Slowdown[] = [];
  for (const { name, entry } of [FULL_POLICY, ...BASELINES]) {
    const load = TARGET_LOAD;
    const withLong = findRow(rows, load, name).figures.firstToken.short;
    const options = { site: MUSCAT, load, entry, excludesLongRequests: true };
    const shortOnly = await measureRow([], options);
    const withoutLong = shortOnly.figures.firstToken.short;
    slowdowns.push({
      name,
      p50: withLong.p50 / withoutLong.p50,
      p95: withLong.p95 / withoutLong.p95,
    });
  }
  return slowdowns;
}

function findRow(
  rows: readonly PolicyRow[],
  load: number,
  name: string,
): PolicyRow {
  return rows.find(({ labels }) =>
    labels[0] === load.toFixed(2) && labels[1] === name
  )!;
}

async function measureFaults(): Promise<PolicyRow[]> {
  const options = { site: MUSCAT, load: TARGET_LOAD, entry: FULL_POLICY.entry };
  const rows: PolicyRow[] = [];
  for (const seconds of [0.1, 5]) {
    const reportLagMilliseconds = seconds * 1_000;
    const label = `report lag ${seconds} s`;
    rows.push(
      await measureRow([label], { ...options, reportLagMilliseconds }),
    );
  }
  for (const fault of FAULTS) {
    rows.push(await measureRow([fault.name], { ...options, fault }));
  }
  const cacheEventLoss = { ...options, lostCacheEventInterval: 5 };
  rows.push(await measureRow(["one cache event in five lost"], cacheEventLoss));
  return rows;
}

async function measureObjectives(): Promise<PolicyRow[]> {
  const rows: PolicyRow[] = [];
  for (const objective of ["slowdown", "timeToFirstToken"] as const) {
    const { entry } = FULL_POLICY;
    const options = { site: THAR, load: TARGET_LOAD, entry, objective };
    rows.push(await measureRow([THAR.name, objective], options));
  }
  return rows;
}

interface Ablation {
  readonly name: string;
  readonly entry: Partial<EntryOptions>;
}

const ABLATIONS: readonly Ablation[] = [
  { name: "all mechanisms enabled", entry: {} },
  ...NON_PLACEMENT_MECHANISMS.map((mechanism) => ({
    name: `no ${mechanism}`,
    entry: { disabledMechanisms: [mechanism] },
  })),
  ...BASELINE_PLACEMENTS
    .filter(({ name }) => name === "power of two choices" || name === "random")
    .map(({ name, entry }) => ({ name: `${name} as the placement`, entry })),
];

/// Disables one mechanism at a time under conditions in which it should make a
/// difference.
async function measureAblations(): Promise<PolicyRow[]> {
  const rows: PolicyRow[] = [];
  const slow = FAULTS[1]!;
  for (const { name, entry } of ABLATIONS) {
    const options = { site: MUSCAT, entry };
    const measure = async (
      label: string,
      extra: { load: number; fault?: Fault },
    ) => rows.push(await measureRow([label, name], { ...options, ...extra }));
    await measure("0.85", { load: TARGET_LOAD });
    await measure("1.30", { load: OVERLOAD });
    await measure(`0.85, ${slow.name}`, {
      load: TARGET_LOAD,
      fault: slow,
    });
  }
  return rows;
}

/// Returns the p95 time to first token of short prompts that arrive in the
/// window after the allowed recovery time since the fault.
function p95AfterRecovery({ result }: PolicyRow): number {
  const from = ARRIVAL_PERIOD_MILLISECONDS / 2 + MAXIMUM_RECOVERY_MILLISECONDS;
  const inWindow = result.outcomes.filter(({ arrival }) =>
    arrival.at >= from && arrival.at < from + RECOVERY_WINDOW_MILLISECONDS
  );
  return percentile(timesToFirstToken(inWindow, "short"), 0.95);
}

function checkTargets(
  rows: readonly PolicyRow[],
  slowdowns: readonly Slowdown[],
  faults: readonly PolicyRow[],
) {
  const { figures } = findRow(rows, TARGET_LOAD, FULL_POLICY.name);
  const [fullPolicySlowdown, ...others] = slowdowns;
  const bestBaseline = others.reduce((left, right) =>
    right.p95 < left.p95 ? right : left
  );
  const goodputRatio =
    findRow(rows, OVERLOAD, FULL_POLICY.name).figures.goodput /
    findRow(rows, HIGH_LOAD, FULL_POLICY.name).figures.goodput;
  const engineFailure = faults.find(({ labels }) =>
    labels[0] === FAULTS[0]!.name
  )!;
  const recoveryP95 = p95AfterRecovery(engineFailure);
  const shortP95 = figures.firstToken.short.p95;
  const fullPolicyRows = [
    ...rows.filter(({ labels }) => labels[1] === FULL_POLICY.name),
  ];
  const missedDeadlines = fullPolicyRows.reduce(
    (total, row) => total + row.figures.longAdmitted - row.figures.longInTime,
    0,
  );
  return [
    {
      name: "TTFT p95 of prompts ≤ 4k tokens at 0.85 load, 1 s lag",
      target: `≤ ${MAXIMUM_FIRST_TOKEN_MILLISECONDS} ms`,
      measured: `${formatInteger(shortP95)} ms`,
      met: shortP95 <= MAXIMUM_FIRST_TOKEN_MILLISECONDS,
    },
    {
      name: `slowdown of short at p95 (best baseline: ${bestBaseline.name} ` +
        `${bestBaseline.p95.toFixed(2)})`,
      target: `≤ ${MAXIMUM_SLOWDOWN_RATIO}`,
      measured: fullPolicySlowdown!.p95.toFixed(2),
      met: fullPolicySlowdown!.p95 <= MAXIMUM_SLOWDOWN_RATIO,
    },
    {
      name: "time between tokens, p95 at 0.85 load",
      target: `≤ ${MAXIMUM_TOKEN_GAP_MILLISECONDS} ms`,
      measured: `${figures.tokenGapP95.toFixed(1)} ms`,
      met: figures.tokenGapP95 <= MAXIMUM_TOKEN_GAP_MILLISECONDS,
    },
    {
      name: "admitted long requests past their deadline, all loads",
      target: "0",
      measured: String(missedDeadlines),
      met: missedDeadlines === 0,
    },
    {
      name: "goodput at 1.3 load over that at 0.95",
      target: `≥ ${MINIMUM_OVERLOAD_GOODPUT_RATIO}`,
      measured: goodputRatio.toFixed(2),
      met: goodputRatio >= MINIMUM_OVERLOAD_GOODPUT_RATIO,
    },
    {
      name: "TTFT p95 of short arrivals 10 to 15 s after an engine fails",
      target: `≤ ${MAXIMUM_FIRST_TOKEN_MILLISECONDS} ms`,
      measured: `${formatInteger(recoveryP95)} ms`,
      met: recoveryP95 <= MAXIMUM_FIRST_TOKEN_MILLISECONDS,
    },
  ];
}

function summarize(): string {
  const rate = ENGINE_PREFILL_TOKENS_PER_SECOND.toFixed(0);
  const mean = meanPromptTokens(ENGINE_OPTIONS.memoryTokens).toFixed(0);
  return `Times in milliseconds. Load 1 is the rate at which every engine ` +
    `prefills without idle time: ${rate} prompt tokens a second each, from the ` +
    `model's own full step, prefix cache hits not subtracted. Mean prompt ${mean} ` +
    `tokens, one in fifty over 100k, the longest 2.2 engine memories. ` +
    `Arrivals over ${
      ARRIVAL_PERIOD_MILLISECONDS / 1_000
    } s, open loop, bursts of ` +
    `twice the rate for 2 s in 10 s; the first 10 s are not counted. Seed ` +
    `${SEED}. All requests end before a simulation ends.`;
}

/// Runs every simulation, one after another.
export async function measurePolicy(): Promise<MeasurementResult> {
  const rows = await measureLoads();
  const slowdowns = await measureSlowdown(rows);
  const faults = await measureFaults();
  const ablations = await measureAblations();
  const objectives = await measureObjectives();
  return {
    name: "policy",
    summary: summarize(),
    seed: SEED,
    tables: [
      toTable("Muscat by load, report lag 1 s", ["load", "policy"], rows),
      {
        title: "Slowdown of prompts ≤ 4k tokens at 0.85 load",
        columns: ["policy", "p50", "p95"],
        rows: slowdowns.map(({ name, p50, p95 }) => [
          name,
          p50.toFixed(2),
          p95.toFixed(2),
        ]),
      },
      toTable("Muscat at 0.85 load with a fault at half time", [
        "fault",
      ], faults),
      toTable("Muscat with one mechanism disabled at a time", [
        "load",
        "left out",
      ], ablations),
      toTable("Objective of the sheet at 0.85 load", [
        "site",
        "objective",
      ], objectives),
    ],
    targets: checkTargets(rows, slowdowns, faults),
  };
}
