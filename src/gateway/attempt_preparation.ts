import { findCrashRefusal } from "../requests/crash_attribution.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { HelperEngine } from "./dialect.ts";
import {
  type MemoryReservations,
  reserveMemory,
} from "./memory_reservations.ts";
import type { PlacedDecision } from "./placement_decision.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { Placement, RequestPlacer } from "./request_placer.ts";
import type { RequestProgress } from "./request_progress.ts";

/// Prepares the attempts of one request: where it is sent, and what each attempt
/// needs before it is.

/// Number of refusals by upstreams after which the request is refused: they
/// lack capacity, and further attempts only add to their load.
export const MAXIMUM_REFUSALS = 3;
/// Delay before a retry when all upstreams have had an attempt.
export const RETRY_DELAY_MILLISECONDS: Milliseconds = 60;
/// Remaining time below which a further attempt can't succeed.
const MINIMUM_ATTEMPT_MILLISECONDS: Milliseconds = 20;
/// Age from which a decision is not acted on: the owner of the placement no
/// longer counts it, and a paused process can't know what has changed. It is less
/// than the lifetime of a memory reservation.
const MAXIMUM_DECISION_AGE_MILLISECONDS: Milliseconds = 1_000;

/// An attempt that may be sent now.
export interface PreparedAttempt {
  readonly placement: Placement;
  readonly helpers: readonly HelperEngine[];
  readonly reservations: MemoryReservations | undefined;
}

export interface AttemptPreparation {
  /// Decides on an upstream, and takes a permit, a retry and memory as needed.
  /// Resolves to undefined if no attempt can be made, or if `signal` is aborted;
  /// the progress then has the reason.
  prepare(signal: AbortSignal): Promise<PreparedAttempt | undefined>;
  /// Gives up an attempt that isn't sent.
  discard(prepared: PreparedAttempt): Promise<void>;
}

export interface AttemptPreparationOptions {
  readonly placer: RequestPlacer;
  readonly progress: RequestProgress;
  readonly remaining: () => Milliseconds;
  /// Whether part of the response has been sent.
  readonly isResumed: () => boolean;
}

