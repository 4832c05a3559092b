import type { Milliseconds } from "../support/clock.ts";
import { type Attempt, type AttemptResult, startAttempt } from "./attempt.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { HelperEngine } from "./dialect.ts";
import {
  type MemoryReservations,
  reserveMemory,
} from "./memory_reservations.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import { createRequestPlacer, type Placement } from "./request_placer.ts";
import type { Upstream } from "./upstream.ts";

/// The life of one request: tries at upstreams until one answers, the time is
/// up or nothing more may be tried, and exactly one end.

/// Crashes after which a request is taken to be their cause.
const CRASHES_UNTIL_REFUSED = 3;
/// Refusals by upstreams after which the request is refused: they have no
/// room, and further tries only add to their work.
const REFUSALS_TRIED = 3;
/// Time below which a further try can't succeed.
const SHORTEST_TRY_MILLISECONDS: Milliseconds = 20;
/// Pause before a try at upstreams that have all been tried.
const AGAIN_MILLISECONDS: Milliseconds = 60;
/// Time to come back in when nothing is known of a better one: about one pass
/// of the platform's upstream list.
const RETRY_AFTER_SECONDS = 0.4;
/// Pauses of a stream, in multiples of the longest good one, that are taken
/// for the loss of the engine.
const LOST_STREAM_PAUSES = 2.5;
const SHORTEST_LOST_STREAM_MILLISECONDS: Milliseconds = 900;
/// Work that depends on a lost engine stalls for 1.5 s on the platform before
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
  /// Time from arrival to the first byte of the answer.
  readonly firstByte: Milliseconds | undefined;
  /// Longest pause between two writes of a stream.
  readonly longestEventGap: Milliseconds;
  /// Whether the caller got what it counts as good, in time.
  readonly isInTime: boolean;
  /// The last placement: what was expected of it, and from which inputs.
  readonly placement: {
    readonly upstream: string;
    readonly parts: number;
    readonly expectedFirst: Milliseconds;
    /// Work that was known of at the upstream before.
    readonly requestsBefore: number;
    readonly readingBefore: Milliseconds;
  } | undefined;
}

