import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// What a process does on an error that nothing caught. It logs and counts the
/// error and goes on: the requests and streams of other callers are independent
/// of it, and ending the process would break all of them. Many such errors in a
/// short time show that its state is damaged; it then stops like on a signal.

const WINDOW_MILLISECONDS: Milliseconds = 10_000;
const MAXIMUM_ERRORS_IN_WINDOW = 10;

export interface UnexpectedErrorsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /// Called with each error.
  readonly onError: () => void;
  /// Called once when there have been too many.
  readonly onTooMany: () => void;
}

/// Returns the handler of uncaught errors and unhandled rejections.
export function createUnexpectedErrorHandler(
  { clock, log, onError, onTooMany }: UnexpectedErrorsOptions,
): (error: unknown) => void {
  let times: Milliseconds[] = [];
  let isStopping = false;
  return (error) => {
    const now = clock.now();
    times = [...times.filter((time) => now - time < WINDOW_MILLISECONDS), now];
    log.warn("unexpected error", {
      reason: error instanceof Error
        ? error.stack ?? error.message
        : String(error),
      recent: times.length,
    });
    onError();
    if (times.length <= MAXIMUM_ERRORS_IN_WINDOW || isStopping) return;
    isStopping = true;
    log.warn("stopping after too many unexpected errors");
    onTooMany();
  };
}