export function createAttemptPreparation(
  context: RequestContext,
  request: GatewayRequest,
  options: AttemptPreparationOptions,
): AttemptPreparation {
  const { clock, placements, retryBudget, upstreamLimits, upstreamHolds } =
    context;
  const { placer, progress, remaining, isResumed } = options;
  const { route, service, metadata } = request;
  const suspects = {
    fingerprint: request.fingerprint,
    parts: metadata.sharedParts,
  };
  /// Upstreams that had no permit for the request.
  const heldBackBy = new Set<string>();
  /// Engines that didn't respond to a reservation. They are used again if the
  /// others don't suffice.
  const unresponsive = new Set<string>();

  const crashRefusal = () => findCrashRefusal(context.crashRecords, suspects);

  /// Whether the request may be sent: not if this VM is stopping and another one
  /// has to take the request.
  const mayStart = () => {
    if (isResumed() || request.stop.mayStart()) return true;
    const { mayHaveExecuted, mayHaveExecutedAt } = progress;
    if (!mayHaveExecuted && mayHaveExecutedAt.size === 0) {
      progress.lastReason = "this VM is stopping";
    }
    return false;
  };

  /// Waits until a limit allows another request. Resolves to false at once if the
  /// request would miss its objective by then, or the caller of a stream would
  /// have disconnected.
  const waitForLimit = async (delay: Milliseconds, signal: AbortSignal) => {
    const [since, patience] = isResumed()
      ? [progress.lastWriteAt ?? request.arrivedAt, route.silenceMilliseconds]
      : [request.arrivedAt, route.objectiveMilliseconds];
    if (clock.now() + delay > since + patience) return false;
    await clock.sleep(delay, signal).catch(() => {
      // Aborted; no attempt is needed any more.
    });
    return true;
  };

  /// Decides on upstreams that are still listed.
  const place = async (signal: AbortSignal): Promise<Placement | undefined> => {
    while (!signal.aborted && mayStart()) {
      if (remaining() < MINIMUM_ATTEMPT_MILLISECONDS) return undefined;
      const refusal = crashRefusal();
      if (refusal) {
        // Other VMs' records may have led to the refusal.
        context.storedCrashes.save(refusal.key);
        progress.lastReason = refusal.reason;
        progress.retryEstimate = refusal.retryAfter;
        return undefined;
      }
      const decision = await placer.decide({
        avoided: new Set([...progress.avoided, ...unresponsive]),
        remaining: remaining(),
        isResumed: isResumed(),
        signal,
      });
      if (decision.kind === "refused" && unresponsive.size > 0) {
        unresponsive.clear();
        continue;
      }
      if (decision.kind === "refused") {
        const { retryAfter } = decision;
        progress.lastReason = decision.reason;
        progress.retryEstimate = retryAfter;
        const mayWait = decision.isAtLimit && retryAfter !== undefined;
        if (mayWait && await waitForLimit(retryAfter, signal)) continue;
        return undefined;
      }
      const placement = placer.resolve(decision);
      if (placement && !signal.aborted && mayStart()) return placement;
      placements.abandon(decision);
      if (!placement) progress.avoided.add(decision.upstream);
    }
    return undefined;
  };

  /// Takes a permit of the upstream. Resolves to "wait" if the request was
  /// delayed instead, and to "none" if there is none in time.
  const takePermit = async (
    { upstream }: PlacedDecision,
    signal: AbortSignal,
  ): Promise<"taken" | "wait" | "none"> => {
    if (await upstreamLimits.take(upstream, isResumed())) return "taken";
    progress.lastReason = "the upstream accepts no more requests for now";
    const wasHeldBack = heldBackBy.has(upstream);
    heldBackBy.add(upstream);
    // The owner of the placement may not know that there is no permit.
    const delay = upstreamLimits.delayOf(upstream);
    progress.retryEstimate = delay;
    return !wasHeldBack || await waitForLimit(delay, signal) ? "wait" : "none";
  };

  const takeRetry = (): boolean => {
    if (progress.deliveredAttempts === 0) return true;
    if (retryBudget.take(service.name)) return true;
    progress.lastReason = `${progress.lastReason}; no repeats are left`;
    return false;
  };

  /// Reserves memory for the placement, if it needs any. Resolves to undefined
  /// if the engines have none.
  const reserve = async (
    placement: Placement,
  ): Promise<PreparedAttempt | undefined> => {
    if (placement.reserved.length === 0) {
      const helpers = placement.helpers.map(({ address }) => ({ address }));
      return { placement, helpers, reservations: undefined };
    }
    const { attemptId } = metadata;
    const result = await reserveMemory(context, placement, attemptId);
    if (result.kind === "refused") {
      result.unresponsive.forEach((id) => unresponsive.add(id));
      progress.lastReason = "memory could not be reserved";
      progress.refusals += 1;
      return undefined;
    }
    const { reservations } = result;
    return { placement, helpers: reservations.helpers, reservations };
  };

  const discard = async ({ placement, reservations }: PreparedAttempt) => {
    placements.abandon(placement.decision);
    await reservations?.release();
  };

  return {
    discard,
    async prepare(signal) {
      // One is enough for however many decisions it takes.
      let hasRetry = false;
      while (true) {
        const placement = await place(signal);
        if (!placement) return undefined;
        const { decision } = placement;
        const decidedAt = clock.now();
        const permit = await takePermit(decision, signal);
        if (permit === "taken") hasRetry ||= takeRetry();
        if (permit !== "taken" || !hasRetry) {
          placements.abandon(decision);
          if (permit === "wait") continue;
          return undefined;
        }
        if (progress.attempts === 0) retryBudget.recordRequest(service.name);
        const prepared = await reserve(placement);
        if (!prepared) {
          placements.abandon(decision);
          if (progress.refusals >= MAXIMUM_REFUSALS || signal.aborted) {
            return undefined;
          }
          await clock.sleep(RETRY_DELAY_MILLISECONDS);
          continue;
        }
        const isOutdated =
          clock.now() - decidedAt >= MAXIMUM_DECISION_AGE_MILLISECONDS;
        const isHeld = upstreamHolds.delayOf(decision.upstream) > 0;
        const isUsable = !signal.aborted && !isOutdated && !isHeld &&
          mayStart() && !crashRefusal();
        if (isUsable) return prepared;
        await discard(prepared);
        if (isOutdated) progress.lastReason = "the decision was outdated";
      }
    },
  };
}
