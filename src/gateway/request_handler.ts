import type { Milliseconds } from "../support/clock.ts";
import { startAttempt } from "./attempt.ts";
import {
  type AttemptEvents,
  createAttemptRace,
  type StartedAttempt,
} from "./attempt_race.ts";
import {
  createAttemptPreparation,
  type PreparedAttempt,
  RETRY_DELAY_MILLISECONDS,
} from "./attempt_preparation.ts";
import { type AttemptRecord, createAttemptRecords } from "./attempt_records.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { RequestOutcome } from "./request_outcome.ts";
import { createRequestPlacer } from "./request_placer.ts";
import { createRequestProgress } from "./request_progress.ts";
import { createResponseWriter } from "./response_writer.ts";
import { retryAfterSeconds } from "./retry_after.ts";
import { createRetryRules } from "./retry_rules.ts";

/// Handles one request: makes attempts at upstreams until one responds, the
/// deadline passes or no further attempt is allowed. Every request ends exactly
/// once.

/// Inactivity of a stream after which a replacement is prepared, in multiples
/// of the route's maximum event gap.
const IDLE_TIMEOUT_FACTOR = 2.5;
const MINIMUM_IDLE_TIMEOUT_MILLISECONDS: Milliseconds = 900;
/// Part of the time after which the caller of a silent stream leaves, within which
/// a replacement is prepared. The replacement needs the rest to respond.
const REPLACEMENT_START_SHARE = 0.8;

