import { createKey } from "../../src/requests/idempotency_key.ts";
import { EngineLostError } from "../../src/upstreams/engine_client.ts";
import { ServiceLostError } from "../../src/upstreams/service_client.ts";
import { type Fleet, startFleet } from "../fleet.ts";
import type { FleetEvent, FleetObserver } from "../vm_clients.ts";
import { sampleSheet } from "../sample_sheet.ts";
import { checkRow } from "./checks.ts";
import { FAULTS, type FaultTarget } from "./faults.ts";
import {
  ENGINE_MEMORY_TOKENS,
  headersOf,
  LONG_PROMPT_TOKENS,
  type Scenario,
  type Submission,
} from "./scenarios.ts";
import { createStepFinder, type Step } from "./steps.ts";

/// Runs one row of the matrix: a request, a fault at one of its steps and
/// perhaps a second fault soon after.

export interface RowPlan {
  readonly scenario: Scenario;
  readonly step: Step;
  readonly fault: string;
  readonly secondFault: string | undefined;
  readonly seed: number;
}

/// A row that ran, with everything its checks look at.
export interface RowRun {
  readonly plan: RowPlan;
  readonly fleet: Fleet;
  readonly key: string;
  /// Whether the request came to the step, so that the fault was caused.
  readonly reached: boolean;
  readonly submissions: readonly Submission[];
  /// Submissions that had not ended when the row did.
  readonly pending: number;
  /// Entries whose death cut their callers off without a word.
  readonly killed: ReadonlySet<string>;
  /// A request that came after everything.
  readonly probe: Submission | undefined;
  readonly enginesStarted: number;
}

export interface RowVerdict {
  readonly plan: RowPlan;
  readonly reached: boolean;
  /// Invariants that did not hold, empty when all did.
  readonly violations: readonly string[];
}

const ENTRIES = 4;
const ENGINES = 4;
const SUBJECT_VM = "vm-1";
const OTHER_VM = "vm-2";
const CALLER_KEY = "caller-key";
const SECOND_FAULT_DELAY_MILLISECONDS = 40;
const SERVICE_MILLISECONDS = 60;
const COME_BACK_MILLISECONDS = 500;
/// Time for a request to run into its deadline and for everything to heal.
const RUN_MILLISECONDS = 90_000;
/// Calls of an upstream whose connection can be cut.
const CUT_CALLS = new Set([
  "complete",
  "resume",
  "prefillSpan",
  "reserve",
  "send",
]);
const COMPUTE = {
  memoryTokens: ENGINE_MEMORY_TOKENS,
  prefillTokensPerStep: 2_048,
  prefillMillisecondsPerToken: 0.01,
};

function matrixSheet() {
  const sheet = sampleSheet({ engines: ENGINES });
  const options = { ...sheet.options, longPromptTokens: LONG_PROMPT_TOKENS };
  return { ...sheet, options };
}

const startedStreams = (fleet: Fleet) =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters.started,
    0,
  );

/// Runs a row to its end and checks it.
export async function runRow(plan: RowPlan): Promise<RowVerdict> {
  let observer: FleetObserver = () => undefined;
  const fleet = await startFleet({
    sheet: matrixSheet(),
    entries: ENTRIES,
    seed: plan.seed,
    engine: COMPUTE,
    observe: (event) => observer(event),
  });
  const run = await play(plan, fleet, (next) => void (observer = next));
  const violations = checkRow(run);
  for (const vm of [...fleet.entries.keys()]) fleet.kill(vm);
  return { plan, reached: run.reached, violations };
}

async function play(
  plan: RowPlan,
  fleet: Fleet,
  observeWith: (observer: FleetObserver) => void,
): Promise<RowRun> {
  const { scenario } = plan;
  const { clock } = fleet;
  const key = createKey(clock.wallTime(), "0123456789abcdef0123");
  const caller = new AbortController();
  const findSteps = createStepFinder();
  const submissions: Submission[] = [];
  const killed = new Set<string>();
  const startedBefore = startedStreams(fleet);
  let pending = 0;
  let reached = false;
  let engine: string | undefined;
  let cutPending = false;

  const submit = async (vm: string, gone: AbortSignal, resumeOffset = 0) => {
    pending++;
    const headers = headersOf(scenario, { key, resumeOffset });
    const call = { vm, key: CALLER_KEY, headers, gone };
    const submission = await scenario.submit(fleet, call);
    pending--;
    submissions.push(submission);
    return submission;
  };

  /// A caller that keeps what it has and asks another entry for the rest.
  const submitAndComeBack = async () => {
    const first = await submit(SUBJECT_VM, caller.signal);
    reach("released");
    const left = first.finished || caller.signal.aborted;
    if (left || !scenario.comesBack) return;
    await clock.sleep(COME_BACK_MILLISECONDS);
    const offset = first.text.split(" ").length - 1;
    const second = await submit(OTHER_VM, new AbortController().signal, offset);
    submissions.push({ ...second, text: first.text + second.text });
  };

  const target: FaultTarget = {
    fleet,
    vm: SUBJECT_VM,
    get engine() {
      return engine;
    },
    cutConnection: () => void (cutPending = true),
    sendDuplicate: () => {
      const vm = fleet.entries.has(OTHER_VM) ? OTHER_VM : "vm-3";
      void submit(vm, new AbortController().signal);
    },
    caller,
  };

  const cause = (name: string) => {
    if (name === "entryCrash") killed.add(SUBJECT_VM);
    FAULTS[name]!(target);
  };

  const reach = (step: Step) => {
    if (step !== plan.step || reached) return;
    reached = true;
    cause(plan.fault);
    const { secondFault } = plan;
    if (!secondFault) return;
    clock.schedule(SECOND_FAULT_DELAY_MILLISECONDS, () => cause(secondFault));
  };

  observeWith((event: FleetEvent) => {
    const ofRequest = fleet.engines.has(event.target) ||
      fleet.services.has(event.target) || event.target === "store";
    if (!ofRequest) return undefined;
    if (event.call !== "load" && event.target !== "store") {
      engine = event.target;
    }
    for (const { step, delay } of findSteps(event)) {
      if (delay === 0) reach(step);
      else clock.schedule(delay, () => reach(step));
    }
    if (!cutPending || !CUT_CALLS.has(event.call)) return undefined;
    cutPending = false;
    return fleet.services.has(event.target)
      ? new ServiceLostError("the connection was cut")
      : new EngineLostError("the connection was cut");
  });

  fleet.services.get("desk")!.setDelay(SERVICE_MILLISECONDS);
  reach("received");
  const main = submitAndComeBack();
  main.catch(() => {});
  await clock.advance(RUN_MILLISECONDS);
  observeWith(() => undefined);
  const enginesStarted = startedStreams(fleet) - startedBefore;
  const probe = await sendProbe(fleet);
  return {
    plan,
    fleet,
    key,
    reached,
    submissions,
    pending,
    killed,
    probe,
    enginesStarted,
  };
}

/// A short request at another entry, after everything healed.
async function sendProbe(fleet: Fleet): Promise<Submission | undefined> {
  const call = { vm: OTHER_VM, key: CALLER_KEY };
  const body = { prompt: "probe ".repeat(100), maximumTokens: 4 };
  const answer = fleet.complete(call, body);
  let result: Submission | undefined;
  answer.then(({ text, end, error }) => {
    result = { vm: OTHER_VM, error, finished: end !== undefined, text };
  });
  await fleet.clock.advance(10_000);
  return result;
}
