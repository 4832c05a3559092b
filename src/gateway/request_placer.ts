import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";
import { workOfDecision } from "./decided_work.ts";
import { prefillTime } from "./engine_cost.ts";
import type { WorkItem } from "./in_flight_work.ts";
import { isLongPrompt } from "./placement.ts";
import type {
  PlacedDecision,
  PlacementDecision,
  PlacementQuery,
} from "./placement_decision.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { Upstream } from "./upstream.ts";

/// Places one request, and estimates the times of a placement.

/// An engine counts as failed after inactivity of this many times the estimated
/// time to the first event, plus a fixed margin for what the estimate omits.
const FIRST_EVENT_TIMEOUT_FACTOR = 3;
const FIRST_EVENT_TIMEOUT_MARGIN_MILLISECONDS: Milliseconds = 500;
/// Multiple of the objective after which a safe call is retried elsewhere: the
/// first upstream has already missed the objective.
const SAFE_CALL_TIMEOUT_FACTOR = 2;
/// Priorities of prompts by prefill time; 0 is the highest. Shorter prompts come
/// first.
const PRIORITIES_BY_PREFILL_TIME: readonly {
  upTo: Milliseconds;
  priority: number;
}[] = [
  { upTo: 150, priority: 2 },
  { upTo: 900, priority: 4 },
  { upTo: Infinity, priority: 6 },
];

/// The upstreams of an attempt.
export interface Placement {
  readonly upstream: Upstream;
  /// Engines that prefill one span each.
  readonly helpers: readonly Upstream[];
  /// Shares of the prompt's memory that are to be reserved at helpers.
  readonly reserved: readonly {
    readonly upstream: Upstream;
    readonly tokens: number;
  }[];
  readonly decision: PlacedDecision;
}

/// What a decision depends on beside the request itself.
export interface PlacementConditions {
  /// Upstreams that are used only if there are no others.
  readonly avoided: ReadonlySet<string>;
  readonly remaining: Milliseconds;
  /// Whether part of the response has been sent.
  readonly isResumed: boolean;
  /// Ends the wait for a slot.
  readonly signal: AbortSignal;
}

export interface RequestPlacer {
  /// Whether the prompt is long, so that it is prefilled in spans.
  readonly isLong: boolean;
  /// Priority at the upstream, of which 0 is the highest; undefined for calls.
  readonly priority: number | undefined;
  decide(conditions: PlacementConditions): Promise<PlacementDecision>;
  /// Finds the upstreams of a decision; undefined if one is no longer listed.
  resolve(decision: PlacedDecision): Placement | undefined;
  /// Adds the work of an attempt to the in-flight table.
  startWork(decision: PlacedDecision): WorkItem;
  /// Inactivity before the first byte after which the upstream counts as
  /// failed.
  firstEventTimeout(decision: PlacedDecision): Milliseconds;
}

function priorityOf(profile: EngineProfile, promptTokens: number): number {
  const time = prefillTime(profile, promptTokens);
  return PRIORITIES_BY_PREFILL_TIME.find(({ upTo }) => time <= upTo)!.priority;
}

/// What a placer uses of the context.
export type PlacerContext = Pick<
  RequestContext,
  "clock" | "view" | "inFlightWork" | "placements" | "upstreamHolds"
>;

export function createRequestPlacer(
  context: PlacerContext,
  request: GatewayRequest,
): RequestPlacer {
  const { clock, view, inFlightWork, placements } = context;
  const { route, service, metadata } = request;
  const { promptTokens, outputTokens } = metadata;
  const { engine } = service;
  const eventGap = view.routeTable()?.shortestEventGap(service.name);

  const queryOf = (
    { avoided, remaining, isResumed }: PlacementConditions,
  ): PlacementQuery => ({
    service: service.name,
    promptTokens,
    outputTokens,
    objective: route.objectiveMilliseconds,
    silence: route.silenceMilliseconds,
    age: clock.now() - request.arrivedAt,
    remaining,
    avoided: [...avoided],
    held: context.upstreamHolds.list(),
    isResumed,
  });

  const startWork = (decision: PlacedDecision): WorkItem => {
    const items = workOfDecision(decision, metadata, { engine, eventGap })
      .map(({ upstream, work }) => inFlightWork.start(upstream, work));
    return {
      prefillDone: () => items.forEach((item) => item.prefillDone()),
      end: () => items.forEach((item) => item.end()),
    };
  };

  return {
    isLong: engine !== undefined &&
      isLongPrompt(engine, promptTokens, eventGap ?? Infinity),
    priority: engine && priorityOf(engine, promptTokens),
    decide: (conditions) =>
      placements.decide(queryOf(conditions), conditions.signal),
    resolve(decision) {
      const upstream = view.upstream(decision.upstream);
      const helpers = decision.helpers.flatMap((id) => view.upstream(id) ?? []);
      const reserved = decision.reserved.flatMap(({ upstream: id, tokens }) => {
        const holder = view.upstream(id);
        return holder ? [{ upstream: holder, tokens }] : [];
      });
      const isComplete = upstream !== undefined &&
        helpers.length === decision.helpers.length &&
        reserved.length === decision.reserved.length;
      return isComplete ? { upstream, helpers, reserved, decision } : undefined;
    },
    startWork,
    firstEventTimeout({ firstEventTime }) {
      if (!engine) {
        return SAFE_CALL_TIMEOUT_FACTOR * route.objectiveMilliseconds;
      }
      return FIRST_EVENT_TIMEOUT_MARGIN_MILLISECONDS +
        FIRST_EVENT_TIMEOUT_FACTOR * firstEventTime;
    },
  };
}
