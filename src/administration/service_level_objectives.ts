import type { RequestEnd } from "../requests/request_registry.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { EngineDirectory } from "../upstreams/engine_directory.ts";

/// The service-level objectives and how an ended request counts for each.

export interface ServiceLevelObjective {
  readonly name: string;
  readonly description: string;
  /// Share of requests that have to be good.
  readonly target: number;
  /// Whether the request was good, or undefined if it doesn't count.
  readonly judge: (end: RequestEnd) => boolean | undefined;
}

const SHORT_FIRST_TOKEN_MILLISECONDS = 810;
const LONG_FIRST_TOKEN_MILLISECONDS = 60_000;
/// Slowdown of a short request that still counts as good.
const ALLOWED_SLOWDOWN = 2;
/// Part of the time to first token that no load causes.
const FIXED_MILLISECONDS = 50;
const FIRST_TOKEN_TARGET = 0.95;
const COMPLETION_TARGET = 0.999;

/// Time from arrival to first token. Undefined for requests that don't count:
/// refused ones and those whose caller went away.
function firstTokenOf(
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

function judgeFirstToken(isLong: boolean, limit: Milliseconds) {
  return (end: RequestEnd): boolean | undefined => {
    if (end.record.isLong !== isLong) return undefined;
    const firstToken = firstTokenOf(end);
    return firstToken === undefined ? undefined : firstToken <= limit;
  };
}

/// Compares the time to first token with that of an idle engine.
function judgeSlowdown(engines: Pick<EngineDirectory, "find">) {
  return (end: RequestEnd): boolean | undefined => {
    const { record } = end;
    const firstToken = firstTokenOf(end);
    if (record.isLong || firstToken === undefined) return undefined;
    const report = engines.find(record.upstream)?.report;
    if (!report) return undefined;
    const prefill = 1_000 * record.promptTokens / report.prefillTokensPerSecond;
    return firstToken <= ALLOWED_SLOWDOWN * (prefill + FIXED_MILLISECONDS);
  };
}

function judgeCompletion({ record, error }: RequestEnd): boolean | undefined {
  if (record.state === "notRun" || error?.code === "caller_gone") {
    return undefined;
  }
  return record.state === "finished";
}

export function createServiceLevelObjectives(
  engines: Pick<EngineDirectory, "find">,
): readonly ServiceLevelObjective[] {
  return [
    {
      name: "firstTokenShort",
      description: "Short prompts: first token within 0.81 s",
      target: FIRST_TOKEN_TARGET,
      judge: judgeFirstToken(false, SHORT_FIRST_TOKEN_MILLISECONDS),
    },
    {
      name: "firstTokenLong",
      description: "Long prompts: first token within 60 s",
      target: FIRST_TOKEN_TARGET,
      judge: judgeFirstToken(true, LONG_FIRST_TOKEN_MILLISECONDS),
    },
    {
      name: "slowdownShort",
      description: "Short prompts: at most twice as slow as on an idle engine",
      target: FIRST_TOKEN_TARGET,
      judge: judgeSlowdown(engines),
    },
    {
      name: "completion",
      description: "Admitted requests: finished within their deadline",
      target: COMPLETION_TARGET,
      judge: judgeCompletion,
    },
  ];
}
