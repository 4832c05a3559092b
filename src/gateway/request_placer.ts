import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";
import { passTime, prefillTime } from "./engine_cost.ts";
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
import type { WorkItem } from "./in_flight_work.ts";

/// Places one request with what is known of the fleet at that moment, and says
/// what is to be expected of a placement.

/// Share of the connections that an upstream accepts which requests may fill;
/// the rest is for idle ones and for what other VMs have just begun. Beyond its
/// bound an upstream resets connections, and a request on them is lost.
const USED_CONNECTIONS_SHARE = 0.7;
/// Time of a call of a service whose costs aren't known, for the comparison
/// of its upstreams.
const CALL_MILLISECONDS: Milliseconds = 25;
/// Silence of an engine that is taken for its loss: this many times the
/// expected time, and a fixed part for what the estimate leaves out.
const EXPECTED_TIME_FACTOR = 3;
const UNEXPECTED_MILLISECONDS: Milliseconds = 500;
/// Share of the objective after which a safe call is tried elsewhere: the
/// first upstream has already missed it.
const SAFE_CALL_PATIENCE = 2;
/// Callers name the largest number of tokens that they take; answers have about
/// half of it.
const LIKELY_OUTPUT_SHARE = 0.5;
/// Share of the objective within which an engine's first event is to come, for
/// a request that waits for a slot; the rest is for what isn't foreseen.
const IN_TIME_SHARE = 0.9;
/// Wait for a slot after which a request is refused. Callers leave after two
/// seconds without an event, and a refused one has to come back within that.
const USEFUL_WAIT_MILLISECONDS: Milliseconds = 1_000;
/// Urgencies of prompts, by reading time: the shorter, the sooner.
const URGENCIES: readonly { upTo: Milliseconds; urgency: number }[] = [
  { upTo: 150, urgency: 2 },
  { upTo: 900, urgency: 4 },
  { upTo: Infinity, urgency: 6 },
];

/// Where a try goes; the plan is there for prompts.
export interface Placement {
  readonly upstream: Upstream;
  readonly plan?: EnginePlan;
}

export interface RequestPlacer {
  /// Whether the prompt is one that is read in parts.
  readonly isLong: boolean;
  /// 0 is the most urgent; undefined for calls.
  readonly urgency: number | undefined;
  /// Upstreams that were `avoided` are taken if there are no others.
  place(avoided: ReadonlySet<string>): Placement | undefined;
  /// Whether a short prompt has to wait for a slot.
  mustWait(plan: EnginePlan): boolean;
  enterWaitQueue(plan: EnginePlan): QueuedRequest;
  /// Time by which an answer would come too late for its caller; negative if
  /// it comes in time.
  lateness(plan: EnginePlan, deadline: Milliseconds): Milliseconds;
  /// Memory to be reserved on helpers; undefined if there is not enough.
  shareMemory(plan: EnginePlan): readonly MemoryShare[] | undefined;
  /// Notes the work of a try on the board.
  startWork(placement: Placement): WorkItem;
  /// Silence before the first byte after which the upstream counts as lost.
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
  const { clock, view, health, inFlightWork: board } = context;
  const { route, service, facts } = request;
  const profile = service.engine;

  const candidates = (avoided: ReadonlySet<string>): Candidate[] => {
    const listed = view.available(service.name);
    const fresh = listed.filter(({ id }) => !avoided.has(id));
    const most = service.maxConnections * USED_CONNECTIONS_SHARE;
    return (fresh.length > 0 ? fresh : listed).flatMap((upstream) => {
      const work = board.workAt(upstream.id);
      if (work.requests >= most) return [];
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
    reportDelay: board.reportDelay(),
    randomValue: context.random.next(),
  };

  const isLongPrompt = profile !== undefined && isLong(profile, engineRequest);

  const place = (avoided: ReadonlySet<string>): Placement | undefined => {
    const choices = candidates(avoided);
    if (!profile) {
      const chosen = placeCall(choices, CALL_MILLISECONDS);
      return chosen && { upstream: chosen.upstream };
    }
    const plan = placePrompt(profile, engineRequest, choices);
    return plan && { upstream: plan.primary.upstream, plan };
  };

  /// Time by which the first event would come too late for the caller to be
  /// there still, or for the answer to end before the deadline.
  const excessOf = (
    { firstEventTime: firstEvent, primary }: EnginePlan,
    deadline: Milliseconds,
  ): Milliseconds => {
    if (!profile) return 0;
    const pass = passTime(profile, {
      decodingRequests: primary.work.requests + 1,
      contextTokens: primary.work.memoryTokens + facts.promptTokens,
    });
    const passes = facts.outputTokens * LIKELY_OUTPUT_SHARE /
      profile.stepsPerPass;
    const now = clock.now();
    return Math.max(
      now + firstEvent + pass * passes - deadline,
      now + firstEvent - request.arrivedAt - route.silenceMilliseconds,
    );
  };

  /// Whether a short prompt finds no engine with a free slot, or others have
  /// waited for one before it.
  const mustWait = (plan: EnginePlan): boolean => {
    if (!profile || isLongPrompt) return false;
    const { work, upstream } = plan.primary;
    return work.requests >= upstream.slots ||
      context.waitQueue.size(service.name) > 0;
  };

  const enterWaitingRoom = (
    { firstEventTime: firstEvent }: EnginePlan,
  ): QueuedRequest =>
    context.waitQueue.enqueue(service.name, {
      latestTimelyStart: request.arrivedAt +
        route.objectiveMilliseconds * IN_TIME_SHARE - firstEvent,
      refuseAt: request.arrivedAt + USEFUL_WAIT_MILLISECONDS,
    });

  const noteWork = (
    { upstream, plan }: Placement,
  ): { prefillDone(): void; end(): void } => {
    const partTime = plan?.spanTime ?? CALL_MILLISECONDS;
    const isShort = profile !== undefined && !isLongPrompt;
    const items: WorkItem[] = [
      board.start(upstream.id, {
        requests: 1,
        shortRequests: isShort ? 1 : 0,
        memoryTokens: profile ? requiredMemory(engineRequest) : 0,
        spans: 0,
        prefillMilliseconds: partTime,
      }),
    ];
    for (const helper of plan?.helpers ?? []) {
      items.push(board.start(helper.upstream.id, {
        requests: 0,
        shortRequests: 0,
        memoryTokens: 0,
        spans: 1,
        prefillMilliseconds: partTime,
      }));
    }
    return {
      prefillDone: () => items.forEach((item) => item.prefillDone()),
      end: () => items.forEach((item) => item.end()),
    };
  };

  /// Silence after which the upstream counts as lost, before the first byte.
  const silenceBefore = ({ plan }: Placement): Milliseconds => {
    if (!plan) return SAFE_CALL_PATIENCE * route.objectiveMilliseconds;
    return UNEXPECTED_MILLISECONDS + EXPECTED_TIME_FACTOR * plan.firstEventTime;
  };

  return {
    isLong: isLongPrompt,
    urgency: profile && urgencyOf(profile, facts.promptTokens),
    place,
    mustWait,
    enterWaitQueue: enterWaitingRoom,
    lateness: excessOf,
    shareMemory: (plan) =>
      profile ? shareMemory(profile, engineRequest, plan) : [],
    startWork: noteWork,
    firstEventTimeout: silenceBefore,
  };
}
