import type { Milliseconds } from "../support/clock.ts";
import type { Route, Service } from "./configuration.ts";
import type { CallerRequestMetadata } from "./dialect.ts";
import { passTime, prefillTime } from "./engine_cost.ts";

/// The times of a planned stop, and which requests can end within it.

/// The platform's entry checks readiness once a second and removes a VM after
/// two failures.
const READINESS_NOTICE_MILLISECONDS: Milliseconds = 2_600;
/// Part of the grace period in which no request runs any more. What remains of
/// a grace period of eight seconds is in its last sixth.
const CLOSING_RATIO = 1 / 8;
const MAXIMUM_CLOSING_MILLISECONDS: Milliseconds = 500;
/// Multiple of the objective in which a call, or the first event of a stream,
/// is expected although its upstream is slow.
const OBJECTIVE_FACTOR = 2;

/// All times are those of the clock.
export interface StopSchedule {
  /// The port stays open until then even if no request is running.
  readonly listensUntil: Milliseconds;
  /// Every response has to be complete.
  readonly requestsEndAt: Milliseconds;
  /// Every request that is still open has been answered or broken off.
  readonly answersEndAt: Milliseconds;
  /// Connections are closed, whether or not their callers have read everything.
  readonly closesAt: Milliseconds;
}

/// Divides the grace period of a stop that was signalled at `signalledAt`.
export function createStopSchedule(
  { signalledAt, grace }: {
    readonly signalledAt: Milliseconds;
    readonly grace: Milliseconds;
  },
): StopSchedule {
  const closing = Math.min(grace * CLOSING_RATIO, MAXIMUM_CLOSING_MILLISECONDS);
  const requestsEndAt = signalledAt + grace - closing;
  return {
    listensUntil: Math.min(
      signalledAt + READINESS_NOTICE_MILLISECONDS,
      requestsEndAt,
    ),
    requestsEndAt,
    answersEndAt: requestsEndAt + closing / 3,
    closesAt: requestsEndAt + 2 * closing / 3,
  };
}

/// When a request ends, at the latest and by estimate.
export interface RequestTiming {
  readonly deadline: Milliseconds;
  /// Whether another VM can repeat or resume the request after this one has
  /// broken it off.
  readonly isRepeatable: boolean;
  /// Time that it takes once it has an upstream.
  readonly expectedDuration: Milliseconds;
}

/// A request of which everything is known that its timing depends on.
export interface TimedRequest {
  readonly route: Route;
  readonly service: Service;
  readonly metadata: CallerRequestMetadata;
  readonly arrivedAt: Milliseconds;
}

function expectedDuration({ route, service, metadata }: TimedRequest) {
  const call = OBJECTIVE_FACTOR * route.objectiveMilliseconds;
  const { engine } = service;
  if (!engine) return call;
  const fullPass = passTime(engine, {
    decodingRequests: engine.slots,
    contextTokens: engine.memoryTokens,
  });
  return call + prefillTime(engine, metadata.promptTokens) +
    metadata.outputTokens * fullPass / engine.stepsPerPass;
}

/// Computes the timing of a request.
export function timingOf(request: TimedRequest): RequestTiming {
  const { route, metadata, arrivedAt } = request;
  const longest = Math.min(
    metadata.callerTimeout ?? Infinity,
    route.timeoutMilliseconds,
  );
  return {
    deadline: arrivedAt + longest,
    isRepeatable: route.kind === "safe" ||
      (route.kind === "stream" && route.isResumable),
    expectedDuration: expectedDuration(request),
  };
}

/// Whether a request that is sent to an upstream at `now` ends by `endsAt`. For
/// one that can't be repeated, the longest time that it may take counts, and for
/// all others too after `estimatesUntil`: by then few callers come, and another
/// VM takes them without the risk of an estimate.
export function endsInTime(
  { deadline, isRepeatable, expectedDuration }: RequestTiming,
  { now, endsAt, estimatesUntil }: {
    readonly now: Milliseconds;
    readonly endsAt: Milliseconds;
    readonly estimatesUntil: Milliseconds;
  },
): boolean {
  if (deadline <= endsAt) return true;
  return isRepeatable && now <= estimatesUntil &&
    now + expectedDuration <= endsAt;
}
