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

/// Runs one row of the matrix: a request, a fault at one of its steps and, in
/// rows with two faults, the second shortly after.

export interface RowPlan {
  readonly scenario: Scenario;
  readonly step: Step;
  readonly fault: string;
  readonly secondFault: string | undefined;
  readonly seed: number;
}

/// A completed row, with the state that its checks examine.
export interface RowRun {
  readonly plan: RowPlan;
  readonly fleet: Fleet;
  readonly key: string;
  /// Whether the request reached the step, so that the fault was injected.
  readonly reached: boolean;
  readonly submissions: readonly Submission[];
  /// Number of submissions that had not ended when the row did.
  readonly pending: number;
  /// Entries that were killed, so that their callers got no response.
  readonly killed: ReadonlySet<string>;
  /// A request that was sent after all faults had ended; undefined if it did not
  /// end.
  readonly probe: Submission | undefined;
  /// Number of streams that the row started at engines.
  readonly startedStreamCount: number;
}

export interface RowResult {
  readonly plan: RowPlan;
  readonly reached: boolean;
  /// Descriptions of the violated invariants; empty if all held.
  readonly violations: readonly string[];
}

const ENTRY_COUNT = 4;
const ENGINE_COUNT = 4;
const RECEIVING_VM = "vm-1";
const OTHER_VM = "vm-2";
const CALLER_KEY = "caller-key";
const SECOND_FAULT_DELAY_MILLISECONDS = 40;
const SERVICE_DELAY_MILLISECONDS = 60;
const RESUME_DELAY_MILLISECONDS = 500;
/// Time in which a request reaches its deadline and every fault ends.
const ROW_DURATION_MILLISECONDS = 90_000;
/// Calls to an upstream whose connection the fault connectionCut can cut.
const INTERRUPTIBLE_CALLS = new Set([
  "complete",
  "resume",
  "prefillSpan",
  "reserve",
  "send",
]);
const ENGINE_OPTIONS = {
  memoryTokens: ENGINE_MEMORY_TOKENS,
  prefillTokensPerStep: 2_048,
  prefillMillisecondsPerToken: 0.01,
};

function createMatrixSheet() {
  const sheet = sampleSheet({ engines: ENGINE_COUNT });
  const options = { ...sheet.options, longPromptTokens: LONG_PROMPT_TOKENS };
  return { ...sheet, options };
}

const startedStreams = (fleet: Fleet) =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters.started,
    0,
  );

/// Runs a row to its end and checks the invariants.
export async function runRow(plan: RowPlan): Promise<RowResult> {
  let observer: FleetObserver = () => undefined;
  const fleet = await startFleet({
    sheet: createMatrixSheet(),
    entries: ENTRY_COUNT,
    seed: plan.seed,
    engine: ENGINE_OPTIONS,
    observe: (event) => observer(event),
  });
  const run = await runPlan(plan, fleet, (next) => void (observer = next));
  const violations = checkRow(run);
  for (const vm of [...fleet.entries.keys()]) fleet.kill(vm);
  return { plan, reached: run.reached, violations };
}

async function runPlan(
  plan: RowPlan,
  fleet: Fleet,
  setObserver: (observer: FleetObserver) => void,
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

  const submit = async (
    vm: string,
    disconnectSignal: AbortSignal,
    resumeOffset = 0,
  ) => {
    pending++;
    const headers = headersOf(scenario, { key, resumeOffset });
    const call = { vm, key: CALLER_KEY, headers, disconnectSignal };
    const submission = await scenario.submit(fleet, call);
    pending--;
    submissions.push(submission);
    return submission;
  };

  /// Submits the request. If it breaks, keeps the received text and requests the
  /// rest from another entry.
  const submitAndResume = async () => {
    const first = await submit(RECEIVING_VM, caller.signal);
    reachStep("released");
    const isEnded = first.finished || caller.signal.aborted;
    if (isEnded || !scenario.resumesElsewhere) return;
    await clock.sleep(RESUME_DELAY_MILLISECONDS);
    const offset = first.text.split(" ").length - 1;
    const second = await submit(OTHER_VM, new AbortController().signal, offset);
    submissions.push({ ...second, text: first.text + second.text });
  };

  const target: FaultTarget = {
    fleet,
    vm: RECEIVING_VM,
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

  const injectFault = (name: string) => {
    if (name === "entryCrash") killed.add(RECEIVING_VM);
    FAULTS[name]!(target);
  };

  const reachStep = (step: Step) => {
    if (step !== plan.step || reached) return;
    reached = true;
    injectFault(plan.fault);
    const { secondFault } = plan;
    if (!secondFault) return;
    clock.schedule(
      SECOND_FAULT_DELAY_MILLISECONDS,
      () => injectFault(secondFault),
    );
  };

  setObserver((event: FleetEvent) => {
    const isRequestEvent = fleet.engines.has(event.target) ||
      fleet.services.has(event.target) || event.target === "store";
    if (!isRequestEvent) return undefined;
    if (event.call !== "load" && event.target !== "store") {
      engine = event.target;
    }
    for (const { step, delay } of findSteps(event)) {
      if (delay === 0) reachStep(step);
      else clock.schedule(delay, () => reachStep(step));
    }
    if (!cutPending || !INTERRUPTIBLE_CALLS.has(event.call)) return undefined;
    cutPending = false;
    return fleet.services.has(event.target)
      ? new ServiceLostError("the connection was cut")
      : new EngineLostError("the connection was cut");
  });

  fleet.services.get("desk")!.setDelay(SERVICE_DELAY_MILLISECONDS);
  reachStep("received");
  const submitted = submitAndResume();
  submitted.catch(() => {});
  await clock.advance(ROW_DURATION_MILLISECONDS);
  setObserver(() => undefined);
  const startedStreamCount = startedStreams(fleet) - startedBefore;
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
    startedStreamCount,
  };
}

/// Sends a short request to another entry, after all faults have ended.
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
