import { type Clock, createSleep, type Timer } from "../src/support/clock.ts";

/// A clock whose time moves only when it is advanced.
export interface FakeClock extends Clock {
  /// Runs every timer due within `duration` milliseconds, in the order of their
  /// due times.
  advance(duration: number): Promise<void>;
  /// Lets pending promise callbacks run without advancing the time.
  settle(): Promise<void>;
  /// Advances in steps until `promise` settles. Rejects after `limit`
  /// milliseconds, by default one hour.
  advanceUntil<T>(promise: Promise<T>, limit?: number): Promise<T>;
  /// Time at which the next timer is due, or undefined if none is pending.
  nextDueAt(): number | undefined;
  /// Number of timers that are pending.
  pendingTimers(): number;
}

interface PendingTimer {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

const START_WALL_TIME_MILLISECONDS = 1_750_000_000_000;
const SETTLE_TURNS = 3;

/// Resolves in the next turn of the event loop.
const waitForTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

/// Creates a clock that starts at zero.
export function createFakeClock(): FakeClock {
  const heap: PendingTimer[] = [];
  let time = 0;
  let order = 0;
  let cancelledCount = 0;

  const before = (left: PendingTimer, right: PendingTimer) =>
    left.due < right.due ||
    (left.due === right.due && left.order < right.order);

  const push = (timer: PendingTimer) => {
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!before(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  };

  const pop = () => {
    const top = heap[0];
    const last = heap.pop();
    if (!top || !last || heap.length === 0) return top;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!)) {
        child++;
      }
      if (!before(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return top;
  };

  const schedule = (delay: number, callback: () => void): Timer => {
    const due = time + Math.max(0, delay);
    const timer: PendingTimer = {
      due,
      order: order++,
      callback,
      cancelled: false,
    };
    push(timer);
    return {
      cancel: () => {
        if (!timer.cancelled) cancelledCount++;
        timer.cancelled = true;
      },
    };
  };

  const settle = async () => {
    for (let count = 0; count < SETTLE_TURNS; count++) await waitForTurn();
  };

  /// Time at which the next timer is due, or Infinity if none is pending.
  const nextDueOrInfinity = () => {
    while (heap[0]?.cancelled) {
      pop();
      cancelledCount--;
    }
    return heap[0]?.due ?? Infinity;
  };

  /// Runs the timers due by `end`, until none is left or `isStopped` returns true.
  const runUntil = async (end: number, isStopped: () => boolean) => {
    while (!isStopped() && nextDueOrInfinity() <= end) {
      const timer = pop()!;
      time = timer.due;
      timer.cancelled = true;
      timer.callback();
      if (nextDueOrInfinity() > time) await waitForTurn();
    }
  };

  const advance = async (duration: number) => {
    const end = time + duration;
    await settle();
    await runUntil(end, () => false);
    time = end;
    await settle();
  };

  const advanceUntil = async <T>(promise: Promise<T>, limit = 3_600_000) => {
    let settled = false;
    promise.then(() => (settled = true), () => (settled = true));
    const end = time + limit;
    await settle();
    while (!settled && time < end) {
      await runUntil(end, () => settled);
      await settle();
      if (!settled && nextDueOrInfinity() > end) time = end;
    }
    if (!settled) throw new Error(`not settled within ${limit} ms`);
    return promise;
  };

  return {
    now: () => time,
    wallTime: () => START_WALL_TIME_MILLISECONDS + time,
    schedule,
    sleep: createSleep(schedule),
    advance,
    settle,
    advanceUntil,
    nextDueAt() {
      while (heap[0]?.cancelled) {
        pop();
        cancelledCount--;
      }
      return heap[0]?.due;
    },
    pendingTimers: () => heap.length - cancelledCount,
  };
}
