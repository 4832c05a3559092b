import type { Customer } from "../contracts/sheet.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
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
  /// Throws `RequestError` when the request is refused.
  admit(question: AdmissionQuestion): AdmissionTicket;
  /// Refuses everything from now on.
  stop(): void;
}

/// Requests that one VM runs at once.
const RUNNING_LIMIT = 20_000;
/// Time over which a customer may use its rate in one burst.
const BURST_SECONDS = 2;

interface Bucket {
  level: number;
  filledAt: Milliseconds;
}

interface CustomerUse {
  readonly requests: Bucket;
  readonly tokens: Bucket;
  long: number;
}

/// Admission by the contract's limits, counted on this VM alone, then by the
/// queues in front of the engines.
export function createAdmission(
  clock: Clock,
  queues?: RequestQueues,
): Admission {
  const uses = new Map<string, CustomerUse>();
  let running = 0;
  let stopped = false;

  const newBucket = (rate: number): Bucket => ({
    level: rate * BURST_SECONDS,
    filledAt: clock.now(),
  });

  const useOf = (customer: Customer) => {
    let use = uses.get(customer.name);
    if (!use) {
      use = {
        requests: newBucket(customer.requestsPerSecond),
        tokens: newBucket(customer.tokensPerSecond),
        long: 0,
      };
      uses.set(customer.name, use);
    }
    return use;
  };

  const fill = (bucket: Bucket, rate: number) => {
    const now = clock.now();
    const gained = (now - bucket.filledAt) * rate / 1_000;
    bucket.level = Math.min(bucket.level + gained, rate * BURST_SECONDS);
    bucket.filledAt = now;
  };

  const refuse = (deficit: number, rate: number): never => {
    const retryAfterSeconds = Math.max(1, Math.ceil(deficit / rate));
    throw new RequestError("limit_spent", { retryAfterSeconds });
  };

  /// A bucket may go below zero by one request, so that a prompt larger than
  /// a burst can run at all.
  const requirePositive = (bucket: Bucket, rate: number) => {
    if (bucket.level <= 0) refuse(1 - bucket.level, rate);
  };

  return {
    admit({ customer, tokens, isLong, engines }) {
      if (stopped) throw new RequestError("draining", { retryAfterSeconds: 1 });
      if (running >= RUNNING_LIMIT) {
        throw new RequestError("queue_full", { retryAfterSeconds: 1 });
      }
      const use = useOf(customer);
      fill(use.requests, customer.requestsPerSecond);
      fill(use.tokens, customer.tokensPerSecond);
      requirePositive(use.requests, customer.requestsPerSecond);
      requirePositive(use.tokens, customer.tokensPerSecond);
      if (isLong && use.long >= customer.concurrentLongRequests) {
        throw new RequestError("limit_spent", { retryAfterSeconds: 5 });
      }
      if (engines) queues?.check(engines.need, engines.remaining);
      use.requests.level -= 1;
      use.tokens.level -= tokens;
      if (isLong) use.long++;
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
          if (isLong) use.long--;
        },
      };
    },
    stop: () => void (stopped = true),
  };
}
