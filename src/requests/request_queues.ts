import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { DemandMeter } from "../upstreams/demand_meter.ts";
import { createFairQueue, type FairQueue } from "./fair_queue.ts";
import { RequestError } from "./request_error.ts";
import type { EngineCapacity, EngineRequirements } from "./engine_capacity.ts";

/// Bounded queues of admitted requests, one for each engine priority, that
/// is for each priority and length class. Each is fair among customers.

export interface QueueNeed extends EngineRequirements {
  readonly customer: string;
  /// Share of the customer relative to others.
  readonly weight: number;
}

export interface RequestQueues {
  /// Throws `RequestError` if the queue is full or the answer can't be whole
  /// within `remaining`.
  check(need: QueueNeed, remaining: Milliseconds): void;
  /// Resolves when the request may be sent. Rejects when `signal` aborts.
  enter(need: QueueNeed, signal: AbortSignal): Promise<void>;
}

export interface RequestQueuesOptions {
  readonly clock: Clock;
  readonly engineCapacity: EngineCapacity;
  readonly demand: DemandMeter;
  /// VMs that share the engines, this one included.
  readonly vmCount: () => number;
  /// Whether requests that would be late are refused; true unless given.
  readonly refusesInfeasible?: boolean;
}

/// Requests that one queue holds.
const QUEUE_LIMIT = 256;
const PUMP_MILLISECONDS = 10;
/// Requests that one queue lets go at once.
const STARTS_PER_PUMP = 4;
/// Estimates may be wrong by this share before an admitted request is late.
const FEASIBILITY_MARGIN = 1.05;
const MILLISECONDS_PER_SECOND = 1_000;

interface Waiting {
  readonly customer: string;
  readonly weight: number;
  readonly tokens: number;
  readonly need: QueueNeed;
  readonly start: () => void;
}

export function createRequestQueues(
  options: RequestQueuesOptions,
): RequestQueues {
  const {
    clock,
    engineCapacity: gate,
    demand,
    vmCount,
    refusesInfeasible = true,
  } = options;
  const queues = new Map<number, FairQueue<Waiting>>();
  let timer: Timer | undefined;

  const queueOf = (priority: number) => {
    let queue = queues.get(priority);
    if (!queue) queues.set(priority, queue = createFairQueue());
    return queue;
  };

  const queuedTokens = (priority: number) => {
    let total = 0;
    for (const [other, queue] of queues) {
      if (other <= priority) total += queue.tokens;
    }
    return total;
  };

  const startFrom = (queue: FairQueue<Waiting>) => {
    for (let count = 0; count < STARTS_PER_PUMP; count++) {
      const next = queue.peek();
      if (!next || !gate.mayStart(next.need)) return;
      queue.serve(next);
      next.start();
      // The engines' state changes only once the request has been sent.
      if (next.need.isLong) return;
    }
  };

  const pump = () => {
    timer = undefined;
    const order = [...queues].sort(([left], [right]) => left - right);
    order.forEach(([, queue]) => startFrom(queue));
    if (order.some(([, queue]) => queue.size > 0)) schedulePump();
  };

  const schedulePump = () => {
    timer ??= clock.schedule(PUMP_MILLISECONDS, pump);
  };

  const wait = (need: QueueNeed, signal: AbortSignal) =>
    new Promise<void>((resolve, reject) => {
      const queue = queueOf(need.priority);
      const abort = () => {
        queue.remove(waiting);
        reject(toNotRun(signal.reason));
      };
      const waiting: Waiting = {
        customer: need.customer,
        weight: need.weight,
        tokens: need.prompt.tokens,
        need,
        start() {
          signal.removeEventListener("abort", abort);
          resolve();
        },
      };
      signal.addEventListener("abort", abort, { once: true });
      queue.push(waiting);
      schedulePump();
    });

  return {
    check(need, remaining) {
      const vms = vmCount();
      const duration = FEASIBILITY_MARGIN * gate.expectedWait(need, {
        queuedTokens: vms * queuedTokens(need.priority),
        overtakingTokensPerSecond: vms * demand.moreUrgentThan(need.priority),
      });
      if (refusesInfeasible && duration > remaining) {
        const late = (duration - remaining) / MILLISECONDS_PER_SECOND;
        const retryAfterSeconds = Math.max(1, Math.ceil(late));
        throw new RequestError("deadline_infeasible", { retryAfterSeconds });
      }
      if (queueOf(need.priority).size >= QUEUE_LIMIT) {
        throw new RequestError("queue_full", { retryAfterSeconds: 1 });
      }
    },
    async enter(need, signal) {
      if (signal.aborted) throw toNotRun(signal.reason);
      demand.add(need.priority, need.prompt.tokens);
      if (queueOf(need.priority).size === 0 && gate.mayStart(need)) return;
      await wait(need, signal);
    },
  };
}

/// A request that ends while it waits has certainly not run.
function toNotRun(reason: unknown): unknown {
  if (!(reason instanceof RequestError)) return reason;
  return new RequestError(reason.code, { executed: "no", cause: reason });
}
