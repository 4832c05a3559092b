import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";
import { passTime, prefillTime } from "./engine_cost.ts";

import type { Upstream } from "./upstream.ts";
import type { UpstreamWork } from "./work_table.ts";

/// Chooses upstreams for requests. An engine prefills prompts within the same
/// passes in which it decodes, so a long prompt delays every other stream on
/// the engine. Short prompts are concentrated on few engines, the same ones for
/// all VMs, so that the other engines are free of them. A long prompt is split
/// into spans. Their number minimises the lateness of the prompt, weighted
/// against the streams that its spans would delay for too long.

/// An upstream that could take the request, and its in-flight work.
export interface Candidate {
  readonly upstream: Upstream;
  readonly work: UpstreamWork;
  /// Share of its recent responses that failed, 0 to 1.
  readonly failureShare: number;
  /// Whether it gets no requests for a time after recent failures.
  readonly isSuspended: boolean;
  /// Whether it states a limit on requests.
  readonly isLimited: boolean;
  /// Whether it is in this VM's data centre.
  readonly isLocal: boolean;
}

export interface PromptSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export interface EngineRequest extends PromptSize {
  /// Time to the first event that meets the caller's objective.
  readonly objective: Milliseconds;
  /// Smallest of the maximum event gaps that streams on these engines allow.
  readonly maximumEventGap: Milliseconds;
  /// Time until other VMs receive the report of a placement; `Infinity` if the
  /// work of other VMs is unknown.
  readonly reportDelay: Milliseconds;
  /// Random number for this placement, at least 0 and less than 1.
  readonly randomValue: number;
}

/// The engines that process one prompt.
export interface EnginePlan {
  readonly primary: Candidate;
  /// Helper engines, which prefill one span each; excludes the primary.
  readonly helpers: readonly Candidate[];
  /// Estimated time to the first event.
  readonly firstEventTime: Milliseconds;
  /// Prefill time of one span.
  readonly spanTime: Milliseconds;
}

/// Ratio of prefill time to the maximum event gap above which a prompt is long.
/// The rest of the gap is for the pass itself and for other prefills.
const LONG_PREFILL_RATIO = 0.8;
/// Ratio of prefill time to the maximum event gap above which a prompt is worth
/// splitting among the engines of short prompts.
const SPLIT_PREFILL_RATIO = 0.4;
/// Share of an engine's slots up to which short requests are concentrated on
/// it. The rest is for requests of other VMs that haven't been reported yet.
const CONCENTRATION_SLOTS_RATIO = 0.6;
/// Share of an engine's slots up to which prompts from the wait queue are sent
/// to it, and up to which it prefills spans for other engines. On an engine
/// that is kept full, the next prompt waits for a slot although its prefill has
/// finished. An engine that prefills spans of as many prompts as it has slots
/// refuses further spans.
const USABLE_SLOTS_RATIO = 0.8;
/// Share of failed results from which short requests are concentrated on other
/// engines: three consecutive failures reach it, given the weight of one
/// result.
const CONCENTRATION_FAILURE_RATIO = 0.3;
/// Share of the objective that the estimated time to the first event of a
/// concentrated request may take. The estimate omits the prefill of the current
/// pass, about a third of it.
const CONCENTRATION_OBJECTIVE_RATIO = 0.55;
/// Number of engines among which short prompts are distributed at random, for
/// each prompt that arrives before the VMs receive each other's reports. With
/// three, one in three of these prompts shares its engine with another.
const ENGINES_PER_UNREPORTED_REQUEST = 3;
/// Number of engines that may prefill one prompt; the platform allows 16 beside
/// the first.
const MAXIMUM_SPANS = 17;
/// A smaller span costs an engine more time in passes than it saves.
const MINIMUM_SPAN_TOKENS = 2_048;
/// Share of the memory that placement fills; the rest is for placements of
/// other VMs that haven't been reported yet.
const USABLE_MEMORY_RATIO = 0.95;
/// Delay that is equivalent to certain failure, in the comparison of upstreams.
const FAILURE_PENALTY_MILLISECONDS: Milliseconds = 1_000;
const SUSPENSION_PENALTY_MILLISECONDS: Milliseconds = 60_000;
/// Delay that is equivalent to another data centre: a round trip and the
/// transfer of the bytes.
const REMOTE_PENALTY_MILLISECONDS: Milliseconds = 2;
/// One output token has the weight of ten prompt tokens, which is the ratio of
/// the engine time that they take.
const OUTPUT_TOKEN_WEIGHT = 10;
/// Size of a short request that an event gap delays, in weighted tokens: about
/// 5,000 prompt tokens and 1,500 output tokens.
const SHORT_REQUEST_WEIGHT = 20_000;