/// Handles a request to its end and resolves to the outcome.
export async function handleRequest(
  context: RequestContext,
  request: GatewayRequest,
  response: CallerResponse,
): Promise<RequestOutcome> {
  const { clock, health, placements, dialect, metrics } = context;
  const { route, metadata } = request;
  const allowed = Math.min(
    metadata.callerTimeout ?? Infinity,
    route.timeoutMilliseconds,
  );
  const deadline = request.arrivedAt + allowed;
  const remaining = () =>
    Math.min(deadline, request.stop.endsAt()) - clock.now();
  const placer = createRequestPlacer(context, request);
  const progress = createRequestProgress();
  const records = createAttemptRecords(context, request, {
    progress,
    remaining,
  });
  const preparation = createAttemptPreparation(context, request, {
    placer,
    progress,
    remaining,
    isResumed: response.isStarted,
  });
  const writer = createResponseWriter(context, request, { response, progress });
  const retries = createRetryRules(context, request, { response, progress });
  let isTimedOut = false;
  /// Ends whatever the request waits for.
  const stopped = new AbortController();

  /// How long the preparation of a replacement may still be put off.
  const replaceableFor = () => {
    if (route.kind !== "stream") return Infinity;
    const silentSince = progress.lastWriteAt ?? request.arrivedAt;
    const patience = REPLACEMENT_START_SHARE * route.silenceMilliseconds;
    return silentSince + patience - clock.now();
  };

  const onSilence = (record: AttemptRecord) => {
    const { placement, result } = record;
    metrics.silences.inc({ route_kind: route.kind });
    records.silent(record);
    if (result.kind !== "failed") return;
    retries.recordPossibleExecution(placement, result.reason);
  };

  const start = (
    { placement, helpers, reservations }: PreparedAttempt,
    events: AttemptEvents,
  ): StartedAttempt => {
    const { upstream, decision } = placement;
    progress.attempts += 1;
    if (progress.attempts > 1) {
      const reason = response.isStarted() ? "resume" : "repeat";
      metrics.retries.inc({ reason });
    }
    progress.lastPlacement = {
      upstream: decision.upstream,
      parts: 1 + decision.helpers.length,
      expectedFirst: Math.round(decision.firstEventTime),
      requestsBefore: decision.requestsBefore,
      readingBefore: decision.prefillBefore,
    };
    const work = placer.startWork(decision);
    health.recordSent(upstream.id);
    const sentAt = clock.now();
    const needsNewConnection =
      progress.attemptedAddresses.has(upstream.address) ||
      progress.mayHaveExecutedAt.size > 0;
    progress.attemptedAddresses.add(upstream.address);
    const recordOf = (result: AttemptResult): AttemptRecord => ({
      placement,
      result,
      connection: attempt.connection(),
      took: clock.now() - sentAt,
    });
    const attempt = startAttempt(context, request, {
      upstream,
      helpers,
      needsNewConnection,
      priority: placer.priority,
      remaining: remaining(),
      resumeAfterEventId: response.isStarted() ? progress.lastId : undefined,
      firstEventTimeout: placer.firstEventTimeout(decision),
      idleTimeout: Math.max(
        MINIMUM_IDLE_TIMEOUT_MILLISECONDS,
        IDLE_TIMEOUT_FACTOR * route.pauseMilliseconds,
      ),
      silence: {
        extendsTimeout: placer.isLong,
        mayRetry: () => retries.mayRunElsewhere(placement),
        remainingPrefill: () => placements.remainingPrefill(upstream.id),
        replaceableFor,
      },
      onResponse: (head, tunnelVm) => {
        const { requestLimit: limit, isAuthentic, retryAfter } = head;
        if (head.isLeaving) context.leavingUpstreams.record(upstream);
        if (retryAfter) {
          const hold = { duration: retryAfter, tunnelVm };
          context.upstreamHolds.record(upstream.id, hold);
        }
        if (limit === undefined && !isAuthentic) return;
        context.upstreamLimits.record(upstream.id, { limit, sentAt });
      },
      onSilence(result) {
        onSilence(recordOf(result));
        events.onSilent();
      },
      onEvents(bytes, head, id) {
        work.prefillDone();
        health.recordResponding(upstream.id);
        events.onProgress();
        return writer.writeEvents(bytes, head, id);
      },
    });
    const end = (result: AttemptResult): AttemptRecord => {
      if (result.kind === "not_run") work.prefillDone();
      work.end();
      const record = recordOf(result);
      records.ended(record);
      void reservations?.release();
      return record;
    };
    const { abort, resume } = attempt;
    return { abort, resume, ended: attempt.result.then(end) };
  };

  const isFinal = ({ result }: AttemptRecord) =>
    result.kind === "streamed" || result.kind === "aborted" ||
    (result.kind === "answered" && result.status < 500 &&
      retries.mayForward(result.status) && !response.isStarted());

  const race = createAttemptRace({
    start,
    async prepareReplacement(signal) {
      if (!retries.hasUntriedUpstream()) {
        await clock.sleep(RETRY_DELAY_MILLISECONDS);
      }
      const either = AbortSignal.any([signal, stopped.signal]);
      return preparation.prepare(either);
    },
    onFault: ({ stack }) =>
      context.log.warn("replacement not prepared", {
        request: metadata.attemptId,
        reason: stack,
      }),
    discard: (prepared) => void preparation.discard(prepared),
    mayReplace: retries.mayReplace,
    isFinal,
    onFailed: retries.recordFailure,
  });

  const expire = () => {
    isTimedOut = true;
    stopped.abort();
    race.abort();
  };
  const timer = clock.schedule(Math.max(0, remaining()), expire);
  request.stop.onEnd(expire);
  response.onDisconnect(() => {
    stopped.abort();
    race.abort();
  });
  response.onDrain(race.resume);

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
      attempts: progress.attempts,
      ...writer.timing(outcome === "served"),
      placement: progress.lastPlacement,
    };
  };

  /// Ends the request when no further attempt is made.
  const giveUp = (): RequestOutcome => {
    const { lastReason, lastResponse } = progress;
    if (response.isClosed()) {
      const outcome = response.closedBy() === "caller"
        ? "caller_gone"
        : "connection_closed";
      return end(outcome, undefined, lastReason);
    }
    if (response.isStarted()) {
      response.abort();
      const outcome = isTimedOut ? "timed_out" : "broken_off";
      return end(outcome, undefined, lastReason);
    }
    if (lastResponse && retries.mayForward(lastResponse.status)) {
      const headers = dialect.buildCallerHeaders(lastResponse.headers);
      response.forward({ ...lastResponse, headers }, lastResponse.body);
      return end(
        "upstream_failure",
        lastResponse.status,
        "upstream's response",
      );
    }
    if (!progress.mayHaveExecuted) {
      response.sendText(
        503,
        `not run: ${lastReason}\n`,
        retryAfterSeconds(progress.retryEstimate, context.random),
      );
      return end("refused", 503, lastReason);
    }
    const status = isTimedOut ? 504 : 502;
    response.sendText(status, `${lastReason}\n`);
    return end(isTimedOut ? "timed_out" : "failed", status, lastReason);
  };

  const complete = (result: AttemptResult): RequestOutcome => {
    if (result.kind === "aborted") {
      // The upstream may still execute a request that was sent.
      progress.mayHaveExecuted ||= result.wasSent;
      progress.lastReason = response.isClosed()
        ? `the ${response.closedBy()} closed the connection`
        : "the time is up";
      return giveUp();
    }
    if (result.kind === "streamed") response.endStream();
    else if (result.kind === "answered") writer.forward(result);
    context.crashRecords.clear(request.fingerprint, metadata.sharedParts);
    const status = result.kind === "answered" ? result.status : 200;
    return end("served", status, "");
  };

  while (true) {
    const prepared = await preparation.prepare(stopped.signal);
    if (!prepared) return giveUp();
    const { record, mayContinue } = await race.run(prepared);
    const { result } = record;
    if (isFinal(record)) return complete(result);
    if (!mayContinue) return giveUp();
    if (result.kind === "not_run" && !retries.hasUntriedUpstream()) {
      await clock.sleep(RETRY_DELAY_MILLISECONDS);
    }
  }
}
