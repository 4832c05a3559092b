import type { Clock, Milliseconds } from "../support/clock.ts";
import type {
  EngineDirectory,
  EngineView,
} from "../upstreams/engine_directory.ts";
import type { PlacementPolicy } from "../upstreams/placement.ts";
import type { AttemptRuntime } from "./completion_attempt.ts";
import type { CompletionRequest } from "./completion_request.ts";
import type { Quarantine, WatchedAttempt } from "./quarantine.ts";
import { RequestError } from "./request_error.ts";

/// Selects the engines for an attempt. A request is suspect if an engine
/// crashed during an earlier attempt. A suspect request gets an engine without
/// other work if there is one, and never one with another suspect request.

/// Interval at which a waiting request looks for an engine.
const POLL_INTERVAL_MILLISECONDS: Milliseconds = 50;
/// Time for which a request waits while its model has no usable engine.
const NO_ENGINE_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;

export interface ChosenEngines {
  /// One engine whose memory fits the whole prompt, or all usable engines,
  /// among which the prompt is split.
  readonly engines: readonly EngineView[];
  readonly fitsOneEngine: boolean;
}

export interface EngineSelector {
  /// Waits until an engine is available. Throws `RequestError` when there is
  /// none, or the abort reason of the context's signal.
  choose(
    runtime: AttemptRuntime,
    watchedAttempt: WatchedAttempt,
  ): Promise<ChosenEngines>;
}

export interface EngineSelectorOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly placement: PlacementPolicy;
  readonly quarantine: Quarantine;
}

const nameOf = (engine: EngineView) => engine.upstream.name;

const isIdle = (engine: EngineView) =>
  engine.outstandingRequests === 0 && engine.report?.runningStreams === 0;

const memoryTokensOf = (engine: EngineView) => engine.report?.memoryTokens ?? 0;

const requiredTokensOf = ({ prompt, maximumTokens }: CompletionRequest) =>
  prompt.tokens + maximumTokens;

/// The items that pass, or all items if none passes.
function preferred<Item>(
  items: readonly Item[],
  passes: (item: Item) => boolean,
): readonly Item[] {
  const passing = items.filter(passes);
  return passing.length > 0 ? passing : items;
}

export function createEngineSelector(
  options: EngineSelectorOptions,
): EngineSelector {
  const { clock, engines, placement, quarantine } = options;

  const usableEngines = ({ request }: AttemptRuntime) =>
    engines.enginesOf(request.model, request.version)
      .filter((engine) => engine.usable);

  const chooseShared = (
    { request, state }: AttemptRuntime,
    usable: readonly EngineView[],
  ): ChosenEngines | undefined => {
    const need = requiredTokensOf(request);
    const fitting = usable.filter((engine) => memoryTokensOf(engine) >= need);
    const notExcluded = preferred(
      fitting,
      (engine) => !state.excludedEngines.has(nameOf(engine)),
    );
    const candidates = preferred(
      notExcluded,
      (engine) => !quarantine.isExclusive(nameOf(engine)),
    );
    const engine = placement.choose({ ...request, candidates });
    return engine && { engines: [engine], fitsOneEngine: true };
  };

  const chooseForSuspect = async (
    { request }: AttemptRuntime,
    usable: readonly EngineView[],
    watchedAttempt: WatchedAttempt,
  ): Promise<ChosenEngines | undefined> => {
    const need = requiredTokensOf(request);
    let candidates = usable.filter((engine) =>
      memoryTokensOf(engine) >= need && !quarantine.isExclusive(nameOf(engine))
    );
    while (candidates.length > 0) {
      const idle = preferred(candidates, isIdle);
      const engine = placement.choose({ ...request, candidates: idle });
      if (!engine) return undefined;
      if (await watchedAttempt.acquireEngine(nameOf(engine))) {
        return { engines: [engine], fitsOneEngine: true };
      }
      candidates = candidates.filter((other) => other !== engine);
    }
    return undefined;
  };

  return {
    async choose(runtime, watchedAttempt) {
      const { request, context } = runtime;
      let lastUsableAt = clock.now();
      while (true) {
        const usable = usableEngines(runtime);
        if (usable.length > 0) lastUsableAt = clock.now();
        const fits = usable.some((view) =>
          memoryTokensOf(view) >= requiredTokensOf(request)
        );
        if (usable.length > 0 && !fits) {
          return { engines: usable, fitsOneEngine: false };
        }
        const chosen = watchedAttempt.isSuspect
          ? await chooseForSuspect(runtime, usable, watchedAttempt)
          : chooseShared(runtime, usable);
        if (chosen) return chosen;
        const waited = clock.now() - lastUsableAt;
        if (waited >= NO_ENGINE_TIMEOUT_MILLISECONDS) {
          throw new RequestError("no_upstream", { retryAfterSeconds: 1 });
        }
        await clock.sleep(POLL_INTERVAL_MILLISECONDS, context.signal);
      }
    },
  };
}
