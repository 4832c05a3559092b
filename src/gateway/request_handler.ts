import { findCrashRefusal } from "../requests/crash_attribution.ts";
import { abbreviateFingerprint } from "../requests/crash_records.ts";
import type { Milliseconds } from "../support/clock.ts";
import { type Attempt, startAttempt } from "./attempt.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { HelperEngine } from "./dialect.ts";
import {
  type MemoryReservations,
  reserveMemory,
} from "./memory_reservations.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import { createRequestPlacer, type Placement } from "./request_placer.ts";
import { retryAfterSeconds } from "./retry_after.ts";
import type { Upstream } from "./upstream.ts";

/// Handles one request: makes attempts at upstreams until one responds, the
/// deadline passes or no further attempt is allowed. Every request ends exactly
/// once.

/// Number of refusals by upstreams after which the request is refused: they
/// lack capacity, and further attempts only add to their load.
const MAXIMUM_REFUSALS = 3;
/// Remaining time below which a further attempt can't succeed.
const MINIMUM_ATTEMPT_MILLISECONDS: Milliseconds = 20;
/// Delay before a retry when all upstreams have had an attempt.
const RETRY_DELAY_MILLISECONDS: Milliseconds = 60;
/// Age from which a decision is not acted on: the owner of the placement no
/// longer counts it, and a paused process can't know what has changed. It is less
/// than the lifetime of a memory reservation.
const MAXIMUM_DECISION_AGE_MILLISECONDS: Milliseconds = 1_000;
/// Idle timeout of a stream, in multiples of the route's maximum event gap. The
/// engine then counts as failed.
const IDLE_TIMEOUT_FACTOR = 2.5;
const MINIMUM_IDLE_TIMEOUT_MILLISECONDS: Milliseconds = 900;
/// Work that depends on a failed engine stalls for 1.5 s on the platform before
/// it is refused; a full engine refuses within a round trip.
const STALL_MILLISECONDS: Milliseconds = 700;

/// How a request ended, for logs and metrics.
export interface RequestOutcome {
  readonly outcome:
    | "served"
    | "upstream_failure"
    | "refused"
    | "failed"
    | "timed_out"
    | "caller_gone"
    | "broken_off";
  readonly status: number | undefined;
  readonly reason: string;
  readonly attempts: number;
  /// Time from arrival to the first byte of the response.
  readonly firstByte: Milliseconds | undefined;
  /// Longest time between two writes of a stream.
  readonly longestEventGap: Milliseconds;
  /// Whether the response met the route's objective and maximum event gap.
  readonly isInTime: boolean;
  /// The last placement: its estimate and the inputs of the estimate.
  readonly placement: {
    readonly upstream: string;
    readonly parts: number;
    readonly expectedFirst: Milliseconds;
    /// Known work at the upstream before the placement.
    readonly requestsBefore: number;
    readonly readingBefore: Milliseconds;
  } | undefined;
}

