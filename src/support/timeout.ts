import type { Clock, Milliseconds } from "./clock.ts";

/// Settles with `promise`, or rejects with the error from `onTimeout` after
/// `limit`. The operation behind the promise is not cancelled.
export function withTimeout<Value>(
  promise: Promise<Value>,
  options: {
    readonly clock: Clock;
    readonly limit: Milliseconds;
    readonly onTimeout: () => Error;
  },
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const timer = options.clock.schedule(
      options.limit,
      () => reject(options.onTimeout()),
    );
    promise.then(resolve, reject).finally(() => timer.cancel());
  });
}
