import {
  type CustomerLimits,
  isRefusal,
  type LimitRefusal,
  type LimitTicket,
} from "../contracts/customer_limits.ts";
import type { Customer } from "../contracts/sheet.ts";
import type { Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";
import type { QueueRequirements, RequestQueues } from "./request_queues.ts";

/// Decides whether a request may start. A request that is refused here was not
/// executed.

export interface AdmissionRequest {
  readonly customer: Customer;
  /// Prompt and requested tokens.
  readonly tokens: number;
  readonly isLong: boolean;
  /// Requirements of a completion and the time until its deadline. Absent for
  /// service calls.
  readonly engines?: {
    requirements: QueueRequirements;
    remaining: Milliseconds;
  };
}

/// Ticket of an admitted request, which counts as running until `release` is
/// called.
export interface AdmissionTicket {
  /// Resolves when the engines have capacity for the request. Throws
  /// `RequestError` if `signal` aborts first.
  whenReady(signal: AbortSignal): Promise<void>;
  release(): void;
}

export interface Admission {
  /// Rejects with a `RequestError` when the request is refused.
  admit(request: AdmissionRequest): Promise<AdmissionTicket>;
  /// Admits a request that isn't long, synchronously. Throws `RequestError`.
  admitShort(customer: Customer, tokens: number): AdmissionTicket;
  /// Refuses all requests from now on.
  stop(): void;
}

/// Requests that one VM runs concurrently.
const MAXIMUM_RUNNING_REQUESTS = 20_000;

/// Admits requests by the state of the engine queues and the customer's limits
/// in the contract. Admitted requests then wait in the queues.
export function createAdmission(
  limits: CustomerLimits,
  queues?: RequestQueues,
): Admission {
  let running = 0;
  let stopped = false;

  const requireAdmitting = () => {
    if (stopped) throw new RequestError("draining", { retryAfterSeconds: 1 });
    if (running >= MAXIMUM_RUNNING_REQUESTS) {
      throw new RequestError("queue_full", { retryAfterSeconds: 1 });
    }
  };

  const toTicket = (
    result: LimitTicket | LimitRefusal,
    engines?: AdmissionRequest["engines"],
  ): AdmissionTicket => {
    if (isRefusal(result)) {
      const seconds = Math.ceil(result.retryAfterMilliseconds / 1_000);
      const retryAfterSeconds = Math.max(1, seconds);
      throw new RequestError("limit_spent", { retryAfterSeconds });
    }
    running++;
    let released = false;
    return {
      async whenReady(signal) {
        if (engines) await queues?.enter(engines.requirements, signal);
      },
      release() {
        if (released) return;
        released = true;
        running--;
        result.release();
      },
    };
  };

  const admitShort: Admission["admitShort"] = (customer, tokens) => {
    requireAdmitting();
    return toTicket(limits.take(customer, tokens));
  };

  return {
    admitShort,
    async admit({ customer, tokens, isLong, engines }) {
      requireAdmitting();
      if (engines) queues?.check(engines.requirements, engines.remaining);
      const result = isLong
        ? await limits.takeLong(customer, tokens)
        : limits.take(customer, tokens);
      return toTicket(result, engines);
    },
    stop: () => void (stopped = true),
  };
}
