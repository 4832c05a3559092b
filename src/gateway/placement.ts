import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";
import { passTime, prefillTime } from "./engine_cost.ts";
import type { Upstream } from "./upstream.ts";
import type { UpstreamWork } from "./in_flight_work.ts";

/// Where a request goes. An engine reads prompts within the passes in which it
/// writes, so a long prompt stops every stream beside it. Short prompts gather
/// on few engines, the same ones for all VMs, so that others are free of them.
/// A long prompt is read in parts by as many engines as make it the least late,
/// weighed against the streams that its parts would stop for too long.

/// An upstream that could take the request, and what it has to do.
export interface Candidate {
  readonly upstream: Upstream;
  readonly work: UpstreamWork;
  /// Share of its recent answers that failed, 0 to 1.
  readonly failureShare: number;
  /// Whether it has been unreachable lately.
  readonly isSuspended: boolean;
  /// Whether it is in this VM's data centre.
  readonly isLocal: boolean;
}

export interface PromptSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export interface EngineRequest extends PromptSize {
  /// Time to the first event that the caller counts as good.
  readonly objective: Milliseconds;
  /// Shortest pause that streams on these engines count as good.
  readonly maximumEventGap: Milliseconds;
  /// Time in which VMs don't hear of each other's placements.
  readonly reportDelay: Milliseconds;
  /// This placement's part of chance, from 0 up to 1.
  readonly randomValue: number;
}

/// Engines for one prompt.
export interface EnginePlan {
  readonly primary: Candidate;
  /// Engines that read a part each, the primary not among them.
  readonly helpers: readonly Candidate[];
  /// Expected time to the first event.
  readonly firstEventTime: Milliseconds;
  /// Reading time of one part.
  readonly spanTime: Milliseconds;
}

/// Reading that streams beside it bear: this share of the pause that they
/// count as good. The rest is for the pass itself and other readers.
const BORNE_PAUSE_SHARE = 0.8;
/// Reading that is worth splitting among the engines of short prompts.
const SPLIT_PAUSE_SHARE = 0.4;
/// Share of an engine's slots up to which short requests are gathered on it.
/// The rest takes what other VMs send before this one hears of it.
const GATHERED_SLOTS_SHARE = 0.6;
/// Share of an engine's slots up to which prompts that wait are sent to it, and
/// up to which it is given parts of others' prompts. An engine that is kept full
/// lets the next one wait for a slot though it has been read, and one that reads
/// parts of as many prompts as it has slots refuses more.
const FILLED_SLOTS_SHARE = 0.8;
/// Share of failed results from which short requests are gathered elsewhere:
/// three failures in a row reach it, by the weight of one result.
const GATHERED_FAILURE_SHARE = 0.3;
/// Share of the objective that a gathered request may be expected to take. The
/// estimate leaves out what the pass under way reads, about a third of it.
const GATHERED_OBJECTIVE_SHARE = 0.55;
/// Engines among which short prompts are dealt out by chance for each one that
/// arrives while VMs don't hear of each other: with three, one in three of these
/// meets another on its engine.
const ENGINES_PER_UNSEEN = 3;
/// Engines that one prompt may be read by; the platform allows 16 beside the
/// first.
const MOST_PARTS = 17;
/// A smaller part costs an engine more in passes than it saves.
const SMALLEST_PART_TOKENS = 2_048;
/// Share of the memory that placement fills; the rest is for what other VMs
/// place before this one hears of it.
const USED_MEMORY_SHARE = 0.95;
/// Delay that stands for certain failure, in the comparison of upstreams.
const FAILURE_MILLISECONDS: Milliseconds = 1_000;
const SUSPENSION_MILLISECONDS: Milliseconds = 60_000;
/// Delay that stands for another data centre: a round trip and its bytes.
const FAR_MILLISECONDS: Milliseconds = 2;
/// Output tokens weigh as ten prompt tokens, as engines spend on them.
const OUTPUT_WEIGHT = 10;
/// Size of a short request, in weighted tokens, which a pause harms: about
/// 5,000 of prompt and 1,500 of output.
const SHORT_REQUEST_WEIGHT = 20_000;

/// Whether reading the prompt in one piece would make streams beside it pause
/// for too long.
export function isLong(profile: EngineProfile, request: EngineRequest) {
  const borne = request.maximumEventGap * BORNE_PAUSE_SHARE;
  return prefillTime(profile, request.promptTokens) > borne;
}

const byId = (left: Candidate, right: Candidate) =>
  left.upstream.id < right.upstream.id ? -1 : 1;

