import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";
import { passTime, prefillTime } from "./engine_cost.ts";
import type { WorkItem } from "./in_flight_work.ts";
import {
  type Candidate,
  type EnginePlan,
  type EngineRequest,
  isLong,
  type MemoryShare,
  placeCall,
  placePrompt,
  requiredMemory,
  shareMemory,
} from "./placement.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { Upstream } from "./upstream.ts";
import type { QueuedRequest } from "./wait_queue.ts";

/// Places one request according to the current state of the fleet, and
/// estimates the times of a placement.

/// Share of an upstream's maximum connections that requests may use. The rest
/// is for idle connections and for requests that other VMs have just started.
/// Beyond its maximum an upstream resets connections, and requests on them
/// fail.
const USABLE_CONNECTIONS_RATIO = 0.7;
/// Assumed duration of a call to a service without an engine profile, for the
/// comparison of its upstreams.
const CALL_DURATION_MILLISECONDS: Milliseconds = 25;
/// An engine counts as failed after inactivity of this many times the estimated
/// time to the first event, plus a fixed margin for what the estimate omits.
const FIRST_EVENT_TIMEOUT_FACTOR = 3;
const FIRST_EVENT_TIMEOUT_MARGIN_MILLISECONDS: Milliseconds = 500;
/// Multiple of the objective after which a safe call is retried elsewhere: the
/// first upstream has already missed the objective.
const SAFE_CALL_TIMEOUT_FACTOR = 2;
/// Callers state the maximum number of output tokens; responses have about half
/// of it.
const LIKELY_OUTPUT_RATIO = 0.5;
/// Share of the objective within which the first event of a request that waits
/// for a slot is to arrive; the rest is for unforeseen delays.
const QUEUED_OBJECTIVE_RATIO = 0.9;
/// Wait for a slot after which a request is refused. Callers disconnect after
/// two seconds without an event, and the retry of a refused request has to
/// arrive within that time.
const MAXIMUM_WAIT_MILLISECONDS: Milliseconds = 1_000;
/// Urgencies of prompts by prefill time: shorter prompts are more urgent.
const URGENCIES: readonly { upTo: Milliseconds; urgency: number }[] = [
  { upTo: 150, urgency: 2 },
  { upTo: 900, urgency: 4 },
  { upTo: Infinity, urgency: 6 },
];

/// The upstream of an attempt; `plan` is present for prompts.
export interface Placement {
  readonly upstream: Upstream;
  readonly plan?: EnginePlan;
}

export interface RequestPlacer {
  /// Whether the prompt is long, so that it is prefilled in spans.
  readonly isLong: boolean;
  /// 0 is the most urgent; undefined for calls.
  readonly urgency: number | undefined;
  /// Upstreams in `avoided` are used only if there are no others.
  place(avoided: ReadonlySet<string>): Placement | undefined;
  /// Whether a short prompt has to wait for a slot.
  mustWait(plan: EnginePlan): boolean;
  enterWaitQueue(plan: EnginePlan): QueuedRequest;
  /// Time by which a response would be too late for its caller; negative if it
  /// is in time.
  lateness(plan: EnginePlan, deadline: Milliseconds): Milliseconds;
  /// Memory to be reserved on helper engines; undefined if there is not enough.
  shareMemory(plan: EnginePlan): readonly MemoryShare[] | undefined;
  /// Adds the work of an attempt to the in-flight table.
  startWork(placement: Placement): WorkItem;
  /// Inactivity before the first byte after which the upstream counts as
  /// failed.
  firstEventTimeout(placement: Placement): Milliseconds;
}

function urgencyOf(profile: EngineProfile, promptTokens: number): number {
  const time = prefillTime(profile, promptTokens);
  return URGENCIES.find(({ upTo }) => time <= upTo)!.urgency;
}

