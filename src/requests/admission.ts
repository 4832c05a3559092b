import {
  type CustomerLimits,
  isRefusal,
  type LimitRefusal,
  type LimitTicket,
} from "../contracts/customer_limits.ts";
import type { Customer } from "../contracts/sheet.ts";
import type { Milliseconds } from "../support/clock.ts";
import { RequestError } from "./request_error.ts";
import type { QueueNeed, RequestQueues } from "./request_queues.ts";

/// Decides whether a request may start. A request that is refused here has
/// not run.

export interface AdmissionQuestion {
  readonly customer: Customer;
  /// Prompt and requested tokens.
  readonly tokens: number;
  readonly isLong: boolean;
  /// What a completion needs of the engines; services have none.
  readonly engines?: { need: QueueNeed; remaining: Milliseconds };
}

/// A place that an admitted request holds until `release`.
export interface AdmissionTicket {
  /// Resolves when the engines have room. Throws `RequestError` if `signal`
  /// aborts before.
  whenReady(signal: AbortSignal): Promise<void>;
  release(): void;
}

export interface Admission {
  /// Rejects with a `RequestError` when the request is refused.
  admit(question: AdmissionQuestion): Promise<AdmissionTicket>;
  /// Admits a request that isn't long without waiting. Throws `RequestError`.
  admitShort(customer: Customer, tokens: number): AdmissionTicket;
  /// Refuses everything from now on.
  stop(): void;
}

/// Requests that one VM runs at once.
const RUNNING_LIMIT = 20_000;

/// Admission by the limits of the contract, then by the queues in front of the
/// engines.
export function createAdmission(
  limits: CustomerLimits,
  queues?: RequestQueues,
): Admission {
  let running = 0;
  let stopped = false;

  const requireOpen = () => {
    if (stopped) throw new RequestError("draining", { retryAfterSeconds: 1 });
    if (running >= RUNNING_LIMIT) {
      throw new RequestError("queue_full", { retryAfterSeconds: 1 });
    }
  };

  const toTicket = (
    result: LimitTicket | LimitRefusal,
    engines?: AdmissionQuestion["engines"],
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
        if (engines) await queues?.enter(engines.need, signal);
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
    requireOpen();
    return toTicket(limits.take(customer, tokens));
  };

  return {
    admitShort,
    async admit({ customer, tokens, isLong, engines }) {
      requireOpen();
      if (engines) queues?.check(engines.need, engines.remaining);
      const result = isLong
        ? await limits.takeLong(customer, tokens)
        : limits.take(customer, tokens);
      return toTicket(result, engines);
    },
    stop: () => void (stopped = true),
  };
}
