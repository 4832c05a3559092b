import { raceAbort } from "../support/abort.ts";
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
  type RunState,
} from "./completion_attempt.ts";
import { createEngineChoice } from "./engine_selector.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import type { Quarantine, WatchedAttempt } from "./quarantine.ts";
import { RequestError, toRequestError } from "./request_error.ts";
import type { StreamPlacement } from "./stream_ledger.ts";
import type { ResumableRun, ResumableStreams } from "./resumable_stream.ts";
import { createRetryBudget } from "./retry_budget.ts";
import { isAnswering } from "./idle_timeout.ts";

/// Runs one admitted completion: places it and retries where that is safe.

export interface CompletionRunnerOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
  readonly placement: PlacementPolicy;
  readonly quarantine: Quarantine;
  readonly resumables: ResumableStreams;
}

export interface CompletionRunner {
  /// Yields the answer in order, ending with a chunk that carries `end`.
  /// Throws `RequestError`.
  run(
    request: CompletionRequest,
    context: RunContext,
  ): AsyncIterable<EngineChunk>;
}

/// Times that one request is sent to engines, resumptions left out.
const MAXIMUM_TRIES = 4;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 50;

export function createCompletionRunner(
  options: CompletionRunnerOptions,
): CompletionRunner {
  const { clock, engines, quarantine } = options;
  const attempts = createAttemptRunner(options);
  const choice = createEngineChoice(options);
  const budget = createRetryBudget(clock);

  const runOnEngine = async function* (
    engine: EngineView,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const { name } = engine.upstream;
    try {
      yield* attempts.runOnEngine(engine, runtime);
    } catch (error) {
      state.excluded.add(name);
      const refused = error instanceof EngineRefusedError;
      if (!context.signal.aborted && !refused) engines.recordFailure(name);
      throw error;
    }
  };

  /// Whether one of the engines that the request was on is gone. A lost
  /// connection alone says nothing about the engine.
  const hasDied = async (used: readonly EngineView[]) => {
    const answers = await Promise.all(
      used.map((engine) => isAnswering(engine.client, clock)),
    );
    return answers.includes(false);
  };

  /// Ends a failed try: the other VMs learn of a crash before any retry.
  const noteFailure = async (
    error: unknown,
    watched: WatchedAttempt,
    used: readonly EngineView[],
  ) => {
    const lost = error instanceof EngineLostError;
    if (lost && await hasDied(used)) await watched.crashed();
    watched.stop();
  };

  /// Goes on with the stream of an earlier try of the same key.
  async function* takeOver(
    { engine: name, streamId }: StreamPlacement,
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { state, context } = runtime;
    const engine = engines.find(name);
    if (!engine) throw new EngineLostError(`${name} is out of use`);
    context.open.update({ state: "sent", upstream: name });
    yield* attempts.resumeStream(engine, streamId, runtime);
    state.resumable?.finished();
  }

  async function* attemptOnce(
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { request, state, context } = runtime;
    const { signal } = context;
    const watched = await quarantine.admit(request.fingerprint, signal);
    let used: readonly EngineView[] = [];
    try {
      const chosen = await choice.choose(runtime, watched);
      used = chosen.engines;
      const [engine] = used;
      const upstream = chosen.isWhole ? engine!.upstream.name : "several";
      context.open.update({ state: "sent", attempt: state.attempt, upstream });
      if (chosen.isWhole) yield* runOnEngine(engine!, runtime);
      else yield* attempts.runOverSpans(used, runtime);
      watched.completed();
      state.resumable?.finished();
    } catch (error) {
      if (!signal.aborted) {
        await raceAbort(noteFailure(error, watched, used), signal);
      }
      throw error;
    } finally {
      watched.stop();
    }
  }

  const mayRetry = (error: unknown, state: RunState, tries: number) =>
    state.offset === 0 && tries < MAXIMUM_TRIES && isEngineError(error) &&
    budget.take();

  const startState = (
    { resumePoint: by }: CompletionRequest,
    context: RunContext,
    resumable: ResumableRun | undefined,
  ): RunState => {
    const offset = by?.offset ?? 0;
    const earlier = resumable?.earlierPlacement;
    if (offset > 0 && !earlier) {
      const detail = "There is no stream to resume";
      throw new RequestError("upstream_lost", { executed: "unknown", detail });
    }
    return {
      name: context.open.id,
      excluded: new Set(),
      attempt: resumable?.attemptBase ?? 0,
      offset,
      mayHaveRun: earlier !== undefined,
      resumable,
    };
  };

  return {
    async *run(request, context) {
      const claim = options.resumables.claim(request);
      const resumable = await raceAbort(claim, context.signal);
      const state = startState(request, context, resumable);
      budget.recordRequest();
      for (let tries = 1;; tries++) {
        state.attempt++;
        const runtime = { request, state, context };
        const earlier = tries === 1 ? resumable?.earlierPlacement : undefined;
        try {
          return yield* earlier
            ? takeOver(earlier, runtime)
            : attemptOnce(runtime);
        } catch (error) {
          const { aborted, reason } = context.signal;
          if (aborted) throw toFailure(reason, state);
          if (!mayRetry(error, state, tries)) throw toFailure(error, state);
          context.open.update({ state: "waiting" });
          const delay = clock.sleep(RETRY_DELAY_MILLISECONDS, context.signal);
          await delay.catch((given) => {
            throw toFailure(given, state);
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

/// The end of a request that failed. It was not executed if no engine can
/// have begun it.
function toFailure(error: unknown, state: RunState): RequestError {
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
