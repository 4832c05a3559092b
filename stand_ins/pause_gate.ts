import type { Links } from "../src/links/links.ts";
import { type Clock, createSleep } from "../src/support/clock.ts";

/// Suspends the code of one VM in a shared process. While paused, no timer fires,
/// no answer arrives and no message is handled. On resume, all of these follow in
/// order.
export interface PauseGate {
  /// The VM's clock. Its wall time may be skewed.
  readonly clock: Clock;
  pause(): void;
  resume(): void;
  /// Sets the time by which the wall clock of the VM is ahead.
  setSkew(milliseconds: number): void;
  /// Settles like `promise`, but never during a pause.
  deferWhilePaused<Value>(promise: Promise<Value>): Promise<Value>;
  /// Returns links whose replies, messages, calls and events are deferred during a
  /// pause.
  createGatedLinks(links: Links): Links;
}

export function createPauseGate(clock: Clock): PauseGate {
  let deferred: (() => void)[] = [];
  let isPaused = false;
  let skew = 0;

  const runOrDefer = (action: () => void) => {
    if (isPaused) deferred.push(action);
    else action();
  };

  const schedule: Clock["schedule"] = (delay, callback) => {
    let isCancelled = false;
    const runCallback = () => void (isCancelled || callback());
    const timer = clock.schedule(delay, () => runOrDefer(runCallback));
    return {
      cancel() {
        isCancelled = true;
        timer.cancel();
      },
    };
  };

  const deferWhilePaused = <Value>(promise: Promise<Value>): Promise<Value> =>
    new Promise((resolve, reject) => {
      promise.then(
        (value) => runOrDefer(() => resolve(value)),
        (error) => runOrDefer(() => reject(error)),
      );
    });

  return {
    clock: {
      now: clock.now,
      wallTime: () => clock.wallTime() + skew,
      schedule,
      sleep: createSleep(schedule),
    },
    pause: () => void (isPaused = true),
    resume() {
      isPaused = false;
      const actions = deferred;
      deferred = [];
      actions.forEach((action) => action());
    },
    setSkew: (milliseconds) => void (skew = milliseconds),
    deferWhilePaused,
    createGatedLinks: (links) => ({
      ...links,
      call: (vm, type, value, limits) =>
        deferWhilePaused(links.call(vm, type, value, limits)),
      onMessage: (type, handler) =>
        links.onMessage(
          type,
          (value, from) => runOrDefer(() => handler(value, from)),
        ),
      onCall: (type, handler) =>
        links.onCall(
          type,
          (value, from) =>
            deferWhilePaused(Promise.resolve()).then(() =>
              handler(value, from)
            ),
        ),
      onPeersChange: (listener) =>
        links.onPeersChange(() => runOrDefer(listener)),
    }),
  };
}