/// Whether the prefill of the prompt as one span would cause event gaps that
/// are too long in other streams on the engine.
export function isLongPrompt(
  profile: EngineProfile,
  promptTokens: number,
  maximumEventGap: Milliseconds,
): boolean {
  const threshold = maximumEventGap * LONG_PREFILL_RATIO;
  return prefillTime(profile, promptTokens) > threshold;
}

const byId = (left: Candidate, right: Candidate) =>
  left.upstream.id < right.upstream.id ? -1 : 1;

/// Chooses the engines for a prompt.
export function placePrompt(
  profile: EngineProfile,
  request: EngineRequest,
  candidates: readonly Candidate[],
): EnginePlan | undefined {
  const prefill = prefillTime(profile, request.promptTokens);
  return prefill > request.maximumEventGap * SPLIT_PREFILL_RATIO
    ? placeLong(profile, request, candidates)
    : placeShort(profile, request, candidates);
}

/// Number of requests up to which an engine is sent prompts from the wait
/// queue.
export function usableSlots({ slots }: Upstream): number {
  return slots * USABLE_SLOTS_RATIO;
}

export function requiredMemory(
  { promptTokens, outputTokens }: PromptSize,
): number {
  return promptTokens + outputTokens;
}

function freeMemory(profile: EngineProfile, candidate: Candidate): number {
  // Rounded to whole tokens, since reservations are whole numbers too.
  return Math.floor(profile.memoryTokens * USABLE_MEMORY_RATIO) -
    candidate.work.memoryTokens;
}

/// Delay that is equivalent to an upstream's failures, suspension and distance.
function penaltyOf(candidate: Candidate): Milliseconds {
  return candidate.failureShare * FAILURE_PENALTY_MILLISECONDS +
    (candidate.isSuspended ? SUSPENSION_PENALTY_MILLISECONDS : 0) +
    (candidate.isLocal ? 0 : REMOTE_PENALTY_MILLISECONDS);
}

function passTimeOf(profile: EngineProfile, { work }: Candidate): Milliseconds {
  return passTime(profile, {
    decodingRequests: Math.min(work.requests + 1, profile.slots),
    contextTokens: work.memoryTokens,
  });
}

/// Estimated time until an engine starts the prefill of a new prompt.
function waitTimeOf(
  profile: EngineProfile,
  candidate: Candidate,
): Milliseconds {
  const { requests, prefillMilliseconds } = candidate.work;
  const excess = Math.max(0, requests + 1 - profile.slots);
  const pass = passTimeOf(profile, candidate);
  const residual = requests > 0 ? pass / 2 : 0;
  // A request without a free slot waits until others end.
  return prefillMilliseconds + residual + excess * pass * 2;
}

function leastOf<Item>(
  items: readonly Item[],
  cost: (item: Item) => number,
): Item | undefined {
  let best: Item | undefined;
  let least = Infinity;
  for (const item of items) {
    const value = cost(item);
    if (value < least) [best, least] = [item, value];
  }
  return best;
}

function shortRequestsOf(candidates: readonly Candidate[]): number {
  return candidates.reduce((sum, { work }) => sum + work.shortRequests, 0);
}

/// Estimated number of short requests that are placed before the VMs receive
/// each other's reports.
function unreportedRequests(
  { reportDelay }: EngineRequest,
  candidates: readonly Candidate[],
): number {
  return shortRequestsOf(candidates) * reportDelay /
    SHORT_REQUEST_DURATION_MILLISECONDS;
}

