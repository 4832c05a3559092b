import type { Clock, Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";

/// Deadline of an admitted request, with the only timer that ends the request.
export interface Deadline {
  readonly at: Milliseconds;
  /// Aborts with a `RequestError` when the deadline passes.
  readonly signal: AbortSignal;
  remaining(): Milliseconds;
  /// Stops the timer.
  clear(): void;
}

/// Starts a deadline `duration` milliseconds from now.
export function startDeadline(clock: Clock, duration: Milliseconds): Deadline {
  const controller = new AbortController();
  const at = clock.now() + duration;
  const timer = clock.schedule(duration, () => {
    const options = { executed: "unknown" } as const;
    controller.abort(new RequestError("deadline_exceeded", options));
  });
  return {
    at,
    signal: controller.signal,
    remaining: () => Math.max(0, at - clock.now()),
    clear: () => timer.cancel(),
  };
}
