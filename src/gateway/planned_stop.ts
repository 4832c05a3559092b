import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { CallerResponse } from "./caller_response.ts";
import {
  createStopSchedule,
  endsInTime,
  type RequestTiming,
  type StopSchedule,
} from "./stop_schedule.ts";

/// A planned stop of this VM: every request that is open is answered before its
/// connection is closed.

const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 50;
/// Timeout for the removal of this VM's entry from the store.
const DEREGISTRATION_TIMEOUT_MILLISECONDS: Milliseconds = 200;
/// Another VM can take a refused request at once, but callers must not retry in
/// a tight loop.
const STOPPING_RETRY_AFTER_SECONDS = 0.1;

/// What a stop of the VM means for one request.
export interface RequestStop {
  /// Time by which the response has to be complete; Infinity unless the VM is
  /// stopping.
  endsAt(): Milliseconds;
  /// Whether the request may be sent to an upstream now.
  mayStart(): boolean;
  /// Calls `listener` if the request has to end at once. It then answers without
  /// being sent to an upstream.
  onEnd(listener: () => void): void;
}

export interface PlannedStopOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /// Time from the stop signal until the process is killed.
  readonly grace: Milliseconds;
}

export interface PlannedStop {
  isStopping(): boolean;
  /// Adds an open request, until its response has ended.
  open(response: CallerResponse): OpenRequest;
  /// Runs the stop and resolves when all connections may be closed.
  run(steps: StopSteps): Promise<void>;
}

/// A request that has not been answered.
export interface OpenRequest {
  /// Whether a request with this timing may be accepted. If not, it has been
  /// refused.
  accept(timing: RequestTiming): RequestStop | undefined;
  /// Refuses the request: it is not sent to an upstream.
  refuse(): void;
}

/// What a stop does besides ending requests.
export interface StopSteps {
  readonly signalledAt: Milliseconds;
  /// Number of requests whose response hasn't been sent in full, and of others'
  /// connections through this VM.
  readonly running: () => number;
  /// Removes this VM from the list of VMs.
  readonly deregister: () => Promise<void>;
}

export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
  const { clock, log, grace } = options;
  let schedule: StopSchedule | undefined;
  let hasEnded = false;
  /// The open requests, with what ends them.
  const open = new Map<CallerResponse, () => void>();

  const endsAt = () => schedule?.requestsEndAt ?? Infinity;
  const mayStart = (timing: RequestTiming) =>
    !hasEnded && endsInTime(timing, {
      now: clock.now(),
      endsAt: endsAt(),
      estimatesUntil: schedule?.listensUntil ?? Infinity,
    });

  const waitUntil = async (
    time: Milliseconds,
    isDone: () => boolean,
  ): Promise<void> => {
    while (!isDone() && clock.now() < time) {
      const remaining = time - clock.now();
      await clock.sleep(Math.min(remaining, CHECK_INTERVAL_MILLISECONDS));
    }
  };

  /// Answers the requests that have not ended by themselves in time: one of them
  /// may wait for another VM.
  const answerRest = () => {
    for (const response of open.keys()) {
      if (response.isStarted()) response.abort();
      else response.sendText(502, "this VM has stopped\n");
    }
  };

  return {
    isStopping: () => schedule !== undefined,
    open(response) {
      const refuse = () =>
        response.sendText(
          503,
          "not run: this VM is stopping\n",
          STOPPING_RETRY_AFTER_SECONDS,
        );
      open.set(response, refuse);
      response.onClose(() => open.delete(response));
      return {
        refuse,
        accept(timing) {
          if (!mayStart(timing)) return undefined;
          return {
            endsAt,
            mayStart: () => mayStart(timing),
            onEnd(listener) {
              if (open.has(response)) open.set(response, listener);
            },
          };
        },
      };
    },
    async run({ signalledAt, running, deregister }) {
      if (schedule) return;
      schedule = createStopSchedule({ signalledAt, grace });
      const isIdle = () => running() === 0;
      log.info("stopping", { running: running() });
      // The port stays open, so that later requests get a response telling the
      // caller to retry elsewhere.
      await waitUntil(schedule.listensUntil, () => false);
      await waitUntil(schedule.requestsEndAt, isIdle);
      log.info("stopped", { unfinished: running() });
      hasEnded = true;
      for (const end of open.values()) end();
      const deregisteredBy = clock.now() +
        DEREGISTRATION_TIMEOUT_MILLISECONDS;
      const deregistered = deregister();
      await waitUntil(schedule.answersEndAt, isIdle);
      answerRest();
      await waitUntil(schedule.closesAt, isIdle);
      await Promise.race([
        deregistered,
        waitUntil(Math.min(schedule.closesAt, deregisteredBy), () => false),
      ]);
    },
  };
}
