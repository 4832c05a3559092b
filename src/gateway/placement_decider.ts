import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import type { UpstreamLimits } from "../upstreams/upstream_limits.ts";
import type { EngineProfile, Service } from "./configuration.ts";
import { passTime } from "./engine_cost.ts";
import type { FleetView } from "./fleet_view.ts";
import type { InFlightWork } from "./in_flight_work.ts";
import {
  type Candidate,
  type EnginePlan,
  type EngineRequest,
  isLongPrompt,
  placeCall,
  placePrompt,
  shareMemory,
} from "./placement.ts";
import type {
  PlacedDecision,
  PlacementDecision,
  PlacementQuery,
  RefusedDecision,
} from "./placement_decision.ts";
import type { Upstream } from "./upstream.ts";
import type { UpstreamHealth } from "./upstream_health.ts";
import type { WaitQueue } from "./wait_queue.ts";

/// Decides where requests are sent, from this VM's knowledge of the work at the
/// upstreams.

/// Share of an upstream's maximum connections that requests may use. The rest
/// is for idle connections and for requests that other VMs have just started.
/// Beyond its maximum an upstream resets connections, and requests on them
/// fail.
const USABLE_CONNECTIONS_RATIO = 0.7;
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

/// Which upstreams are considered.
export interface DecisionScope {
  /// Data centre whose engines are used; all if undefined. Calls to services
  /// without an engine profile may always go to any data centre.
  readonly dataCentre?: string;
  /// Whether a short prompt may wait for a slot.
  readonly mayWait: boolean;
}

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

export interface PlacementDeciderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly upstreamLimits: Pick<UpstreamLimits, "delayOf" | "isLimited">;
  readonly inFlightWork: InFlightWork;
  readonly waitQueue: WaitQueue;
  /// This VM's data centre.
  readonly dataCentre: string;
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
  const { clock, random, view, health, inFlightWork, waitQueue } = options;
  const { upstreamLimits } = options;

  const listedFor = (
    service: Service,
    { dataCentre }: DecisionScope,
  ): readonly Upstream[] => {
    const all = view.available(service.name);
    return service.engine && dataCentre !== undefined
      ? all.filter((upstream) => upstream.dataCentre === dataCentre)
      : all;
  };

  const candidatesFor = (
    service: Service,
    { avoided, isResumed }: PlacementQuery,
    scope: DecisionScope,
  ): Candidate[] => {
    const all = listedFor(service, scope);
    const open = all.filter(({ id }) => upstreamLimits.delayOf(id) === 0);
    // Resumed streams may take the next permit.
    const listed = open.length === 0 && isResumed ? all : open;
    const preferred = listed.filter(({ id }) => !avoided.includes(id));
    const maximumRequests = service.maxConnections * USABLE_CONNECTIONS_RATIO;
    return (preferred.length > 0 ? preferred : listed).flatMap((upstream) => {
      const work = inFlightWork.workAt(upstream.id);
      if (work.requests >= maximumRequests) return [];
      return [{
        upstream,
        work,
        failureShare: health.failureShare(upstream.id),
        isSuspended: health.isSuspended(upstream.id),
        isLimited: upstreamLimits.isLimited(upstream.id),
        isLocal: upstream.dataCentre === options.dataCentre,
      }];
    });
  };

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

  const noUpstream = (service: Service, scope: DecisionScope) => {
    const listed = listedFor(service, scope);
    const delay = Math.min(
      ...listed.map(({ id }) => upstreamLimits.delayOf(id)),
    );
    if (listed.length > 0 && delay > 0) {
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
    const candidates = candidatesFor(service, query, scope);
    const plan = placePrompt(profile, engineRequest, candidates);
    if (!plan) return noUpstream(service, scope);
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
    const service = view.routeTable()?.service(query.service);
    if (!service) return refused("the route's service is not configured");
    const { engine } = service;
    if (engine) return decidePrompt({ ...service, engine }, query, scope);
    const chosen = placeCall(
      candidatesFor(service, query, scope),
      CALL_DURATION_MILLISECONDS,
    );
    if (!chosen) return noUpstream(service, scope);
    return placed(chosen, {
      helpers: [],
      reserved: [],
      firstEventTime: 0,
      spanTime: CALL_DURATION_MILLISECONDS,
    });
  };

  /// Estimated time to the first event once the request has a slot.
  const firstEventTimeOf = (query: PlacementQuery, scope: DecisionScope) => {
    const service = view.routeTable()?.service(query.service);
    if (!service?.engine) return 0;
    const candidates = candidatesFor(service, query, scope);
    const request = engineRequestOf(query);
    return placePrompt(service.engine, request, candidates)?.firstEventTime ??
      0;
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
