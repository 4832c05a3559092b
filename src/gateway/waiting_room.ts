import type { Clock, Milliseconds, Timer } from "../support/clock.ts";

/// Where short prompts wait while every engine has as many requests as it can
/// write at the same time. Sent on at once, they would wait in the engines'
/// own queues in the order of arrival, and under a lasting burst all of them
/// would be late. Here those that can still be in time go first, and those
/// that can't go when there is room for them as well.

/// How often room is looked for: a fraction of one pass of an engine.
const CHECK_MILLISECONDS: Milliseconds = 10;

export interface WaitingRequest {
  /// Latest start at which the request can still be in time.
  readonly inTimeUntil: Milliseconds;
  /// Start after which its caller would have left.
  readonly usefulUntil: Milliseconds;
}

/// A request in the waiting room.
export interface Waiting {
  /// Resolves to whether it may go; false when it is no longer useful.
  readonly turn: Promise<boolean>;
  /// Takes it out, because its caller has left.
  leave(): void;
}

export interface WaitingRoom {
  /// Waits until `hasRoom` and the request is first.
  enter(service: string, request: WaitingRequest): Waiting;
  /// Requests that wait for a service.
  size(service: string): number;
}

export interface WaitingRoomOptions {
  readonly clock: Clock;
  /// Requests that this VM may send to a service now.
  readonly room: (service: string) => number;
}

interface Entry extends WaitingRequest {
  readonly settle: (mayGo: boolean) => void;
}

export function createWaitingRoom(options: WaitingRoomOptions): WaitingRoom {
  const { clock } = options;
  const queues = new Map<string, Set<Entry>>();
  let timer: Timer | undefined;

  /// Those that can be in time first, and of these the newest: the older ones
  /// have so little time left that a small delay at the engine makes them late
  /// as well.
  const byUse = (now: Milliseconds) => (left: Entry, right: Entry) => {
    const isLeftLate = left.inTimeUntil < now;
    const isRightLate = right.inTimeUntil < now;
    if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
    return right.inTimeUntil - left.inTimeUntil;
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
        if (entry.usefulUntil <= now) settle(queue, entry, false);
      }
      const room = queue.size > 0 ? options.room(service) : 0;
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
    enter(service, request) {
      const queue = queues.get(service) ?? new Set<Entry>();
      queues.set(service, queue);
      let leave = () => {};
      const turn = new Promise<boolean>((resolve) => {
        const entry: Entry = { ...request, settle: resolve };
        queue.add(entry);
        leave = () => settle(queue, entry, false);
      });
      schedule();
      return { turn, leave };
    },
    size: (service) => queues.get(service)?.size ?? 0,
  };
}