/// Chooses the engine for a prompt that is prefilled as one span.
export function placeShort(
  profile: EngineProfile,
  request: EngineRequest,
  candidates: readonly Candidate[],
): EnginePlan | undefined {
  const prefill = prefillTime(profile, request.promptTokens);
  const firstEventTimeOf = (candidate: Candidate) =>
    waitTimeOf(profile, candidate) + prefill + passTimeOf(profile, candidate);
  const memory = requiredMemory(request);
  const fitting = candidates.filter((candidate) =>
    memory <= freeMemory(profile, candidate)
  );
  const planOf = (primary: Candidate): EnginePlan => ({
    primary,
    helpers: [],
    firstEventTime: firstEventTimeOf(primary),
    spanTime: prefill,
  });
  // All VMs prefer the same engines in the same order. The random choice keeps
  // them from choosing the same engine before they receive each other's
  // reports.
  const eligible = [...fitting].sort(byId).filter((candidate) =>
    candidate.work.requests < profile.slots * CONCENTRATION_SLOTS_RATIO &&
    candidate.failureShare < CONCENTRATION_FAILURE_RATIO &&
    !candidate.isSuspended &&
    firstEventTimeOf(candidate) <=
      request.objective * CONCENTRATION_OBJECTIVE_RATIO
  );
  const count = request.reportDelay === Infinity ? eligible.length : 1 +
    ENGINES_PER_UNREPORTED_REQUEST * unreportedRequests(request, candidates);
  const concentrated = eligible[
    Math.floor(
      request.randomValue * Math.min(eligible.length, Math.floor(count)),
    )
  ];
  if (concentrated) return planOf(concentrated);
  const best = leastOf(
    fitting.length > 0 ? fitting : candidates,
    (candidate) => firstEventTimeOf(candidate) + penaltyOf(candidate),
  );
  return best && planOf(best);
}

/// Probability that something is late whose estimated time is this share of its
/// limit: 0 below `from`, 1 above `to`.
function latenessProbability(
  share: number,
  { from, to }: { readonly from: number; readonly to: number },
): number {
  return Math.min(1, Math.max(0, (share - from) / (to - from)));
}

/// Other VMs place prompts on the same engines at the same moment, so a first
/// event may arrive much later than estimated.
const FIRST_EVENT_RAMP = { from: 0.5, to: 1 };
/// Event gaps depend only on the known work of one engine.
const EVENT_GAP_RAMP = { from: 0.8, to: 1.05 };
/// Approximate duration of a short request. Together with the number of running
/// requests it gives their arrival rate.
const SHORT_REQUEST_DURATION_MILLISECONDS: Milliseconds = 1_500;
/// Weight of an earlier first event within the objective, which frees engines
/// sooner.
const EARLY_EVENT_WEIGHT = 0.05;

