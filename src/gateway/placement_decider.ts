import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import type { EngineProfile, Service } from "./configuration.ts";
import { passTime } from "./engine_cost.ts";
import {
  type Candidate,
  type EnginePlan,
  type EngineRequest,
  isLongPrompt,
  placeCall,
  placePrompt,
  shareMemory,
} from "./placement.ts";
import {
  type CandidateOptions,
  createCandidates,
  type DecisionScope,
} from "./placement_candidates.ts";
import type {
  PlacedDecision,
  PlacementDecision,
  PlacementQuery,
  RefusedDecision,
} from "./placement_decision.ts";
import type { WaitQueue } from "./wait_queue.ts";

/// Decides where requests are sent, from this VM's knowledge of the work at the
/// upstreams.

/// Assumed duration of a call to a service without an engine profile, for the
/// comparison of its upstreams.
const CALL_DURATION_MILLISECONDS: Milliseconds = 25;
/// Callers state the maximum number of output tokens; responses have about half
/// of them.
const LIKELY_OUTPUT_RATIO = 0.5;
/// Share of the objective within which the first event of a request that waits
/// for a slot is to arrive; the rest is for unforeseen delays.
const QUEUED_OBJECTIVE_RATIO = 0.9;
/// Wait for a slot after which a request is refused. Callers disconnect after
/// two seconds without an event, and the retry of a refused request has to
/// arrive within that time.
const MAXIMUM_WAIT_MILLISECONDS: Milliseconds = 1_000;

export interface PlacementDecider {
  /// Decides at once, or when a slot has become free. `signal` removes the
  /// request from the queue.
  decide(
    query: PlacementQuery,
    scope: DecisionScope,
    signal?: AbortSignal,
  ): Promise<PlacementDecision>;
  /// Decides at once; undefined if the request would have to wait for a slot.
  decideNow(
    query: PlacementQuery,
    scope: DecisionScope,
  ): PlacementDecision | undefined;
}

export interface PlacementDeciderOptions extends CandidateOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly waitQueue: WaitQueue;
}

const refused = (reason: string, retryAfter?: Milliseconds): RefusedDecision =>
  retryAfter === undefined
    ? { kind: "refused", reason }
    : { kind: "refused", reason, retryAfter };

/// Time by which the first event would be too late: the caller would have
/// disconnected by then, or the response would end after the deadline.
function latenessOf(
  profile: EngineProfile,
  query: PlacementQuery,
  { firstEventTime, primary }: EnginePlan,
): Milliseconds {
  const pass = passTime(profile, {
    decodingRequests: primary.work.requests + 1,
    contextTokens: primary.work.memoryTokens + query.promptTokens,
  });
  const passes = query.outputTokens * LIKELY_OUTPUT_RATIO /
    profile.stepsPerPass;
  return Math.max(
    firstEventTime + pass * passes - query.remaining,
    query.age + firstEventTime - query.silence,
  );
}

