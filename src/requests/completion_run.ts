import { raceAbort } from "../support/abort.ts";
import { anyTrue } from "../support/any_true.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  type EngineChunk,
  EngineLostError,
  EngineNotReachedError,
  EngineRefusedError,
} from "../upstreams/engine_client.ts";
import type {
  EngineDirectory,
  EngineView,
} from "../upstreams/engine_directory.ts";
import type { EngineHoldings } from "../upstreams/engine_holdings.ts";
import type { PlacementPolicy } from "../upstreams/placement.ts";
import {
  type AttemptRuntime,
  createAttemptRunner,
  type RequestProgress,
} from "./completion_attempt.ts";
import type { UpstreamChecks } from "../upstreams/upstream_checks.ts";
import { createEngineSelector } from "./engine_selector.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import type { Quarantine, WatchedAttempt } from "./quarantine.ts";
import { RequestError, toRequestError } from "./request_error.ts";
import type { StreamPlacement } from "./stream_ledger.ts";
import type { ResumableRun, ResumableStreams } from "./resumable_stream.ts";
import { createRetryBudget } from "./retry_budget.ts";
import { isResponsive } from "./idle_timeout.ts";

/// Runs an admitted completion: selects the engines and retries failed
/// attempts. A retry is safe only until the caller has received a token.

export interface CompletionRunnerOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
  readonly placement: PlacementPolicy;
  readonly quarantine: Quarantine;
  readonly resumables: ResumableStreams;
  readonly upstreamChecks: UpstreamChecks;
}

export interface CompletionRunner {
  /// Yields the answer in order, ending with a chunk that carries `end`.
  /// Throws `RequestError`.
  run(
    request: CompletionRequest,
    context: RunContext,
  ): AsyncIterable<EngineChunk>;
}

/// Attempts of one request, not counting resumptions nor attempts that reached no
/// engine.
const MAXIMUM_ATTEMPTS = 4;
/// Time for which a request tries engines that aren't reached. A sound engine may
/// not be reached for a few seconds, and what isn't reached has no work from it.
const UNREACHED_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 50;

