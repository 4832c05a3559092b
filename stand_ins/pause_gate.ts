import type { Links } from "../src/links/links.ts";
import { type Clock, createSleep } from "../src/support/clock.ts";

/// Stops the code of one VM in a shared process: while paused, no timer
/// fires, no answer arrives and no message is handled; all follow in order on
/// resume.
export interface PauseGate {
  /// The VM's clock. Its wall time may be off.
  readonly clock: Clock;
  pause(): void;
  resume(): void;
  /// Sets how far the wall clock of the VM is ahead.
  setSkew(milliseconds: number): void;
  /// Settles like `promise`, but never during a pause.
  hold<Value>(promise: Promise<Value>): Promise<Value>;
  holdLinks(links: Links): Links;
}

export function createPauseGate(clock: Clock): PauseGate {
  let held: (() => void)[] = [];
  let paused = false;
  let skew = 0;

  const run = (action: () => void) => {
    if (paused) held.push(action);
    else action();
  };

  const schedule: Clock["schedule"] = (delay, callback) => {
    let cancelled = false;
    const fire = () => void (cancelled || callback());
    const timer = clock.schedule(delay, () => run(fire));
    return {
      cancel() {
        cancelled = true;
        timer.cancel();
      },
    };
  };

  const hold = <Value>(promise: Promise<Value>): Promise<Value> =>
    new Promise((resolve, reject) => {
      promise.then(
        (value) => run(() => resolve(value)),
        (error) => run(() => reject(error)),
      );
    });

  return {
    clock: {
      now: clock.now,
      wallTime: () => clock.wallTime() + skew,
      schedule,
      sleep: createSleep(schedule),
    },
    pause: () => void (paused = true),
    resume() {
      paused = false;
      const actions = held;
      held = [];
      actions.forEach((action) => action());
    },
    setSkew: (milliseconds) => void (skew = milliseconds),
    hold,
    holdLinks: (links) => ({
      ...links,
      call: (vm, type, value, limits) =>
        hold(links.call(vm, type, value, limits)),
      onMessage: (type, handler) =>
        links.onMessage(
          type,
          (value, from) => run(() => handler(value, from)),
        ),
      onCall: (type, handler) =>
        links.onCall(
          type,
          (value, from) =>
            hold(Promise.resolve()).then(() => handler(value, from)),
        ),
      onPeersChange: (listener) => links.onPeersChange(() => run(listener)),
    }),
  };
}
