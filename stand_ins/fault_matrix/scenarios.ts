import type { RequestError } from "../../src/requests/request_error.ts";
import type { CallerHeaders } from "../../src/requests/caller_headers.ts";
import { expectedAnswer } from "../engine_answer.ts";
import type { Fleet, FleetCall } from "../fleet.ts";
import type { Step } from "./steps.ts";

/// The requests of the matrix, one for each path through an entry.

/// Result of one submission, as its caller received it.
export interface Submission {
  readonly vm: string;
  readonly error: RequestError | undefined;
  /// Whether the caller received the answer to its end.
  readonly finished: boolean;
  /// Text that the caller received.
  readonly text: string;
}

export interface Scenario {
  readonly name: string;
  readonly steps: readonly Step[];
  /// Whether the callers send an idempotency key.
  readonly keyed: boolean;
  /// Whether the request starts streams at engines.
  readonly usesEngines: boolean;
  /// Whether the caller resumes the request at another entry if it breaks.
  readonly resumesElsewhere: boolean;
  /// Text of the complete answer, or undefined where it isn't fixed.
  readonly expected: string | undefined;
  submit(fleet: Fleet, call: FleetCall): Promise<Submission>;
}

/// Memory of each engine of the matrix, in tokens.
export const ENGINE_MEMORY_TOKENS = 10_000;
/// Prompts of at least this many tokens are long.
export const LONG_PROMPT_TOKENS = 4_000;
const ANSWER_TOKENS = 40;

interface CompletionScenario {
  readonly name: string;
  readonly promptTokens: number;
  readonly keyed: boolean;
  readonly steps: readonly Step[];
}

function completionScenario(options: CompletionScenario): Scenario {
  const { name, promptTokens, keyed, steps } = options;
  const prompt = `${name} `.padEnd(promptTokens * 4, "word");
  const usesSpans = promptTokens > ENGINE_MEMORY_TOKENS;
  return {
    name,
    steps,
    keyed,
    usesEngines: true,
    resumesElsewhere: keyed,
    expected: usesSpans ? undefined : expectedAnswer(prompt, ANSWER_TOKENS),
    async submit(fleet, call) {
      const body = { prompt, maximumTokens: ANSWER_TOKENS };
      const { text, end, error } = await fleet.complete(call, body);
      const finished = error === undefined && end !== undefined;
      return { vm: call.vm, error, finished, text };
    },
  };
}

const STREAM_STEPS: readonly Step[] = [
  "received",
  "connected",
  "bodyPartlySent",
  "bodySent",
  "firstToken",
  "midStream",
  "endMarker",
  "released",
];

export const SCENARIOS: readonly Scenario[] = [
  {
    name: "order",
    steps: [
      "received",
      "claimWritten",
      "claimConfirmed",
      "bodyPartlySent",
      "bodySent",
      "answered",
      "outcomeRecorded",
      "released",
    ],
    keyed: true,
    usesEngines: false,
    resumesElsewhere: false,
    expected: undefined,
    async submit(fleet, call) {
      const order = {
        service: "desk",
        method: "POST" as const,
        path: "/orders",
      };
      const { answer, error } = await fleet.callService(call, order);
      const text = answer?.body.toString() ?? "";
      return { vm: call.vm, error, finished: answer?.status === 200, text };
    },
  },
  completionScenario({
    name: "caption",
    promptTokens: 1_000,
    keyed: false,
    steps: STREAM_STEPS,
  }),
  completionScenario({
    name: "archive",
    promptTokens: 2.2 * ENGINE_MEMORY_TOKENS,
    keyed: false,
    steps: ["reserved", ...STREAM_STEPS],
  }),
  completionScenario({
    name: "catalogue",
    promptTokens: LONG_PROMPT_TOKENS,
    keyed: true,
    steps: ["claimWritten", ...STREAM_STEPS],
  }),
];

/// Headers with the idempotency key; none if the scenario has no key.
export function headersOf(
  scenario: Scenario,
  options: { key: string; resumeOffset?: number },
): Partial<CallerHeaders> {
  if (!scenario.keyed) return {};
  const { key, resumeOffset } = options;
  return { idempotencyKey: key, resumeOffset };
}
