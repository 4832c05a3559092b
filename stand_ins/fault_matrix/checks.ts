import type { RowRun } from "./row.ts";

/// Invariants that must hold after every row, checked against the stand-ins'
/// own counters.

type Check = (run: RowRun) => string | undefined;

/// Whether the entry was killed, so that its callers were disconnected without
/// a response.
function isKilledEntry(run: RowRun, vm: string): boolean {
  return run.killed.has(vm);
}

const everyRequestEnded: Check = ({ pending, plan, killed }) => {
  const killedCount = killed.size;
  return pending > killedCount
    ? `${pending} submissions of ${plan.scenario.name} never ended`
    : undefined;
};

const runsAtMostOnce: Check = ({ fleet, key }) => {
  const executions = fleet.services.get("desk")!.executionCount(key);
  return executions > 1 ? `the action ran ${executions} times` : undefined;
};

const notRunOutcomeIsTrue: Check = (run) => {
  const { fleet, key, submissions, pending, plan, startedStreamCount } = run;
  const answered = submissions.filter(({ vm }) => !isKilledEntry(run, vm));
  const allNotRun = answered.length > 0 &&
    answered.length === submissions.length &&
    pending === 0 && answered.every(({ error }) => error?.executed === "no");
  if (!allNotRun) return undefined;
  const executions = plan.scenario.usesEngines
    ? startedStreamCount
    : fleet.services.get("desk")!.executionCount(key);
  return executions > 0
    ? `reported as not run, but ran ${executions} times`
    : undefined;
};

const finishedOutcomeIsTrue: Check = ({ fleet, key, submissions, plan }) => {
  const finished = submissions.some((submission) => submission.finished);
  if (plan.scenario.usesEngines || !finished) return undefined;
  const executions = fleet.services.get("desk")!.executionCount(key);
  return executions === 1
    ? undefined
    : `reported as finished, but ran ${executions} times`;
};

const textMatchesAnswer: Check = ({ submissions, plan }) => {
  const { expected, resumesElsewhere } = plan.scenario;
  if (expected === undefined) return undefined;
  for (const { text, finished } of submissions) {
    const part = resumesElsewhere
      ? expected.includes(text)
      : expected.startsWith(text);
    if (!part) return `unexpected text of ${text.length} characters`;
    if (finished && !expected.endsWith(text)) return "the answer lacks its end";
    if (finished && !resumesElsewhere && text !== expected) {
      return "a finished answer is incomplete";
    }
  }
  return undefined;
};

const engineMemoryIsFree: Check = ({ fleet }) => {
  const held = fleet.heldTokens();
  return held > 0 ? `${held} tokens are still held` : undefined;
};

const noStreamRuns: Check = ({ fleet }) => {
  for (const engine of fleet.engines.values()) {
    if (engine.runningStreams() > 0) return `a stream runs on ${engine.name}`;
  }
  return undefined;
};

const noRequestIsOpen: Check = ({ fleet }) => {
  for (const [vm, entry] of fleet.entries) {
    const open = entry.registry.running().length;
    if (open > 0) return `${open} requests are still open at ${vm}`;
  }
  return undefined;
};

/// Without another fault, a drain interrupts no admitted request.
const drainInterruptsNothing: Check = ({ plan, submissions, reached }) => {
  const isAlone = plan.fault === "drain" && plan.secondFault === undefined;
  if (!isAlone || !reached || plan.step === "received") return undefined;
  const [first] = submissions;
  return first?.finished
    ? undefined
    : `a drain interrupted a request (${first?.error})`;
};

/// A long request with a key survives the crash of its entry: its caller resumes
/// it at another entry.
const survivesEntryCrash: Check = (run) => {
  const { plan, submissions, reached } = run;
  const isAlone = plan.fault === "entryCrash" &&
    plan.secondFault === undefined;
  if (!isAlone || !reached || !plan.scenario.resumesElsewhere) return undefined;
  return submissions.some((submission) => submission.finished)
    ? undefined
    : `failed with its entry (${submissions.at(-1)?.error})`;
};

/// Faults after which a retry at another, idle engine can still serve the
/// request, as long as no token has been sent.
const RETRIABLE = new Set(["engineCrash", "connectionCut"]);
const BEFORE_FIRST_TOKEN = new Set([
  "received",
  "connected",
  "bodyPartlySent",
  "bodySent",
]);

const retriesBeforeFirstToken: Check = ({ plan, submissions, reached }) => {
  const isAlone = RETRIABLE.has(plan.fault) &&
    plan.secondFault === undefined;
  const isBeforeFirstToken = BEFORE_FIRST_TOKEN.has(plan.step);
  const { usesEngines, expected } = plan.scenario;
  if (
    !isAlone || !reached || !isBeforeFirstToken || !usesEngines || !expected
  ) {
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
  notRunOutcomeIsTrue,
  finishedOutcomeIsTrue,
  textMatchesAnswer,
  engineMemoryIsFree,
  noStreamRuns,
  noRequestIsOpen,
  drainInterruptsNothing,
  survivesEntryCrash,
  retriesBeforeFirstToken,
  laterRequestsFinish,
];

/// Descriptions of the invariants that the row violated.
export function checkRow(run: RowRun): string[] {
  return CHECKS.map((check) => check(run)).filter((text) => text !== undefined);
}