export function createCompletionRunner(
  options: CompletionRunnerOptions,
): CompletionRunner {
  const { clock, engines, quarantine, upstreamChecks } = options;
  const attemptRunner = createAttemptRunner(options);
  const selector = createEngineSelector(options);
  const retryBudget = createRetryBudget(clock);

  const runOnEngine = async function* (
    engine: EngineView,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const { name } = engine.upstream;
    try {
      yield* attemptRunner.runOnEngine(engine, runtime);
    } catch (error) {
      state.excludedEngines.add(name);
      const refused = error instanceof EngineRefusedError;
      if (!context.signal.aborted && !refused) engines.recordFailure(name);
      throw error;
    }
  };

  /// Returns an engine that the attempt used and that has failed, if any. A lost
  /// connection alone doesn't show that, so the engines are probed, also by other
  /// VMs.
  const findFailedEngine = async (used: readonly EngineView[]) => {
    const answers = await Promise.all(
      used.map(({ client, upstream }) =>
        anyTrue([
          isResponsive(client, clock),
          upstreamChecks.isReachedByOthers(upstream.name),
        ])
      ),
    );
    return used[answers.indexOf(false)];
  };

  /// Ends a failed attempt. A crash is reported to the other VMs before any
  /// retry.
  const endFailedAttempt = async (
    error: unknown,
    watchedAttempt: WatchedAttempt,
    used: readonly EngineView[],
  ) => {
    const failed = error instanceof EngineLostError
      ? await findFailedEngine(used)
      : undefined;
    if (failed) await watchedAttempt.crashed(failed.upstream.name);
    watchedAttempt.stop();
  };

  /// Resumes the stream of an earlier attempt with the same key.
  async function* resumeEarlierStream(
    { engine: name, streamId }: StreamPlacement,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const engine = engines.find(name);
    if (!engine) throw new EngineLostError(`${name} is not in use`);
    context.open.update({ state: "sent", upstream: name });
    yield* attemptRunner.resumeStream(engine, streamId, runtime);
    state.resumable?.finished();
  }

  async function* attemptOnce(
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { request, state, context } = runtime;
    const { signal } = context;
    const { fingerprint, prompt } = request;
    const suspects = { fingerprint, parts: prompt.blocks };
    const watchedAttempt = await quarantine.admit(suspects, signal);
    let used: readonly EngineView[] = [];
    try {
      const chosen = await selector.choose(runtime, watchedAttempt);
      used = chosen.engines;
      const [engine] = used;
      const upstream = chosen.fitsOneEngine ? engine!.upstream.name : "several";
      context.open.update({ state: "sent", attempt: state.attempt, upstream });
      if (chosen.fitsOneEngine) yield* runOnEngine(engine!, runtime);
      else yield* attemptRunner.runOverSpans(runtime);
      watchedAttempt.completed();
      state.resumable?.finished();
    } catch (error) {
      if (!signal.aborted) {
        await raceAbort(endFailedAttempt(error, watchedAttempt, used), signal);
      }
      throw error;
    } finally {
      watchedAttempt.stop();
    }
  }

  const createRuntime = (
    run: Omit<AttemptRuntime, "takeRetry">,
    attempts: number,
  ): AttemptRuntime => {
    let taken = false;
    return {
      ...run,
      takeRetry: () =>
        taken ||= attempts < MAXIMUM_ATTEMPTS && retryBudget.take(),
    };
  };

  const createProgress = (
    { resumePoint }: CompletionRequest,
    context: RunContext,
    resumable: ResumableRun | undefined,
  ): RequestProgress => {
    const offset = resumePoint?.offset ?? 0;
    const earlierPlacement = resumable?.earlierPlacement;
    if (offset > 0 && !earlierPlacement) {
      const detail = "There is no stream to resume";
      throw new RequestError("upstream_lost", { executed: "unknown", detail });
    }
    return {
      requestId: context.open.id,
      excludedEngines: new Set(),
      attempt: resumable?.attemptBase ?? 0,
      offset,
      mayHaveRun: earlierPlacement !== undefined,
      resumable,
    };
  };

  return {
    async *run(request, context) {
      const claim = options.resumables.claim(request, context.signal);
      const resumable = await raceAbort(claim, context.signal);
      const state = createProgress(request, context, resumable);
      retryBudget.recordRequest();
      let { earlierPlacement } = resumable ?? {};
      let unreachedSince: Milliseconds | undefined;
      let attempts = 1;
      while (true) {
        state.attempt++;
        const runtime = createRuntime({ request, state, context }, attempts);
        try {
          return yield* earlierPlacement
            ? resumeEarlierStream(earlierPlacement, runtime)
            : attemptOnce(runtime);
        } catch (error) {
          const { aborted, reason } = context.signal;
          if (aborted) throw toFailure(reason, state);
          earlierPlacement = undefined;
          const isUnreached = error instanceof EngineNotReachedError;
          unreachedSince = isUnreached
            ? unreachedSince ?? clock.now()
            : undefined;
          if (!isUnreached) attempts++;
          const mayRetry = state.offset === 0 && isEngineError(error) &&
            (unreachedSince === undefined
              ? runtime.takeRetry()
              : clock.now() - unreachedSince < UNREACHED_TIMEOUT_MILLISECONDS);
          if (!mayRetry) throw toFailure(error, state);
          context.open.update({ state: "waiting" });
          const delay = clock.sleep(RETRY_DELAY_MILLISECONDS, context.signal);
          await delay.catch((failure) => {
            throw toFailure(failure, state);
          });
        }
      }
    },
  };
}

function isEngineError(error: unknown): boolean {
  return error instanceof EngineLostError ||
    error instanceof EngineNotReachedError ||
    error instanceof EngineRefusedError;
}

/// Converts the error of a failed request. The request was not executed if no
/// engine can have started it.
function toFailure(
  error: unknown,
  state: RequestProgress,
): RequestError {
  const executed = state.mayHaveRun ? "unknown" : "no";
  if (isEngineError(error)) {
    return new RequestError("upstream_lost", { executed, cause: error });
  }
  const failure = toRequestError(error);
  if (failure.code === "internal") return failure;
  const { code, message: detail, retryAfterSeconds } = failure;
  return new RequestError(code, {
    executed,
    detail,
    retryAfterSeconds,
    cause: failure,
  });
}
