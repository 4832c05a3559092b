import type { Clock, Milliseconds, Timer } from "../support/clock.ts";

/// Where short prompts wait while every engine has as many requests as it can
/// write at the same time. Sent on at once, they would wait in the engines'
/// own queues in the order of arrival, and under a lasting burst all of them
/// would be late. Here those that can still be in time go first, and those
/// that can't go when there is room for them as well.

/// How often room is looked for: a fraction of one pass of an engine.
const CHECK_MILLISECONDS: Milliseconds = 10;

export interface StartTimes {
  /// Latest start at which the request can still be in time.
  readonly latestTimelyStart: Milliseconds;
  /// Start after which its caller would have left.
  readonly refuseAt: Milliseconds;
}

/// A request in the waiting room.
export interface QueuedRequest {
  /// Resolves to whether it may go; false when it is no longer useful.
  readonly admission: Promise<boolean>;
  /// Takes it out, because its caller has left.
  remove(): void;
}

export interface WaitQueue {
  /// Waits until `hasRoom` and the request is first.
  enqueue(service: string, request: StartTimes): QueuedRequest;
  /// Requests that wait for a service.
  size(service: string): number;
}

export interface WaitQueueOptions {
  readonly clock: Clock;
  /// Requests that this VM may send to a service now.
  readonly capacity: (service: string) => number;
}

interface Entry extends StartTimes {
  readonly settle: (mayGo: boolean) => void;
}

export function createWaitQueue(options: WaitQueueOptions): WaitQueue {
  const { clock } = options;
  const queues = new Map<string, Set<Entry>>();
  let timer: Timer | undefined;

  /// Those that can be in time first, and of these the newest: the older ones
  /// have so little time left that a small delay at the engine makes them late
  /// as well.
  const byUse = (now: Milliseconds) => (left: Entry, right: Entry) => {
    const isLeftLate = left.latestTimelyStart < now;
    const isRightLate = right.latestTimelyStart < now;
    if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
    return right.latestTimelyStart - left.latestTimelyStart;
  };

  const settle = (queue: Set<Entry>, entry: Entry, mayGo: boolean) => {
    queue.delete(entry);
    entry.settle(mayGo);
  };

  const check = () => {
    timer = undefined;
    const now = clock.now();
    for (const [service, queue] of queues) {
      for (const entry of [...queue]) {
        if (entry.refuseAt <= now) settle(queue, entry, false);
      }
      const room = queue.size > 0 ? options.capacity(service) : 0;
      const next = [...queue].sort(byUse(now)).slice(0, room);
      for (const entry of next) settle(queue, entry, true);
      if (queue.size === 0) queues.delete(service);
    }
    schedule();
  };

  const schedule = () => {
    if (queues.size === 0) return;
    timer ??= clock.schedule(CHECK_MILLISECONDS, check);
  };

  return {
    enqueue(service, request) {
      const queue = queues.get(service) ?? new Set<Entry>();
      queues.set(service, queue);
      let leave = () => {};
      const turn = new Promise<boolean>((resolve) => {
        const entry: Entry = { ...request, settle: resolve };
        queue.add(entry);
        leave = () => settle(queue, entry, false);
      });
      schedule();
      return { admission: turn, remove: leave };
    },
    size: (service) => queues.get(service)?.size ?? 0,
  };
}