/// Handles a request to its end and resolves to the outcome.
export async function handleRequest(
  context: RequestContext,
  request: GatewayRequest,
  response: CallerResponse,
): Promise<RequestOutcome> {
  const {
    clock,
    view,
    health,
    inFlightWork,
    placements,
    retryBudget,
    upstreamLimits,
    upstreamHolds,
    dialect,
    log,
    metrics,
  } = context;
  const { route, service, metadata } = request;
  const allowed = Math.min(
    metadata.callerTimeout ?? Infinity,
    route.timeoutMilliseconds,
  );
  const deadline = request.arrivedAt + allowed;
  const mayResume = route.kind === "stream" && route.isResumable;
  const isRetryable = route.kind === "safe" || mayResume;
  const placer = createRequestPlacer(context, request);
  const suspects = {
    fingerprint: request.fingerprint,
    parts: metadata.sharedParts,
  };
  const isLong = placer.isLong;

  let attempt: Attempt | undefined;
  let isTimedOut = false;
  /// Ends the wait for a slot.
  const stopped = new AbortController();
  /// When the request is expected to be served.
  let retryEstimate: Milliseconds | undefined;
  let attempts = 0;
  /// Attempts that have reached an upstream and count as its load.
  let deliveredAttempts = 0;
  let refusals = 0;
  let mayHaveExecuted = false;
  let hasCrashedUpstream = false;
  let lastId: string | undefined;
  let lastReason = "no upstream is listed";
  let firstByte: Milliseconds | undefined;
  let lastWriteAt: Milliseconds | undefined;
  let longestEventGap: Milliseconds = 0;
  let lastPlacement: RequestOutcome["placement"];
  let lastResponse: (AttemptResult & { kind: "answered" }) | undefined;
  /// Upstreams that may have executed the request.
  const mayHaveExecutedAt: Upstream[] = [];
  const avoided = new Set<string>();
  /// Upstreams that had no permit for the request.
  const heldBackBy = new Set<string>();

  const remaining = () => deadline - clock.now();
  const timer = clock.schedule(Math.max(0, remaining()), () => {
    isTimedOut = true;
    stopped.abort();
    attempt?.abort();
  });
  response.onDisconnect(() => {
    stopped.abort();
    attempt?.abort();
  });
  response.onDrain(() => attempt?.resume());

  const isStillListed = (upstream: Upstream) => {
    const listed = view.upstream(upstream.id);
    return listed !== undefined && listed.startedAt === upstream.startedAt;
  };

  const hasUntriedUpstream = () =>
    view.available(service.name).some(({ id }) =>
      !avoided.has(id) && !health.isSuspended(id)
    );

  const mayUseAnotherUpstream = () =>
    mayHaveExecutedAt.filter(isStillListed).length < route.maxUpstreams;

  const onEvents = (
    work: { prefillDone(): void },
    upstream: Upstream,
  ): Parameters<typeof startAttempt>[2]["onEvents"] =>
  (bytes, head, id) => {
    work.prefillDone();
    health.recordResponding(upstream.id);
    const now = clock.now();
    longestEventGap = Math.max(longestEventGap, now - (lastWriteAt ?? now));
    lastWriteAt = now;
    if (!response.isStarted()) {
      recordFirstByte();
      const headers = dialect.buildCallerHeaders(head.headers);
      response.startStream({ ...head, headers });
    }
    if (id !== undefined) lastId = id;
    return bytes.length === 0 || response.write(bytes);
  };

  /// Records a placement and its inputs for the log.
  const recordPlacement = ({ decision }: Placement) => {
    lastPlacement = {
      upstream: decision.upstream,
      parts: 1 + decision.helpers.length,
      expectedFirst: Math.round(decision.firstEventTime),
      requestsBefore: decision.requestsBefore,
      readingBefore: decision.prefillBefore,
    };
  };

  const attemptAt = async (
    placement: Placement,
    helpers: readonly HelperEngine[],
  ): Promise<AttemptResult> => {
    const { upstream, decision } = placement;
    const work = placer.startWork(decision);
    health.recordSent(upstream.id);
    const sentAt = clock.now();
    attempt = startAttempt(context, request, {
      upstream,
      helpers,
      isRepeated: avoided.has(upstream.id),
      priority: placer.priority,
      remaining: remaining(),
      resumeAfterEventId: response.isStarted() ? lastId : undefined,
      firstEventTimeout: placer.firstEventTimeout(decision),
      idleTimeout: Math.max(
        MINIMUM_IDLE_TIMEOUT_MILLISECONDS,
        IDLE_TIMEOUT_FACTOR * route.pauseMilliseconds,
      ),
      extendsTimeout: isLong,
      mayRetry: () =>
        isRetryable && mayHaveExecutedAt.length + 1 < route.maxUpstreams,
      remainingPrefill: () => placements.remainingPrefill(upstream.id),
      onResponse: (metadata, tunnelVm) => {
        const { requestLimit: limit, isAuthentic, retryAfter } = metadata;
        if (metadata.isLeaving) context.leavingUpstreams.record(upstream);
        if (retryAfter) {
          upstreamHolds.record(upstream.id, { duration: retryAfter, tunnelVm });
        }
        if (limit === undefined && !isAuthentic) return;
        upstreamLimits.record(upstream.id, { limit, sentAt });
      },
      onSilence: () => metrics.silences.inc({ route_kind: route.kind }),
      onEvents: onEvents(work, upstream),
    });
    const result = await attempt.result;
    attempt = undefined;
    if (result.kind === "not_run") work.prefillDone();
    work.end();
    recordResult(upstream, result, clock.now() - sentAt);
    return result;
  };

  const recordFirstByte = () => {
    firstByte = clock.now() - request.arrivedAt;
    const labels = { route_kind: route.kind };
    metrics.firstByteSeconds.observe(labels, firstByte / 1_000);
  };

  const recordResult = (
    upstream: Upstream,
    result: AttemptResult,
    took: Milliseconds,
  ) => {
    const hadNoPath = result.kind === "not_run" && result.hadNoPath === true;
    const isPathLost = hadNoPath ||
      (result.kind === "failed" && result.isPathLost);
    if (result.kind !== "aborted" && !isPathLost) {
      const hasFailed = result.kind !== "streamed" &&
        (result.kind !== "answered" || result.status >= 500);
      inFlightWork.recordResult(upstream.id, hasFailed);
    }
    if (result.kind === "streamed") return health.recordSuccess(upstream.id);
    if (result.kind === "aborted") return;
    if (result.kind === "answered") {
      if (result.status < 500) health.recordSuccess(upstream.id);
      else health.recordFailure(upstream.id);
      if (result.status < 300) return;
    }
    if (result.kind === "failed" && result.hasCrashed) {
      const { id, startedAt } = upstream;
      void context.crashRecords.record({
        ...suspects,
        process: `${id} ${startedAt}`,
        ran: took,
        isRetry: hasCrashedUpstream,
      });
      hasCrashedUpstream = true;
    }
    if (hadNoPath) health.recordNoPath(upstream.id);
    if (result.kind !== "answered" && !isPathLost) {
      if (result.isUnreachable) health.recordUnreachable(upstream.id);
      else if (result.kind === "failed" && !result.mayBeStale) {
        health.recordBroken(upstream.id);
      } else health.recordFailure(upstream.id);
    }
    log.warn("try ended", {
      request: metadata.attemptId,
      fingerprint: abbreviateFingerprint(request.fingerprint),
      promptParts: metadata.sharedParts.join() || undefined,
      route: route.name,
      upstream: upstream.id,
      address: upstream.address,
      try: attempts,
      result: result.kind,
      status: result.kind === "answered" ? result.status : undefined,
      reason: "reason" in result ? result.reason : undefined,
      faultAddress: result.kind === "not_run" ? result.faultAddress : undefined,
      took: Math.round(took),
      remaining: Math.round(remaining()),
      eventsUpTo: lastId,
      viewRevision: view.revision(),
    });
  };

  const end = (
    outcome: RequestOutcome["outcome"],
    status: number | undefined,
    reason: string,
  ): RequestOutcome => {
    timer.cancel();
    return {
      outcome,
      status,
      reason,
      attempts,
      firstByte,
      longestEventGap,
      isInTime: outcome === "served" && firstByte !== undefined &&
        firstByte <= route.objectiveMilliseconds &&
        longestEventGap <= route.pauseMilliseconds,
      placement: lastPlacement,
    };
  };

  /// Ends the request when no further attempt is made.
  const giveUp = (): RequestOutcome => {
    if (response.isClosed()) return end("caller_gone", undefined, lastReason);
    if (response.isStarted()) {
      response.abort();
      const outcome = isTimedOut ? "timed_out" : "broken_off";
      return end(outcome, undefined, lastReason);
    }
    if (lastResponse) {
      const headers = dialect.buildCallerHeaders(lastResponse.headers);
      response.forward({ ...lastResponse, headers }, lastResponse.body);
      return end(
        "upstream_failure",
        lastResponse.status,
        "upstream's response",
      );
    }
    if (!mayHaveExecuted) {
      response.sendText(
        503,
        `not run: ${lastReason}\n`,
        retryAfterSeconds(retryEstimate, context.random),
      );
      return end("refused", 503, lastReason);
    }
    const status = isTimedOut ? 504 : 502;
    response.sendText(status, `${lastReason}\n`);
    return end(isTimedOut ? "timed_out" : "failed", status, lastReason);
  };

  /// Waits until a limit allows another request. Resolves to false at once if the
  /// request would miss its objective by then, or the caller of a stream would
  /// have disconnected.
  const waitForLimit = async (delay: Milliseconds): Promise<boolean> => {
    const [since, patience] = response.isStarted()
      ? [lastWriteAt ?? request.arrivedAt, route.silenceMilliseconds]
      : [request.arrivedAt, route.objectiveMilliseconds];
    if (clock.now() + delay > since + patience) return false;
    await clock.sleep(delay, stopped.signal).catch(() => {
      // Aborted; the request is over.
    });
    return true;
  };

  const recordCompleted = () =>
    context.crashRecords.clear(suspects.fingerprint, suspects.parts);

  const isOver = () => response.isClosed() || isTimedOut;
  const crashRefusal = () => findCrashRefusal(context.crashRecords, suspects);

  while (true) {
    if (isOver() || remaining() < MINIMUM_ATTEMPT_MILLISECONDS) return giveUp();
    const refusal = crashRefusal();
    if (refusal) {
      lastReason = refusal.reason;
      retryEstimate = refusal.retryAfter;
      return giveUp();
    }
    const decision = await placer.decide({
      avoided,
      remaining: remaining(),
      isResumed: response.isStarted(),
      signal: stopped.signal,
    });
    if (decision.kind === "refused") {
      lastReason = decision.reason;
      retryEstimate = decision.retryAfter;
      const mayWait = decision.isAtLimit && retryEstimate !== undefined;
      if (mayWait && await waitForLimit(retryEstimate!)) continue;
      return giveUp();
    }
    const decidedAt = clock.now();
    const placement = placer.resolve(decision);
    if (!placement || isOver()) {
      placements.abandon(decision);
      if (!placement) avoided.add(decision.upstream);
      continue;
    }
    const isResumed = response.isStarted();
    if (!await upstreamLimits.take(decision.upstream, isResumed)) {
      placements.abandon(decision);
      lastReason = "the upstream accepts no more requests for now";
      const wasHeldBack = heldBackBy.has(decision.upstream);
      heldBackBy.add(decision.upstream);
      // The owner of the placement may not know that there is no permit.
      retryEstimate = upstreamLimits.delayOf(decision.upstream);
      if (wasHeldBack && !await waitForLimit(retryEstimate)) return giveUp();
      continue;
    }
    if (deliveredAttempts > 0 && !retryBudget.take(service.name)) {
      placements.abandon(decision);
      lastReason = `${lastReason}; no repeats are left`;
      return giveUp();
    }
    if (attempts === 0) retryBudget.recordRequest(service.name);
    recordPlacement(placement);
    let reservations: MemoryReservations | undefined;
    let helpers: readonly HelperEngine[] = placement.helpers.map(
      ({ address }) => ({ address }),
    );
    if (placement.reserved.length > 0) {
      reservations = await reserveMemory(
        context,
        placement,
        metadata.attemptId,
      );
      if (!reservations) {
        placements.abandon(decision);
        lastReason = "memory could not be reserved";
        refusals += 1;
        if (refusals >= MAXIMUM_REFUSALS || isOver()) return giveUp();
        await clock.sleep(RETRY_DELAY_MILLISECONDS);
        continue;
      }
      helpers = reservations.helpers;
    }
    const isOutdated =
      clock.now() - decidedAt >= MAXIMUM_DECISION_AGE_MILLISECONDS;
    const isHeld = upstreamHolds.delayOf(decision.upstream) > 0;
    if (isOver() || isOutdated || isHeld || crashRefusal()) {
      placements.abandon(decision);
      await reservations?.release();
      if (isOutdated) lastReason = "the decision was outdated";
      continue;
    }
    attempts += 1;
    if (attempts > 1) {
      const reason = response.isStarted() ? "resume" : "repeat";
      metrics.retries.inc({ reason });
    }
    const startedAt = clock.now();
    const result = await attemptAt(placement, helpers);
    void reservations?.release();

    const { upstream } = placement;
    if (result.kind === "aborted") {
      // The upstream may still execute a request that was sent.
      mayHaveExecuted ||= result.wasSent;
      lastReason = response.isClosed()
        ? "the caller disconnected"
        : "the time is up";
      return giveUp();
    }
    if (result.kind === "streamed") {
      response.endStream();
      recordCompleted();
      return end("served", 200, "");
    }
    if (result.kind === "answered") {
      if (result.status < 500 && !response.isStarted()) {
        const headers = dialect.buildCallerHeaders(result.headers);
        response.forward({ ...result, headers }, result.body);
        recordCompleted();
        recordFirstByte();
        return end("served", result.status, "");
      }
      mayHaveExecuted = true;
      deliveredAttempts += 1;
      lastResponse = result;
      lastReason = `the upstream answered ${result.status}`;
      mayHaveExecutedAt.push(upstream);
      avoided.add(upstream.id);
      if (!isRetryable || !mayUseAnotherUpstream()) return giveUp();
      continue;
    }
    lastReason = result.reason;
    avoided.add(upstream.id);
    const hasArrived = result.kind === "failed" || !result.isUnreachable;
    if (hasArrived) deliveredAttempts += 1;
    if (result.kind === "not_run") {
      if (result.faultAddress !== undefined) {
        const faulty = view.available(service.name).find(({ address }) =>
          address === result.faultAddress
        );
        if (faulty) {
          avoided.add(faulty.id);
          // A full engine refuses at once; a failed one stalls the others.
          const took = clock.now() - startedAt;
          if (took > STALL_MILLISECONDS) health.recordUnreachable(faulty.id);
        }
      }
      const isLast = !hasUntriedUpstream();
      // An upstream that is gone says nothing about the capacity of the others.
      if (isLast || !result.isUnreachable) refusals += 1;
      const isGone = isLast && result.isUnreachable &&
        attempts >= MAXIMUM_REFUSALS;
      if (isGone || refusals >= MAXIMUM_REFUSALS) return giveUp();
      if (isLast) {
        await clock.sleep(RETRY_DELAY_MILLISECONDS);
      }
      continue;
    }
    mayHaveExecuted = true;
    mayHaveExecutedAt.push(upstream);
    if (!isRetryable || !mayUseAnotherUpstream()) return giveUp();
    // Without an event id the stream can't be resumed.
    if (response.isStarted() && lastId === undefined) return giveUp();
  }
}
