import type { Clock } from "../support/clock.ts";
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
  MAXIMUM_ATTEMPTS,
  type RunState,
} from "./completion_attempt.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import { RequestError, toRequestError } from "./request_error.ts";

/// Runs one admitted completion: places it and retries where that is safe.

export interface CompletionRunnerOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly holdings: EngineHoldings;
  readonly placement: PlacementPolicy;
}

export interface CompletionRunner {
  /// Yields the answer in order, ending with a chunk that carries `end`.
  /// Throws `RequestError`.
  run(
    request: CompletionRequest,
    context: RunContext,
  ): AsyncIterable<EngineChunk>;
}

const NO_ENGINE_RETRY_MILLISECONDS = 50;

export function createCompletionRunner(
  options: CompletionRunnerOptions,
): CompletionRunner {
  const { clock, engines, placement } = options;
  const attempts = createAttemptRunner(options);

  const hasRoom = (engine: EngineView, request: CompletionRequest) =>
    request.prompt.tokens + request.maximumTokens <=
      (engine.report?.memoryTokens ?? 0);

  const choose = ({ request, state }: AttemptRuntime) => {
    const usable = engines.enginesOf(request.model, request.version)
      .filter((engine) => engine.usable);
    const fresh = usable.filter((engine) =>
      !state.excluded.has(engine.upstream.name)
    );
    const candidates = fresh.length > 0 ? fresh : usable;
    const whole = candidates.filter((engine) => hasRoom(engine, request));
    return {
      usable,
      engine: placement.choose({ ...request, candidates: whole }),
    };
  };

  async function* attemptOnce(
    runtime: AttemptRuntime,
  ): AsyncIterable<EngineChunk> {
    const { request, state, context } = runtime;
    const { usable, engine } = choose(runtime);
    if (usable.length === 0) throw new RequestError("no_upstream");
    const largest = Math.max(
      ...usable.map((view) => view.report?.memoryTokens ?? 0),
    );
    const needed = request.prompt.tokens + request.maximumTokens;
    if (!engine && needed <= largest) throw new RequestError("no_upstream");
    const upstream = engine?.upstream.name ?? "several";
    context.open.update({ state: "sent", attempt: state.attempt, upstream });
    if (!engine) return yield* attempts.runOverSpans(usable, runtime);
    try {
      yield* attempts.runOnEngine(engine, runtime);
    } catch (error) {
      state.excluded.add(engine.upstream.name);
      const refused = error instanceof EngineRefusedError;
      if (!context.signal.aborted && !refused) {
        engines.recordFailure(engine.upstream.name);
      }
      throw error;
    }
  }

  const mayRetry = (error: unknown, state: RunState) => {
    if (state.offset > 0 || state.attempt >= MAXIMUM_ATTEMPTS) return false;
    return isEngineError(error) ||
      (error instanceof RequestError && error.code === "no_upstream");
  };

  const toFailure = (error: unknown, state: RunState) => {
    if (error instanceof RequestError) return error;
    if (!isEngineError(error)) return toRequestError(error);
    const executed = state.sent ? "unknown" : "no";
    return new RequestError("upstream_lost", { executed, cause: error });
  };

  return {
    async *run(request, context) {
      const state: RunState = {
        name: context.open.id,
        excluded: new Set(),
        attempt: 0,
        offset: 0,
        sent: false,
      };
      while (true) {
        state.attempt++;
        try {
          return yield* attemptOnce({ request, state, context });
        } catch (error) {
          if (context.signal.aborted) throw context.signal.reason;
          if (error instanceof EngineLostError) state.sent = true;
          if (!mayRetry(error, state)) throw toFailure(error, state);
          context.open.update({ state: "waiting" });
          await clock.sleep(NO_ENGINE_RETRY_MILLISECONDS, context.signal);
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