/// Chooses the engines for a prompt.
export function placePrompt(
  profile: EngineProfile,
  request: EngineRequest,
  candidates: readonly Candidate[],
): EnginePlan | undefined {
  const whole = prefillTime(profile, request.promptTokens);
  return whole > request.maximumEventGap * SPLIT_PAUSE_SHARE
    ? placeLong(profile, request, candidates)
    : placeShort(profile, request, candidates);
}

/// Requests up to which an engine is sent prompts that have waited for a slot.
export function usableSlots({ slots }: Upstream): number {
  return slots * FILLED_SLOTS_SHARE;
}

export function requiredMemory(
  { promptTokens, outputTokens }: PromptSize,
): number {
  return promptTokens + outputTokens;
}

function freeMemory(profile: EngineProfile, candidate: Candidate): number {
  // Whole tokens: reservations are of whole tokens too.
  return Math.floor(profile.memoryTokens * USED_MEMORY_SHARE) -
    candidate.work.memoryTokens;
}

/// Delay that stands for what is wrong with an upstream.
function penaltyOf(candidate: Candidate): Milliseconds {
  return candidate.failureShare * FAILURE_MILLISECONDS +
    (candidate.isSuspended ? SUSPENSION_MILLISECONDS : 0) +
    (candidate.isLocal ? 0 : FAR_MILLISECONDS);
}

function passOf(profile: EngineProfile, { work }: Candidate): Milliseconds {
  return passTime(profile, {
    decodingRequests: Math.min(work.requests + 1, profile.slots),
    contextTokens: work.memoryTokens,
  });
}