/// Runs a request to its end.
export async function handleRequest(
  context: RequestContext,
  request: GatewayRequest,
  answer: CallerResponse,
): Promise<RequestOutcome> {
  const {
    clock,
    view,
    health,
    inFlightWork: board,
    retryBudget: budget,
    dialect,
    log,
    metrics,
  } = context;
  const { route, service, facts } = request;
  const allowed = Math.min(
    facts.callerTimeout ?? Infinity,
    route.timeoutMilliseconds,
  );
  const deadline = request.arrivedAt + allowed;
  const mayContinue = route.kind === "stream" && route.isResumable;
  const mayRepeat = route.kind === "safe" || mayContinue;
  const placer = createRequestPlacer(context, request);
  const isLong = placer.isLong;

  let attempt: Attempt | undefined;
  let isTimedOut = false;
  let leaveRoom = () => {};
  let retryAfter = RETRY_AFTER_SECONDS;
  let tries = 0;
  /// Tries that have reached an upstream, which count as its load.
  let arrivals = 0;
  let refusals = 0;
  let mayHaveRun = false;
  let lastId: string | undefined;
  let lastReason = "no upstream is listed";
  let firstByte: Milliseconds | undefined;
  let lastWriteAt: Milliseconds | undefined;
  let longestPause: Milliseconds = 0;
  let placed: RequestOutcome["placement"];
  let lastAnswer: (AttemptResult & { kind: "answered" }) | undefined;
  /// Upstreams that may have run the request.
  const ran: Upstream[] = [];
  const avoided = new Set<string>();

  const remaining = () => deadline - clock.now();
  const timer = clock.schedule(Math.max(0, remaining()), () => {
    isTimedOut = true;
    leaveRoom();
    attempt?.abort();
  });
  answer.onDisconnect(() => {
    leaveRoom();
    attempt?.abort();
  });
  answer.onDrain(() => attempt?.resume());

  const isStillThere = (upstream: Upstream) => {
    const listed = view.upstream(upstream.id);
    return listed !== undefined && listed.startedAt === upstream.startedAt;
  };

  const mayRunOnAnother = () =>
    ran.filter(isStillThere).length < route.maxUpstreams;

  const onEvents = (
    work: { prefillDone(): void },
    upstream: Upstream,
  ): Parameters<typeof startAttempt>[2]["onEvents"] =>
  (bytes, head, id) => {
    work.prefillDone();
    health.recordResponding(upstream.id);
    const now = clock.now();
    longestPause = Math.max(longestPause, now - (lastWriteAt ?? now));
    lastWriteAt = now;
    if (!answer.isStarted()) {
      noteFirstByte();
      const headers = dialect.buildCallerHeaders(head.headers);
      answer.startStream({ ...head, headers });
    }
    if (id !== undefined) lastId = id;
    return bytes.length === 0 || answer.write(bytes);
  };

  /// Notes a placement and its inputs for the log.
  const notePlacement = ({ upstream, plan }: Placement) => {
    const before = board.workAt(upstream.id);
    placed = {
      upstream: upstream.id,
      parts: 1 + (plan?.helpers.length ?? 0),
      expectedFirst: Math.round(plan?.firstEventTime ?? 0),
      requestsBefore: before.requests,
      readingBefore: Math.round(before.prefillMilliseconds),
    };
  };

  const tryAt = async (
    placement: Placement,
    helpers: readonly HelperEngine[],
  ): Promise<AttemptResult> => {
    const { upstream } = placement;
    const work = placer.startWork(placement);
    health.recordSent(upstream.id);
    const sentAt = clock.now();
    attempt = startAttempt(context, request, {
      upstream,
      helpers,
      urgency: placer.urgency,
      remaining: remaining(),
      resumeAfter: answer.isStarted() ? lastId : undefined,
      firstEventTimeout: placer.firstEventTimeout(placement),
      idleTimeout: Math.max(
        SHORTEST_LOST_STREAM_MILLISECONDS,
        LOST_STREAM_PAUSES * route.pauseMilliseconds,
      ),
      extendsTimeout: isLong,
      mayRetry: () => mayRepeat && ran.length + 1 < route.maxUpstreams,
      remainingPrefill: () => board.workAt(upstream.id).prefillMilliseconds,
      onEvents: onEvents(work, upstream),
    });
    const result = await attempt.result;
    attempt = undefined;
    if (result.kind === "not_run") work.prefillDone();
    work.end();
    noteResult(upstream, result, clock.now() - sentAt);
    return result;
  };

  const noteFirstByte = () => {
    firstByte = clock.now() - request.arrivedAt;
    const labels = { route_kind: route.kind };
    metrics.firstByteSeconds.observe(labels, firstByte / 1_000);
  };

  const noteResult = (
    upstream: Upstream,
    result: AttemptResult,
    took: Milliseconds,
  ) => {
    if (result.kind === "streamed") return health.recordSuccess(upstream.id);
    if (result.kind === "aborted") return;
    if (result.kind === "answered") {
      if (result.status < 500) health.recordSuccess(upstream.id);
      else health.recordFailure(upstream.id);
      if (result.status < 300) return;
    }
    if (result.kind === "failed" && result.isUnreachable) {
      void context.crashMarks.record(request.fingerprint);
    }
    if (result.kind !== "answered") {
      if (result.isUnreachable) health.recordUnreachable(upstream.id);
      else if (result.kind === "failed" && !result.mayBeStale) {
        health.recordBroken(upstream.id);
      } else health.recordFailure(upstream.id);
    }
    log.warn("try ended", {
      request: facts.attemptId,
      route: route.name,
      upstream: upstream.id,
      address: upstream.address,
      try: tries,
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
      attempts: tries,
      firstByte,
      longestEventGap: longestPause,
      isInTime: outcome === "served" && firstByte !== undefined &&
        firstByte <= route.objectiveMilliseconds &&
        longestPause <= route.pauseMilliseconds,
      placement: placed,
    };
  };

  /// The end when nothing more is tried.
  const giveUp = (): RequestOutcome => {
    if (answer.isClosed()) return end("caller_gone", undefined, lastReason);
    if (answer.isStarted()) {
      answer.abort();
      const outcome = isTimedOut ? "timed_out" : "broken_off";
      return end(outcome, undefined, lastReason);
    }
    if (lastAnswer) {
      const headers = dialect.buildCallerHeaders(lastAnswer.headers);
      answer.forward({ ...lastAnswer, headers }, lastAnswer.body);
      return end("upstream_failure", lastAnswer.status, "upstream's answer");
    }
    if (!mayHaveRun) {
      answer.sendText(503, `not run: ${lastReason}\n`, retryAfter);
      return end("refused", 503, lastReason);
    }
    const status = isTimedOut ? 504 : 502;
    answer.sendText(status, `${lastReason}\n`);
    return end(isTimedOut ? "timed_out" : "failed", status, lastReason);
  };

  const isOver = () => answer.isClosed() || isTimedOut;

  while (true) {
    if (isOver() || remaining() < SHORTEST_TRY_MILLISECONDS) return giveUp();
    if (
      context.crashMarks.count(request.fingerprint) >= CRASHES_UNTIL_REFUSED
    ) {
      lastReason = "upstreams crashed with this request";
      return giveUp();
    }
    let placement = placer.place(avoided);
    const isWaiting = placement?.plan && !answer.isStarted() &&
      placer.mustWait(placement.plan);
    if (placement?.plan && isWaiting) {
      const waiting = placer.enterWaitQueue(placement.plan);
      leaveRoom = waiting.remove;
      const mayGo = await waiting.admission;
      leaveRoom = () => {};
      if (!mayGo) {
        lastReason = "no engine had a slot in time";
        return giveUp();
      }
      placement = placer.place(avoided);
    }
    if (!placement) {
      lastReason = view.available(service.name).length > 0
        ? "the upstreams have no room for the request"
        : "no upstream is listed";
      return giveUp();
    }
    if (arrivals > 0 && !budget.take(service.name)) {
      lastReason = `${lastReason}; no repeats are left`;
      return giveUp();
    }
    if (tries === 0) budget.recordRequest(service.name);
    notePlacement(placement);
    const excess = placement.plan && !answer.isStarted()
      ? placer.lateness(placement.plan, deadline)
      : 0;
    if (excess > 0) {
      lastReason = `the answer would come ${Math.round(excess)} ms too late`;
      retryAfter = Math.max(RETRY_AFTER_SECONDS, excess / 1_000);
      return giveUp();
    }
    let reservations: MemoryReservations | undefined;
    let helpers: readonly HelperEngine[] = (placement.plan?.helpers ?? []).map(
      ({ upstream }) => ({ address: upstream.address }),
    );
    if (placement.plan) {
      const shares = placer.shareMemory(placement.plan);
      if (!shares) {
        lastReason = "the engines' memory has no room for the prompt";
        return giveUp();
      }
      if (shares.length > 0) {
        reservations = await reserveMemory(context, placement.plan, {
          shares,
          attemptId: facts.attemptId,
        });
        if (!reservations) {
          lastReason = "memory could not be reserved";
          refusals += 1;
          if (refusals >= REFUSALS_TRIED || isOver()) return giveUp();
          await clock.sleep(AGAIN_MILLISECONDS);
          continue;
        }
        helpers = reservations.helpers;
      }
    }
    if (isOver()) {
      await reservations?.release();
      return giveUp();
    }
    tries += 1;
    if (tries > 1) {
      const reason = answer.isStarted() ? "resume" : "repeat";
      metrics.retries.inc({ reason });
    }
    const startedAt = clock.now();
    const result = await tryAt(placement, helpers);
    void reservations?.release();

    const { upstream } = placement;
    if (result.kind === "aborted") {
      // The upstream may still be at it.
      mayHaveRun = true;
      lastReason = answer.isClosed() ? "the caller left" : "the time is up";
      return giveUp();
    }
    if (result.kind === "streamed") {
      answer.endStream();
      context.crashMarks.clear(request.fingerprint);
      return end("served", 200, "");
    }
    if (result.kind === "answered") {
      if (result.status < 500 && !answer.isStarted()) {
        const headers = dialect.buildCallerHeaders(result.headers);
        answer.forward({ ...result, headers }, result.body);
        context.crashMarks.clear(request.fingerprint);
        noteFirstByte();
        return end("served", result.status, "");
      }
      mayHaveRun = true;
      arrivals += 1;
      lastAnswer = result;
      lastReason = `the upstream answered ${result.status}`;
      ran.push(upstream);
      avoided.add(upstream.id);
      if (!mayRepeat || !mayRunOnAnother()) return giveUp();
      continue;
    }
    lastReason = result.reason;
    avoided.add(upstream.id);
    const hasArrived = result.kind === "failed" || !result.isUnreachable;
    if (hasArrived) arrivals += 1;
    if (result.kind === "not_run") {
      if (result.faultAddress !== undefined) {
        const fault = view.available(service.name).find(({ address }) =>
          address === result.faultAddress
        );
        if (fault) {
          avoided.add(fault.id);
          // One that is full says so at once; one that is lost stalls others.
          const took = clock.now() - startedAt;
          if (took > STALL_MILLISECONDS) health.recordUnreachable(fault.id);
        }
      }
      refusals += 1;
      if (refusals >= REFUSALS_TRIED) return giveUp();
      if (avoided.size >= view.available(service.name).length) {
        await clock.sleep(AGAIN_MILLISECONDS);
      }
      continue;
    }
    mayHaveRun = true;
    ran.push(upstream);
    if (!mayRepeat || !mayRunOnAnother()) return giveUp();
    // Without an id there is nothing to go on behind.
    if (answer.isStarted() && lastId === undefined) return giveUp();
  }
}
