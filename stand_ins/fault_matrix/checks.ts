import type { RowRun } from "./row.ts";

/// What must hold after every row, read from the stand-ins' own counters.

type Check = (run: RowRun) => string | undefined;

/// Times a caller was cut off by the death of its entry, without being told
/// anything.
function tellsNothing(run: RowRun, vm: string): boolean {
  return run.killed.has(vm);
}

const everyRequestEnded: Check = ({ pending, plan, killed }) => {
  const dead = killed.size;
  return pending > dead
    ? `${pending} submissions of ${plan.scenario.name} never ended`
    : undefined;
};

const runsAtMostOnce: Check = ({ fleet, key }) => {
  const runs = fleet.services.get("desk")!.executionCount(key);
  return runs > 1 ? `the action ran ${runs} times` : undefined;
};

const notRunIsTrue: Check = (run) => {
  const { fleet, key, submissions, pending, plan, enginesStarted } = run;
  const told = submissions.filter(({ vm }) => !tellsNothing(run, vm));
  const allNotRun = told.length > 0 && told.length === submissions.length &&
    pending === 0 && told.every(({ error }) => error?.executed === "no");
  if (!allNotRun) return undefined;
  const runs = plan.scenario.usesEngines
    ? enginesStarted
    : fleet.services.get("desk")!.executionCount(key);
  return runs > 0 ? `told "not run", and it ran ${runs} times` : undefined;
};

const finishedMeansRun: Check = ({ fleet, key, submissions, plan }) => {
  const finished = submissions.some((submission) => submission.finished);
  if (plan.scenario.usesEngines || !finished) return undefined;
  const runs = fleet.services.get("desk")!.executionCount(key);
  return runs === 1 ? undefined : `told finished, and it ran ${runs} times`;
};

const textBelongsToAnswer: Check = ({ submissions, plan }) => {
  const { expected, comesBack } = plan.scenario;
  if (expected === undefined) return undefined;
  for (const { text, finished } of submissions) {
    const part = comesBack
      ? expected.includes(text)
      : expected.startsWith(text);
    if (!part) return `a foreign text of ${text.length} characters`;
    if (finished && !expected.endsWith(text)) return "the answer was cut";
    if (finished && !comesBack && text !== expected) {
      return "a finished answer is not whole";
    }
  }
  return undefined;
};

const engineMemoryIsFree: Check = ({ fleet }) => {
  const held = fleet.heldTokens();
  return held > 0 ? `${held} tokens stay held` : undefined;
};

const noStreamRuns: Check = ({ fleet }) => {
  for (const engine of fleet.engines.values()) {
    if (engine.runningStreams() > 0) return `a stream runs on ${engine.name}`;
  }
  return undefined;
};

const noRequestStaysOpen: Check = ({ fleet }) => {
  for (const [vm, entry] of fleet.entries) {
    const open = entry.registry.running().length;
    if (open > 0) return `${open} requests stay open at ${vm}`;
  }
  return undefined;
};

/// A planned stop alone cuts no request that had been admitted.
const drainCutsNothing: Check = ({ plan, submissions, reached }) => {
  const alone = plan.fault === "drain" && plan.secondFault === undefined;
  if (!alone || !reached || plan.step === "received") return undefined;
  const [first] = submissions;
  return first?.finished
    ? undefined
    : `a drain cut a request (${first?.error})`;
};

/// A keyed long request outlives its entry: its caller comes back elsewhere.
const survivesItsEntry: Check = (run) => {
  const { plan, submissions, reached } = run;
  const alone = plan.fault === "entryCrash" && plan.secondFault === undefined;
  if (!alone || !reached || !plan.scenario.comesBack) return undefined;
  return submissions.some((submission) => submission.finished)
    ? undefined
    : `lost with its entry (${submissions.at(-1)?.error})`;
};

/// Faults of which an idle engine elsewhere can make up before the first
/// token.
const RETRIABLE = new Set(["engineCrash", "connectionCut"]);
const BEFORE_FIRST_TOKEN = new Set([
  "received",
  "connected",
  "bodyPartlySent",
  "bodySent",
]);

const retriesBeforeFirstToken: Check = ({ plan, submissions, reached }) => {
  const alone = RETRIABLE.has(plan.fault) && plan.secondFault === undefined;
  const early = BEFORE_FIRST_TOKEN.has(plan.step);
  const { usesEngines, expected } = plan.scenario;
  if (!alone || !reached || !early || !usesEngines || !expected) {
    return undefined;
  }
  return submissions.some((submission) => submission.finished)
    ? undefined
    : `not retried (${submissions.at(-1)?.error})`;
};

const laterRequestsFinish: Check = ({ probe }) =>
  probe?.finished ? undefined : `a later request ended with ${probe?.error}`;

const CHECKS: readonly Check[] = [
  everyRequestEnded,
  runsAtMostOnce,
  notRunIsTrue,
  finishedMeansRun,
  textBelongsToAnswer,
  engineMemoryIsFree,
  noStreamRuns,
  noRequestStaysOpen,
  drainCutsNothing,
  survivesItsEntry,
  retriesBeforeFirstToken,
  laterRequestsFinish,
];

/// The invariants that the row broke.
export function checkRow(run: RowRun): string[] {
  return CHECKS.map((check) => check(run)).filter((text) => text !== undefined);
}