export function createRequestPlacer(
  context: RequestContext,
  request: GatewayRequest,
): RequestPlacer {
  const { clock, view, health, inFlightWork } = context;
  const { route, service, metadata: facts } = request;
  const profile = service.engine;

  const candidates = (avoided: ReadonlySet<string>): Candidate[] => {
    const listed = view.available(service.name);
    const preferred = listed.filter(({ id }) => !avoided.has(id));
    const maximumRequests = service.maxConnections * USABLE_CONNECTIONS_RATIO;
    return (preferred.length > 0 ? preferred : listed).flatMap((upstream) => {
      const work = inFlightWork.workAt(upstream.id);
      if (work.requests >= maximumRequests) return [];
      return [{
        upstream,
        work,
        failureShare: health.failureShare(upstream.id),
        isSuspended: health.isSuspended(upstream.id),
        isLocal: upstream.dataCentre === context.dataCentre,
      }];
    });
  };

  const engineRequest: EngineRequest = {
    promptTokens: facts.promptTokens,
    outputTokens: facts.outputTokens,
    objective: route.objectiveMilliseconds,
    maximumEventGap: view.routeTable()?.shortestEventGap(service.name) ??
      Infinity,
    reportDelay: inFlightWork.reportDelay(),
    randomValue: context.random.next(),
  };

  const isLongPrompt = profile !== undefined && isLong(profile, engineRequest);

  const place = (avoided: ReadonlySet<string>): Placement | undefined => {
    const choices = candidates(avoided);
    if (!profile) {
      const chosen = placeCall(choices, CALL_DURATION_MILLISECONDS);
      return chosen && { upstream: chosen.upstream };
    }
    const plan = placePrompt(profile, engineRequest, choices);
    return plan && { upstream: plan.primary.upstream, plan };
  };

  /// Time by which the first event would be too late: the caller would have
  /// disconnected by then, or the response would end after the deadline.
  const lateness = (
    { firstEventTime, primary }: EnginePlan,
    deadline: Milliseconds,
  ): Milliseconds => {
    if (!profile) return 0;
    const pass = passTime(profile, {
      decodingRequests: primary.work.requests + 1,
      contextTokens: primary.work.memoryTokens + facts.promptTokens,
    });
    const passes = facts.outputTokens * LIKELY_OUTPUT_RATIO /
      profile.stepsPerPass;
    const now = clock.now();
    return Math.max(
      now + firstEventTime + pass * passes - deadline,
      now + firstEventTime - request.arrivedAt - route.silenceMilliseconds,
    );
  };

  /// Whether no engine has a free slot for a short prompt, or earlier prompts
  /// still wait for one.
  const mustWait = (plan: EnginePlan): boolean => {
    if (!profile || isLongPrompt) return false;
    const { work, upstream } = plan.primary;
    return work.requests >= upstream.slots ||
      context.waitQueue.size(service.name) > 0;
  };

  const enterWaitQueue = (
    { firstEventTime }: EnginePlan,
  ): QueuedRequest =>
    context.waitQueue.enqueue(service.name, {
      latestTimelyStart: request.arrivedAt +
        route.objectiveMilliseconds * QUEUED_OBJECTIVE_RATIO - firstEventTime,
      refuseAt: request.arrivedAt + MAXIMUM_WAIT_MILLISECONDS,
    });

  const startWork = (
    { upstream, plan }: Placement,
  ): { prefillDone(): void; end(): void } => {
    const spanTime = plan?.spanTime ?? CALL_DURATION_MILLISECONDS;
    const isShort = profile !== undefined && !isLongPrompt;
    const items: WorkItem[] = [
      inFlightWork.start(upstream.id, {
        requests: 1,
        shortRequests: isShort ? 1 : 0,
        memoryTokens: profile ? requiredMemory(engineRequest) : 0,
        spans: 0,
        prefillMilliseconds: spanTime,
      }),
    ];
    for (const helper of plan?.helpers ?? []) {
      items.push(inFlightWork.start(helper.upstream.id, {
        requests: 0,
        shortRequests: 0,
        memoryTokens: 0,
        spans: 1,
        prefillMilliseconds: spanTime,
      }));
    }
    return {
      prefillDone: () => items.forEach((item) => item.prefillDone()),
      end: () => items.forEach((item) => item.end()),
    };
  };

  /// Inactivity before the first byte after which the upstream counts as
  /// failed.
  const firstEventTimeout = ({ plan }: Placement): Milliseconds => {
    if (!plan) return SAFE_CALL_TIMEOUT_FACTOR * route.objectiveMilliseconds;
    return FIRST_EVENT_TIMEOUT_MARGIN_MILLISECONDS +
      FIRST_EVENT_TIMEOUT_FACTOR * plan.firstEventTime;
  };

  return {
    isLong: isLongPrompt,
    urgency: profile && urgencyOf(profile, facts.promptTokens),
    place,
    mustWait,
    enterWaitQueue,
    lateness,
    shareMemory: (plan) =>
      profile ? shareMemory(profile, engineRequest, plan) : [],
    startWork,
    firstEventTimeout,
  };
}
