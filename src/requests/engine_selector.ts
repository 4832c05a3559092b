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

/// Which engines a try may use. A suspect gets an engine without other work
/// where there is one, and never one with another suspect.

/// Time between two looks for an engine.
const WAIT_MILLISECONDS: Milliseconds = 50;
/// Time for which a request waits while its model has no usable engine.
const NO_ENGINE_LIMIT_MILLISECONDS: Milliseconds = 3_000;

export interface ChosenEngines {
  /// One engine that holds the whole prompt, or all that may share it.
  readonly engines: readonly EngineView[];
  readonly isWhole: boolean;
}

export interface EngineChoice {
  /// Waits for an engine. Throws `RequestError` when there is none, or the
  /// reason of the context's signal.
  choose(
    runtime: AttemptRuntime,
    watched: WatchedAttempt,
  ): Promise<ChosenEngines>;
}

export interface EngineChoiceOptions {
  readonly clock: Clock;
  readonly engines: EngineDirectory;
  readonly placement: PlacementPolicy;
  readonly quarantine: Quarantine;
}

const nameOf = (engine: EngineView) => engine.upstream.name;

const isIdle = (engine: EngineView) =>
  engine.outstandingRequests === 0 && engine.report?.runningStreams === 0;

const memoryOf = (engine: EngineView) => engine.report?.memoryTokens ?? 0;

const needOf = ({ prompt, maximumTokens }: CompletionRequest) =>
  prompt.tokens + maximumTokens;

/// The members that pass, or all if none does.
function preferred<Item>(
  items: readonly Item[],
  passes: (item: Item) => boolean,
): readonly Item[] {
  const passing = items.filter(passes);
  return passing.length > 0 ? passing : items;
}

export function createEngineChoice(options: EngineChoiceOptions): EngineChoice {
  const { clock, engines, placement, quarantine } = options;

  const usableEngines = ({ request }: AttemptRuntime) =>
    engines.enginesOf(request.model, request.version)
      .filter((engine) => engine.usable);

  const chooseShared = (
    { request, state }: AttemptRuntime,
    usable: readonly EngineView[],
  ): ChosenEngines | undefined => {
    const fresh = preferred(
      usable,
      (engine) => !state.excluded.has(nameOf(engine)),
    );
    const open = preferred(
      fresh,
      (engine) => !quarantine.isExclusive(nameOf(engine)),
    );
    const need = needOf(request);
    const candidates = open.filter((engine) => memoryOf(engine) >= need);
    const engine = placement.choose({ ...request, candidates });
    return engine && { engines: [engine], isWhole: true };
  };

  const chooseForSuspect = async (
    { request }: AttemptRuntime,
    usable: readonly EngineView[],
    watched: WatchedAttempt,
  ): Promise<ChosenEngines | undefined> => {
    const need = needOf(request);
    let candidates = usable.filter((engine) =>
      memoryOf(engine) >= need && !quarantine.isExclusive(nameOf(engine))
    );
    while (candidates.length > 0) {
      const idle = preferred(candidates, isIdle);
      const engine = placement.choose({ ...request, candidates: idle });
      if (!engine) return undefined;
      if (await watched.acquireEngine(nameOf(engine))) {
        return { engines: [engine], isWhole: true };
      }
      candidates = candidates.filter((other) => other !== engine);
    }
    return undefined;
  };

  return {
    async choose(runtime, watched) {
      const { request, context } = runtime;
      const startedAt = clock.now();
      while (true) {
        const usable = usableEngines(runtime);
        const fits = usable.some((view) => memoryOf(view) >= needOf(request));
        if (usable.length > 0 && !fits) {
          return { engines: usable, isWhole: false };
        }
        const chosen = watched.isSuspect
          ? await chooseForSuspect(runtime, usable, watched)
          : chooseShared(runtime, usable);
        if (chosen) return chosen;
        const waited = clock.now() - startedAt;
        if (usable.length === 0 && waited >= NO_ENGINE_LIMIT_MILLISECONDS) {
          throw new RequestError("no_upstream", { retryAfterSeconds: 1 });
        }
        await clock.sleep(WAIT_MILLISECONDS, context.signal);
      }
    },
  };
}
