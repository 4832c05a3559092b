import type { RequestEnd } from "../requests/request_registry.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { EngineDirectory } from "../upstreams/engine_directory.ts";

/// The service-level objectives, and how an ended request is evaluated for
/// each.

/// A target for the share of requests that are good by one criterion.
export interface ServiceLevelObjective {
  readonly name: string;
  readonly description: string;
  /// Minimum share of good requests.
  readonly target: number;
  /// Whether the request was good, or undefined if it doesn't count.
  readonly evaluate: (end: RequestEnd) => boolean | undefined;
}

const MAXIMUM_SHORT_PROMPT_FIRST_TOKEN_MILLISECONDS = 810;
const MAXIMUM_LONG_PROMPT_FIRST_TOKEN_MILLISECONDS = 60_000;
/// Highest slowdown, relative to an idle engine, at which a short request
/// counts as good.
const MAXIMUM_SLOWDOWN_RATIO = 2;
/// Part of the time to first token, besides the prefill, that is independent of
/// load.
const FIXED_LATENCY_MILLISECONDS = 50;
const FIRST_TOKEN_TARGET_RATIO = 0.95;
const COMPLETION_TARGET_RATIO = 0.999;

/// Time from arrival to first token, infinite if there was none. Undefined for
/// requests that don't count: service calls, refused requests and requests
/// whose caller disconnected before the first token.
function firstTokenLatencyOf(
  { record, error }: RequestEnd,
): Milliseconds | undefined {
  if (record.kind !== "completion" || record.state === "notRun") {
    return undefined;
  }
  if (record.firstTokenAt !== undefined) {
    return record.firstTokenAt - record.receivedAt;
  }
  return error?.code === "caller_gone" ? undefined : Infinity;
}

function createFirstTokenEvaluator(isLong: boolean, limit: Milliseconds) {
  return (end: RequestEnd): boolean | undefined => {
    if (end.record.isLong !== isLong) return undefined;
    const latency = firstTokenLatencyOf(end);
    return latency === undefined ? undefined : latency <= limit;
  };
}

/// Compares the time to first token with an estimate for an idle engine, from
/// the prefill rate that the request's engine reports. Requests at an engine
/// without a report don't count.
function createSlowdownEvaluator(engines: Pick<EngineDirectory, "find">) {
  return (end: RequestEnd): boolean | undefined => {
    const { record } = end;
    const latency = firstTokenLatencyOf(end);
    if (record.isLong || latency === undefined) return undefined;
    const report = engines.find(record.upstream)?.report;
    if (!report) return undefined;
    const prefillMilliseconds = 1_000 * record.promptTokens /
      report.prefillTokensPerSecond;
    return latency <=
      MAXIMUM_SLOWDOWN_RATIO *
        (prefillMilliseconds + FIXED_LATENCY_MILLISECONDS);
  };
}

/// Whether an admitted request finished. Other requests and those whose caller
/// disconnected don't count.
function evaluateCompletion(
  { record, error }: RequestEnd,
): boolean | undefined {
  if (record.state === "notRun" || error?.code === "caller_gone") {
    return undefined;
  }
  return record.state === "finished";
}

/// Returns the objectives. `engines` provides the prefill rates from which the
/// slowdown is estimated.
export function createServiceLevelObjectives(
  engines: Pick<EngineDirectory, "find">,
): readonly ServiceLevelObjective[] {
  return [
    {
      name: "firstTokenShort",
      description: "Short prompts: first token within 0.81 s",
      target: FIRST_TOKEN_TARGET_RATIO,
      evaluate: createFirstTokenEvaluator(
        false,
        MAXIMUM_SHORT_PROMPT_FIRST_TOKEN_MILLISECONDS,
      ),
    },
    {
      name: "firstTokenLong",
      description: "Long prompts: first token within 60 s",
      target: FIRST_TOKEN_TARGET_RATIO,
      evaluate: createFirstTokenEvaluator(
        true,
        MAXIMUM_LONG_PROMPT_FIRST_TOKEN_MILLISECONDS,
      ),
    },
    {
      name: "slowdownShort",
      description: "Short prompts: at most twice as slow as on an idle engine",
      target: FIRST_TOKEN_TARGET_RATIO,
      evaluate: createSlowdownEvaluator(engines),
    },
    {
      name: "completion",
      description: "Admitted requests: finished within their deadline",
      target: COMPLETION_TARGET_RATIO,
      evaluate: evaluateCompletion,
    },
  ];
}