/// Chooses the engines for a prompt that is worth splitting into spans.
export function placeLong(
  profile: EngineProfile,
  request: EngineRequest,
  candidates: readonly Candidate[],
): EnginePlan | undefined {
  const { objective, maximumEventGap } = request;
  const prefill = prefillTime(profile, request.promptTokens);
  const requestWeight = request.promptTokens +
    OUTPUT_TOKEN_WEIGHT * request.outputTokens;
  const maximumHelperSpans = profile.slots * USABLE_SLOTS_RATIO;
  const open = candidates.filter(({ work, isLimited }) =>
    work.spans < maximumHelperSpans && !isLimited
  );
  const estimates = (open.length > 0 ? open : candidates).map((
    candidate,
  ) => ({
    candidate,
    pass: passTimeOf(profile, candidate),
    wait: waitTimeOf(profile, candidate) + penaltyOf(candidate),
    freeTokens: Math.max(0, freeMemory(profile, candidate)),
  }));
  type Estimate = typeof estimates[number];
  /// Weight of the streams that a span would delay for too long.
  const delayCostOf = (
    { candidate, pass }: Estimate,
    spanTime: Milliseconds,
  ) => {
    const { shortRequests, prefillMilliseconds } = candidate.work;
    const gap = prefillMilliseconds + spanTime + pass;
    return shortRequests * SHORT_REQUEST_WEIGHT *
      latenessProbability(gap / maximumEventGap, EVENT_GAP_RAMP);
  };
  const latenessCostOf = ({ pass, wait }: Estimate, spanTime: Milliseconds) => {
    const share = (wait + spanTime + pass) / objective;
    return requestWeight * (latenessProbability(share, FIRST_EVENT_RAMP) +
      EARLY_EVENT_WEIGHT * share);
  };
  const shortRequests = shortRequestsOf(
    estimates.map(({ candidate }) => candidate),
  );
  const enginesForShort = 1 +
    shortRequests / (profile.slots * CONCENTRATION_SLOTS_RATIO);
  /// Weight of the short requests that arrive while so many engines are blocked
  /// by prefill that the others lack the capacity for them.
  const arrivalCostOf = (
    chosen: readonly Estimate[],
    spanTime: Milliseconds,
  ) => {
    const remainingEngines = estimates.length - chosen.length;
    const shortage = Math.max(0, enginesForShort - remainingEngines) /
      enginesForShort;
    const gap = Math.max(0, spanTime - maximumEventGap);
    const arrivals = shortRequests * gap / SHORT_REQUEST_DURATION_MILLISECONDS;
    return arrivals * shortage * SHORT_REQUEST_WEIGHT;
  };
  const maximumSpans = Math.min(
    MAXIMUM_SPANS,
    estimates.length,
    Math.max(1, Math.floor(request.promptTokens / MINIMUM_SPAN_TOKENS)),
  );
  let best: { cost: number; chosen: readonly Estimate[] } | undefined;
  for (let count = 1; count <= maximumSpans; count++) {
    const spanTime = prefill / count;
    const chosen = estimates
      .map((item) => ({
        item,
        cost: delayCostOf(item, spanTime) + latenessCostOf(item, spanTime),
      }))
      .sort((left, right) =>
        left.cost - right.cost ||
        byId(right.item.candidate, left.item.candidate)
      )
      .slice(0, count)
      .map(({ item }) => item);
    const freeTokens = chosen.reduce((sum, item) => sum + item.freeTokens, 0);
    if (freeTokens < requiredMemory(request)) continue;
    const delayCost = chosen.reduce(
      (sum, item) => sum + delayCostOf(item, spanTime),
      0,
    );
    const latenessCost = Math.max(
      ...chosen.map((item) => latenessCostOf(item, spanTime)),
    );
    const cost = delayCost + arrivalCostOf(chosen, spanTime) + latenessCost;
    if (!best || cost < best.cost) best = { cost, chosen };
  }
  if (!best) return undefined;
  const spanTime = prefill / best.chosen.length;
  const primary = leastOf(best.chosen, ({ freeTokens }) => -freeTokens)!;
  return {
    primary: primary.candidate,
    helpers: best.chosen
      .filter((item) => item !== primary)
      .map(({ candidate }) => candidate),
    firstEventTime: spanTime +
      Math.max(...best.chosen.map(({ wait, pass }) => wait + pass)),
    spanTime,
  };
}

/// A share of a prompt's memory that is to be reserved on a helper engine.
export interface MemoryShare {
  readonly candidate: Candidate;
  readonly tokens: number;
}

/// Shares of the memory that the primary lacks; undefined if all engines
/// together lack memory, empty if the primary has enough.
export function shareMemory(
  profile: EngineProfile,
  request: PromptSize,
  plan: EnginePlan,
): readonly MemoryShare[] | undefined {
  const atPrimary = freeMemory(profile, plan.primary);
  let missing = requiredMemory(request) - Math.max(0, atPrimary);
  const shares: MemoryShare[] = [];
  const byFreeMemory = [...plan.helpers].sort((left, right) =>
    freeMemory(profile, right) - freeMemory(profile, left)
  );
  for (const candidate of byFreeMemory) {
    if (missing <= 0) break;
    const tokens = Math.min(missing, freeMemory(profile, candidate));
    if (tokens <= 0) continue;
    shares.push({ candidate, tokens });
    missing -= tokens;
  }
  return missing > 0 ? undefined : shares;
}

/// Chooses the upstream for a call to a service without an engine profile.
export function placeCall(
  candidates: readonly Candidate[],
  callTime: Milliseconds,
): Candidate | undefined {
  return leastOf(candidates, ({ upstream, work, ...candidate }) => {
    const share = work.requests / Math.max(1, upstream.slots);
    const queued = Math.max(0, work.requests + 1 - upstream.slots);
    return penaltyOf({ upstream, work, ...candidate }) +
      callTime * (share + queued);
  });
}