export function createPlacementDecider(
  options: PlacementDeciderOptions,
): PlacementDecider {
  const { clock, random, view, inFlightWork, waitQueue } = options;
  const candidates = createCandidates(options);
  const candidatesFor = candidates.find;

  const engineRequestOf = (query: PlacementQuery): EngineRequest => ({
    promptTokens: query.promptTokens,
    outputTokens: query.outputTokens,
    objective: query.objective,
    maximumEventGap: view.routeTable()?.shortestEventGap(query.service) ??
      Infinity,
    reportDelay: inFlightWork.reportDelay(),
    randomValue: random.next(),
  });

  const placed = (
    { upstream, work }: Candidate,
    plan: {
      readonly helpers: readonly string[];
      readonly reserved: PlacedDecision["reserved"];
      readonly firstEventTime: Milliseconds;
      readonly spanTime: Milliseconds;
    },
  ): PlacedDecision => ({
    kind: "placed",
    upstream: upstream.id,
    requestsBefore: work.requests,
    prefillBefore: Math.round(work.prefillMilliseconds),
    ...plan,
    helpers: [...plan.helpers],
  });

  const noUpstream = (
    service: Service,
    query: PlacementQuery,
    scope: DecisionScope,
  ) => {
    const delay = candidates.delay(service, query, scope);
    if (delay > 0) {
      const reason = "the upstreams accept no more requests for now";
      return { ...refused(reason, delay), isAtLimit: true };
    }
    return refused(
      view.available(service.name).length > 0
        ? "the upstreams have no room for the request"
        : "no upstream is listed",
    );
  };

  const decidePrompt = (
    service: Service & { readonly engine: EngineProfile },
    query: PlacementQuery,
    scope: DecisionScope & { readonly ignoresQueue: boolean },
  ): PlacementDecision | undefined => {
    const profile = service.engine;
    const engineRequest = engineRequestOf(query);
    const plan = placePrompt(
      profile,
      engineRequest,
      candidatesFor(service, query, scope),
    );
    if (!plan) return noUpstream(service, query, scope);
    const { primary, firstEventTime, spanTime } = plan;
    const isFull = primary.work.requests >= primary.upstream.slots ||
      waitQueue.size(service.name) > 0;
    const mustWait = isFull && !scope.ignoresQueue && !query.isResumed &&
      !isLongPrompt(
        profile,
        query.promptTokens,
        engineRequest.maximumEventGap,
      );
    if (mustWait) return undefined;
    const excess = query.isResumed ? 0 : latenessOf(profile, query, plan);
    if (excess > 0) {
      return refused(
        `the answer would come ${Math.round(excess)} ms too late`,
        excess,
      );
    }
    const shares = shareMemory(profile, engineRequest, plan);
    if (!shares) {
      return refused("the engines' memory has no room for the prompt");
    }
    return placed(primary, {
      helpers: plan.helpers.map(({ upstream }) => upstream.id),
      reserved: shares.map(({ candidate, tokens }) => ({
        upstream: candidate.upstream.id,
        tokens,
      })),
      firstEventTime,
      spanTime,
    });
  };

  const decideWith = (
    query: PlacementQuery,
    scope: DecisionScope & { readonly ignoresQueue: boolean },
  ): PlacementDecision | undefined => {
    const service = view.service(query.service);
    if (!service) {
      const reason = "the route's service is not configured";
      return { ...refused(reason), isUnknown: true };
    }
    const { engine } = service;
    if (engine) return decidePrompt({ ...service, engine }, query, scope);
    const chosen = placeCall(
      candidatesFor(service, query, scope),
      CALL_DURATION_MILLISECONDS,
    );
    if (!chosen) return noUpstream(service, query, scope);
    return placed(chosen, {
      helpers: [],
      reserved: [],
      firstEventTime: 0,
      spanTime: CALL_DURATION_MILLISECONDS,
    });
  };

  /// Estimated time to the first event once the request has a slot.
  const firstEventTimeOf = (query: PlacementQuery, scope: DecisionScope) => {
    const service = view.service(query.service);
    if (!service?.engine) return 0;
    const plan = placePrompt(
      service.engine,
      engineRequestOf(query),
      candidatesFor(service, query, scope),
    );
    return plan?.firstEventTime ?? 0;
  };

  const waitForSlot = async (
    query: PlacementQuery,
    scope: DecisionScope,
    signal: AbortSignal | undefined,
  ): Promise<PlacementDecision> => {
    const arrivedAt = clock.now() - query.age;
    const queued = waitQueue.enqueue(query.service, {
      latestTimelyStart: arrivedAt + query.objective * QUEUED_OBJECTIVE_RATIO -
        firstEventTimeOf(query, scope),
      refuseAt: arrivedAt + MAXIMUM_WAIT_MILLISECONDS,
    });
    signal?.addEventListener("abort", queued.remove, { once: true });
    const enqueuedAt = clock.now();
    const isAdmitted = await queued.admission;
    signal?.removeEventListener("abort", queued.remove);
    if (!isAdmitted) return refused("no engine had a slot in time");
    const waited = clock.now() - enqueuedAt;
    const aged = {
      ...query,
      age: query.age + waited,
      remaining: query.remaining - waited,
    };
    return decideWith(aged, { ...scope, ignoresQueue: true })!;
  };

  const decideNow: PlacementDecider["decideNow"] = (query, scope) =>
    decideWith(query, { ...scope, ignoresQueue: false });

  return {
    decideNow,
    decide(query, scope, signal) {
      const decision = decideNow(query, scope);
      if (decision) return Promise.resolve(decision);
      if (scope.mayWait) return waitForSlot(query, scope, signal);
      return Promise.resolve(refused("no engine has a free slot"));
    },
  };
}
