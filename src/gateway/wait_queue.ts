import type { Clock, Milliseconds, Timer } from "../support/clock.ts";

/// Queue for short prompts while every engine has as many requests as it can
/// decode at the same time. If they were sent at once, they would wait in the
/// engines' own queues in the order of arrival, and under a sustained burst all
/// of them would be late. In this queue, requests that can still be in time go
/// first. The others go when there is capacity for them as well.

/// Interval of the checks for free capacity: a fraction of one pass of an
/// engine.
const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 10;

export interface StartTimes {
  /// Latest start at which the request can still be in time.
  readonly latestTimelyStart: Milliseconds;
  /// Time after which the request is refused, since its caller would have
  /// disconnected.
  readonly refuseAt: Milliseconds;
}

/// A request in the wait queue.
export interface QueuedRequest {
  /// Resolves to whether the request may be sent; false if it is refused or
  /// removed.
  readonly admission: Promise<boolean>;
  /// Removes the request because its caller has disconnected.
  remove(): void;
}

export interface WaitQueue {
  /// Adds a request, which waits until there is capacity and it is first.
  enqueue(service: string, request: StartTimes): QueuedRequest;
  /// Number of requests that wait for a service.
  size(service: string): number;
}

export interface WaitQueueOptions {
  readonly clock: Clock;
  /// Number of requests that this VM may send to a service now.
  readonly capacity: (service: string) => number;
}

interface QueueEntry extends StartTimes {
  readonly settle: (isAdmitted: boolean) => void;
}

export function createWaitQueue(options: WaitQueueOptions): WaitQueue {
  const { clock } = options;
  const queues = new Map<string, Set<QueueEntry>>();
  let timer: Timer | undefined;

  /// Requests that can be in time come first, and of these the newest: the
  /// older ones have so little time left that a small delay at the engine makes
  /// them late as well.
  const byPriority =
    (now: Milliseconds) => (left: QueueEntry, right: QueueEntry) => {
      const isLeftLate = left.latestTimelyStart < now;
      const isRightLate = right.latestTimelyStart < now;
      if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
      return right.latestTimelyStart - left.latestTimelyStart;
    };

  const settle = (
    queue: Set<QueueEntry>,
    entry: QueueEntry,
    isAdmitted: boolean,
  ) => {
    queue.delete(entry);
    entry.settle(isAdmitted);
  };

  const check = () => {
    timer = undefined;
    const now = clock.now();
    for (const [service, queue] of queues) {
      for (const entry of [...queue]) {
        if (entry.refuseAt <= now) settle(queue, entry, false);
      }
      const capacity = queue.size > 0 ? options.capacity(service) : 0;
      const next = [...queue].sort(byPriority(now)).slice(0, capacity);
      for (const entry of next) settle(queue, entry, true);
      if (queue.size === 0) queues.delete(service);
    }
    schedule();
  };

  const schedule = () => {
    if (queues.size === 0) return;
    timer ??= clock.schedule(CHECK_INTERVAL_MILLISECONDS, check);
  };

  return {
    enqueue(service, request) {
      const queue = queues.get(service) ?? new Set<QueueEntry>();
      queues.set(service, queue);
      let remove = () => {};
      const admission = new Promise<boolean>((resolve) => {
        const entry: QueueEntry = { ...request, settle: resolve };
        queue.add(entry);
        remove = () => settle(queue, entry, false);
      });
      schedule();
      return { admission, remove };
    },
    size: (service) => queues.get(service)?.size ?? 0,
  };
}