/// Time until an engine begins to read something new.
function waitOf(profile: EngineProfile, candidate: Candidate): Milliseconds {
  const { requests, prefillMilliseconds: readMilliseconds } = candidate.work;
  const excess = Math.max(0, requests + 1 - profile.slots);
  const pass = passOf(profile, candidate);
  const residual = requests > 0 ? pass / 2 : 0;
  // A request that finds no slot waits for others to end.
  return readMilliseconds + residual + excess * pass * 2;
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

/// About how many short requests are placed in the time in which VMs don't hear
/// of each other's placements.
function unseenRequests(
  { reportDelay: unseen }: EngineRequest,
  candidates: readonly Candidate[],
): number {
  return shortRequestsOf(candidates) * unseen / SHORT_REQUEST_MILLISECONDS;
}

/// Chooses the engine for a prompt that is read in one piece.
export function placeShort(
  profile: EngineProfile,
  request: EngineRequest,
  candidates: readonly Candidate[],
): EnginePlan | undefined {
  const own = prefillTime(profile, request.promptTokens);
  const expected = (candidate: Candidate) =>
    waitOf(profile, candidate) + own + passOf(profile, candidate);
  const memory = requiredMemory(request);
  const fitting = candidates.filter((candidate) =>
    memory <= freeMemory(profile, candidate)
  );
  const planOf = (primary: Candidate): EnginePlan => ({
    primary,
    helpers: [],
    firstEventTime: expected(primary),
    spanTime: own,
  });
  // All VMs gather on the same engines in the same order, but not on the same
  // one in a moment in which they don't hear of each other.
  const open = [...fitting].sort(byId).filter((candidate) =>
    candidate.work.requests < profile.slots * GATHERED_SLOTS_SHARE &&
    candidate.failureShare < GATHERED_FAILURE_SHARE && !candidate.isSuspended &&
    expected(candidate) <= request.objective * GATHERED_OBJECTIVE_SHARE
  );
  const count = 1 + ENGINES_PER_UNSEEN * unseenRequests(request, candidates);
  const gathered = open[
    Math.floor(request.randomValue * Math.min(open.length, Math.floor(count)))
  ];
  if (gathered) return planOf(gathered);
  const best = leastOf(
    fitting.length > 0 ? fitting : candidates,
    (candidate) => expected(candidate) + penaltyOf(candidate),
  );
  return best && planOf(best);
}

/// Chance that something is late whose expected time is this share of its
/// bound: none below `from`, certain above `to`.
function lateChance(
  share: number,
  { from, to }: { readonly from: number; readonly to: number },
): number {
  return Math.min(1, Math.max(0, (share - from) / (to - from)));
}

/// Other VMs place prompts on the same engines at the same moment, so a first
/// event may come a good deal later than expected.
const FIRST_EVENT_RAMP = { from: 0.5, to: 1 };
/// Pauses follow from what is known of one engine.
const PAUSE_RAMP = { from: 0.8, to: 1.05 };
/// About the time that a short request takes; with the number that run it
/// tells how many arrive.
const SHORT_REQUEST_MILLISECONDS: Milliseconds = 1_500;
/// Weight of being early at all, which frees engines sooner.
const EARLINESS_WEIGHT = 0.05;

/// Chooses the engines for a prompt that is worth reading in parts.
export function placeLong(
  profile: EngineProfile,
  request: EngineRequest,
  candidates: readonly Candidate[],
): EnginePlan | undefined {
  const { objective, maximumEventGap: pause } = request;
  const whole = prefillTime(profile, request.promptTokens);
  const own = request.promptTokens + OUTPUT_WEIGHT * request.outputTokens;
  const most = profile.slots * FILLED_SLOTS_SHARE;
  const open = candidates.filter(({ work }) => work.spans < most);
  const known = (open.length > 0 ? open : candidates).map((candidate) => ({
    candidate,
    pass: passOf(profile, candidate),
    wait: waitOf(profile, candidate) + penaltyOf(candidate),
    room: Math.max(0, freeMemory(profile, candidate)),
  }));
  type Known = typeof known[number];
  /// Weight of the streams that a part would stop for too long.
  const harmOf = ({ candidate, pass }: Known, part: Milliseconds) => {
    const { shortRequests, prefillMilliseconds: readMilliseconds } =
      candidate.work;
    const stop = readMilliseconds + part + pass;
    return shortRequests * SHORT_REQUEST_WEIGHT *
      lateChance(stop / pause, PAUSE_RAMP);
  };
  const lateOf = ({ pass, wait }: Known, part: Milliseconds) => {
    const share = (wait + part + pass) / objective;
    return own * (lateChance(share, FIRST_EVENT_RAMP) +
      EARLINESS_WEIGHT * share);
  };
  const shortRequests = shortRequestsOf(
    known.map(({ candidate }) => candidate),
  );
  const neededByShort = 1 +
    shortRequests / (profile.slots * GATHERED_SLOTS_SHARE);
  /// Weight of the short requests that arrive while so many engines are
  /// stopped that the others can't take them.
  const harmOfArrivals = (chosen: readonly Known[], part: Milliseconds) => {
    const left = known.length - chosen.length;
    const lacking = Math.max(0, neededByShort - left) / neededByShort;
    const stop = Math.max(0, part - pause);
    const arrivals = shortRequests * stop / SHORT_REQUEST_MILLISECONDS;
    return arrivals * lacking * SHORT_REQUEST_WEIGHT;
  };
  const mostParts = Math.min(
    MOST_PARTS,
    known.length,
    Math.max(1, Math.floor(request.promptTokens / SMALLEST_PART_TOKENS)),
  );
  let best: { cost: number; chosen: readonly Known[] } | undefined;
  for (let count = 1; count <= mostParts; count++) {
    const part = whole / count;
    const chosen = known
      .map((item) => ({
        item,
        cost: harmOf(item, part) + lateOf(item, part),
      }))
      .sort((left, right) =>
        left.cost - right.cost ||
        byId(right.item.candidate, left.item.candidate)
      )
      .slice(0, count)
      .map(({ item }) => item);
    const room = chosen.reduce((sum, item) => sum + item.room, 0);
    if (room < requiredMemory(request)) continue;
    const harm = chosen.reduce((sum, item) => sum + harmOf(item, part), 0);
    const late = Math.max(...chosen.map((item) => lateOf(item, part)));
    const cost = harm + harmOfArrivals(chosen, part) + late;
    if (!best || cost < best.cost) best = { cost, chosen };
  }
  if (!best) return undefined;
  const partTime = whole / best.chosen.length;
  const primary = leastOf(best.chosen, ({ room }) => -room)!;
  return {
    primary: primary.candidate,
    helpers: best.chosen
      .filter((item) => item !== primary)
      .map(({ candidate }) => candidate),
    firstEventTime: partTime +
      Math.max(...best.chosen.map(({ wait, pass }) => wait + pass)),
    spanTime: partTime,
  };
}

/// A share of a prompt's memory to be reserved on a helper.
export interface MemoryShare {
  readonly candidate: Candidate;
  readonly tokens: number;
}

/// Shares of a prompt that the primary can't hold alone, or undefined if all
/// engines together can't; empty if the primary can.
export function shareMemory(
  profile: EngineProfile,
  request: PromptSize,
  plan: EnginePlan,
): readonly MemoryShare[] | undefined {
  const atPrimary = freeMemory(profile, plan.primary);
  let missing = requiredMemory(request) - Math.max(0, atPrimary);
  const shares: MemoryShare[] = [];
  const byRoom = [...plan.helpers].sort((left, right) =>
    freeMemory(profile, right) - freeMemory(profile, left)
  );
  for (const candidate of byRoom) {
    if (missing <= 0) break;
    const tokens = Math.min(missing, freeMemory(profile, candidate));
    if (tokens <= 0) continue;
    shares.push({ candidate, tokens });
    missing -= tokens;
  }
  return missing > 0 ? undefined : shares;
}

/// Chooses the upstream for a call of a service without a cost model.
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
