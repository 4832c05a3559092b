import test from "ava";
import type { AttemptRuntime } from "../../src/requests/completion_attempt.ts";
import {
  createEngineSelector,
  type EngineSelectorOptions,
} from "../../src/requests/engine_selector.ts";
import type { WatchedAttempt } from "../../src/requests/quarantine.ts";
import type { EngineView } from "../../src/upstreams/engine_directory.ts";
import type { PlacementRequest } from "../../src/upstreams/placement.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

/// Selection of engines of which some can't be used.

const REQUEST = { prompt: { tokens: 50_000 }, maximumTokens: 100 };

const engine = (name: string, memoryTokens: number) =>
  ({
    upstream: { name },
    report: { memoryTokens, runningStreams: 0 },
    outstandingRequests: 0,
    usable: true,
  }) as EngineView;

function setUp(enginesOf: (now: number) => readonly EngineView[]) {
  const clock = createFakeClock();
  const selector = createEngineSelector({
    clock,
    engines: { enginesOf: () => enginesOf(clock.now()) },
    placement: {
      choose: ({ candidates }: PlacementRequest) => candidates[0],
    },
    quarantine: { isExclusive: () => false },
  } as unknown as EngineSelectorOptions);
  const choose = async (
    excludedEngines: ReadonlySet<string>,
    attempt: Partial<WatchedAttempt>,
  ) => {
    const { signal } = new AbortController();
    const state = { excludedEngines };
    const runtime = { request: REQUEST, state, context: { signal } };
    const chosen = selector.choose(
      runtime as unknown as AttemptRuntime,
      attempt as WatchedAttempt,
    );
    const { engines } = await clock.advanceUntil(chosen, 20_000);
    return engines.map(({ upstream }) => upstream.name);
  };
  return { clock, choose };
}

test("a retry may use the failed engine if no other one fits the prompt", async (t) => {
  const engines = [engine("large", 100_000), engine("small", 10_000)];
  const { choose } = setUp(() => engines);
  const chosen = await choose(new Set(["large"]), { isSuspect: false });
  t.deepEqual(chosen, ["large"]);
});

test("a suspect that has waited for an engine isn't refused when its engine is suspended for a moment", async (t) => {
  const large = engine("large", 100_000);
  const { clock, choose } = setUp((now) =>
    now >= 6_000 && now < 6_250 ? [] : [large]
  );
  const acquireEngine = () => Promise.resolve(clock.now() > 6_250);
  const chosen = await choose(new Set(), { isSuspect: true, acquireEngine });
  t.deepEqual(chosen, ["large"]);
});
