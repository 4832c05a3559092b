import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { DemandMeter } from "../upstreams/demand_meter.ts";
import { createFairQueue, type FairQueue } from "./fair_queue.ts";
import { RequestError } from "./request_error.ts";
import type { EngineCapacity, EngineRequirements } from "./engine_capacity.ts";

/// Bounded queues of admitted requests, one for each engine priority, that is,
/// for each priority level and length class. Each queue is fair among customers.

export interface QueueRequirements extends EngineRequirements {
  readonly customer: string;
  /// Weight of the customer relative to other customers.
  readonly weight: number;
}

export interface RequestQueues {
  /// Throws `RequestError` if the queue is full or the first token is expected
  /// later than `remaining` from now.
  check(requirements: QueueRequirements, remaining: Milliseconds): void;
  /// Resolves when the request may be sent. Rejects when `signal` aborts.
  enter(requirements: QueueRequirements, signal: AbortSignal): Promise<void>;
}

export interface RequestQueuesOptions {
  readonly clock: Clock;
  readonly engineCapacity: EngineCapacity;
  readonly demand: DemandMeter;
  /// VMs that share the engines, this one included.
  readonly vmCount: () => number;
  /// Whether requests that are expected to miss their deadline are refused;
  /// true by default.
  readonly refusesInfeasible?: boolean;
}

/// Requests in one queue.
const MAXIMUM_QUEUE_LENGTH = 256;
const DISPATCH_INTERVAL_MILLISECONDS = 10;
/// Requests of one queue that start in one dispatch.
const MAXIMUM_STARTS_PER_DISPATCH = 4;
/// An admitted request is in time even if the real wait is this multiple of
/// its estimate.
const FEASIBILITY_MARGIN_RATIO = 1.05;
const MILLISECONDS_PER_SECOND = 1_000;

interface QueuedRequest {
  readonly customer: string;
  readonly weight: number;
  readonly tokens: number;
  readonly requirements: QueueRequirements;
  readonly start: () => void;
}

export function createRequestQueues(
  options: RequestQueuesOptions,
): RequestQueues {
  const {
    clock,
    engineCapacity,
    demand,
    vmCount,
    refusesInfeasible = true,
  } = options;
  const queues = new Map<number, FairQueue<QueuedRequest>>();
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

  const startRequests = (queue: FairQueue<QueuedRequest>) => {
    for (let count = 0; count < MAXIMUM_STARTS_PER_DISPATCH; count++) {
      const next = queue.peek();
      if (!next || !engineCapacity.mayStart(next.requirements)) return;
      queue.serve(next);
      next.start();
      // The engines' load includes a long request only once it has been sent.
      if (next.requirements.isLong) return;
    }
  };

  const dispatch = () => {
    timer = undefined;
    const order = [...queues].sort(([left], [right]) => left - right);
    order.forEach(([, queue]) => startRequests(queue));
    if (order.some(([, queue]) => queue.size > 0)) scheduleDispatch();
  };

  const scheduleDispatch = () => {
    timer ??= clock.schedule(DISPATCH_INTERVAL_MILLISECONDS, dispatch);
  };

  const wait = (requirements: QueueRequirements, signal: AbortSignal) =>
    new Promise<void>((resolve, reject) => {
      const queue = queueOf(requirements.priority);
      const abort = () => {
        queue.remove(waiting);
        reject(toNotExecuted(signal.reason));
      };
      const waiting: QueuedRequest = {
        customer: requirements.customer,
        weight: requirements.weight,
        tokens: requirements.prompt.tokens,
        requirements,
        start() {
          signal.removeEventListener("abort", abort);
          resolve();
        },
      };
      signal.addEventListener("abort", abort, { once: true });
      queue.push(waiting);
      scheduleDispatch();
    });

  return {
    check(requirements, remaining) {
      const vms = vmCount();
      const expectedMilliseconds = FEASIBILITY_MARGIN_RATIO *
        engineCapacity.expectedWait(requirements, {
          queuedTokens: vms * queuedTokens(requirements.priority),
          moreUrgentTokensPerSecond: vms *
            demand.moreUrgentThan(requirements.priority),
        });
      if (refusesInfeasible && expectedMilliseconds > remaining) {
        const excessSeconds = (expectedMilliseconds - remaining) /
          MILLISECONDS_PER_SECOND;
        const retryAfterSeconds = Math.max(1, Math.ceil(excessSeconds));
        throw new RequestError("deadline_infeasible", { retryAfterSeconds });
      }
      if (queueOf(requirements.priority).size >= MAXIMUM_QUEUE_LENGTH) {
        throw new RequestError("queue_full", { retryAfterSeconds: 1 });
      }
    },
    async enter(requirements, signal) {
      if (signal.aborted) throw toNotExecuted(signal.reason);
      demand.add(requirements.priority, requirements.prompt.tokens);
      if (
        queueOf(requirements.priority).size === 0 &&
        engineCapacity.mayStart(requirements)
      ) return;
      await wait(requirements, signal);
    },
  };
}

/// A request that ends while it waits was certainly not executed.
function toNotExecuted(reason: unknown): unknown {
  if (!(reason instanceof RequestError)) return reason;
  return new RequestError(reason.code, { executed: "no", cause: reason });
}
