import type { Milliseconds } from "../support/clock.ts";
import type { LimitAmount } from "./limit_messages.ts";
import type { Customer } from "./sheet.ts";

/// One VM's allocation of a customer's limits. The owner grants it and requests
/// use it up. The VM requests what it expects to use shortly and returns what
/// it no longer needs.

/// Time of expected use that a VM's allocation covers.
const TARGET_ALLOCATION_SECONDS = 0.5;
/// Part of the target that has to be missing before the VM requests a grant.
const REQUEST_THRESHOLD_RATIO = 0.3;
/// Weight of the newest interval in the moving average of demand.
const DEMAND_SMOOTHING_FACTOR = 0.4;
/// Time without a request after which the allocation is returned.
const IDLE_TIMEOUT_MILLISECONDS = 1_000;
/// Time of its equal share that a VM may use before the owner has granted it,
/// so that the first request needn't wait.
const INITIAL_CREDIT_SECONDS = 0.5;
/// Time of its equal share that a VM accumulates at most while the owner is
/// unreachable.
const SHARE_BURST_SECONDS = 1;

/// What a limit counts.
type LimitKind = "requests" | "tokens";

interface Level {
  available: number;
  /// Demanded by requests since the last interval, admitted or refused.
  recent: number;
  demandPerSecond: number;
}

export interface LimitAllocation {
  readonly customer: Customer;
  /// Deducts one request of so many tokens. Returns 0, or the milliseconds
  /// after which to retry. `share` is this VM's part of the limit if all VMs
  /// get equal parts.
  take(tokens: number, share: number): Milliseconds;
  /// Adds back what was deducted for a request that did not run.
  refund(tokens: number): void;
  /// Applies the customer's limits of a newer sheet.
  update(customer: Customer): void;
  /// Updates the estimate of demand at the end of an interval. Returns the
  /// amount to request from the owner (negative to return), or undefined.
  requestGrant(intervalMilliseconds: Milliseconds): LimitAmount | undefined;
  /// Deducts the negative amounts, which are being returned to the owner.
  deduct(amount: LimitAmount): void;
  addGrant(grant: LimitAmount): void;
  /// Adds the equal share of an interval while the owner is unreachable.
  addShare(intervalMilliseconds: Milliseconds, share: number): void;
  /// Whether the allocation is empty and unused, so that it may be removed.
  isIdle(): boolean;
}

const MINIMUM_RETRY_DELAY_MILLISECONDS = 200;

export function createLimitAllocation(
  initialCustomer: Customer,
  now: () => Milliseconds,
): LimitAllocation {
  let customer = initialCustomer;
  let lastUse = now();
  const levels: Readonly<Record<LimitKind, Level>> = {
    requests: { available: 0, recent: 0, demandPerSecond: 0 },
    tokens: { available: 0, recent: 0, demandPerSecond: 0 },
  };

  const rateOf = (kind: LimitKind) =>
    kind === "requests" ? customer.requestsPerSecond : customer.tokensPerSecond;

  const isUnused = () => now() - lastUse > IDLE_TIMEOUT_MILLISECONDS;

  /// How much is missing before another request may start. A request may take
  /// the level below its floor, so that a prompt larger than a grant can run
  /// at all.
  const missing = (kind: LimitKind, share: number) => {
    const floor = -rateOf(kind) * share * INITIAL_CREDIT_SECONDS;
    const { available } = levels[kind];
    return available > floor ? 0 : floor - available + 1;
  };

  const updateDemand = (level: Level, milliseconds: Milliseconds) => {
    const perSecond = level.recent * 1_000 / milliseconds;
    level.recent = 0;
    level.demandPerSecond += DEMAND_SMOOTHING_FACTOR *
      (perSecond - level.demandPerSecond);
  };

  const computeRequestedAmount = (level: Level) => {
    if (isUnused()) return -level.available;
    const target = level.demandPerSecond * TARGET_ALLOCATION_SECONDS;
    const wanted = target - level.available;
    return wanted > target * REQUEST_THRESHOLD_RATIO ? wanted : 0;
  };

  return {
    get customer() {
      return customer;
    },
    take(tokens, share) {
      lastUse = now();
      levels.requests.recent += 1;
      levels.tokens.recent += tokens;
      const waits = (["requests", "tokens"] as const).map((kind) =>
        missing(kind, share) * 1_000 / rateOf(kind)
      );
      const wait = Math.max(...waits);
      if (wait > 0) return Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, wait);
      levels.requests.available -= 1;
      levels.tokens.available -= tokens;
      return 0;
    },
    refund(tokens) {
      levels.requests.available += 1;
      levels.tokens.available += tokens;
    },
    update: (next) => void (customer = next),
    requestGrant(milliseconds) {
      updateDemand(levels.requests, milliseconds);
      updateDemand(levels.tokens, milliseconds);
      const requests = computeRequestedAmount(levels.requests);
      const tokens = computeRequestedAmount(levels.tokens);
      if (requests === 0 && tokens === 0) return undefined;
      return { customer: customer.name, requests, tokens };
    },
    deduct({ requests, tokens }) {
      levels.requests.available += Math.min(0, requests);
      levels.tokens.available += Math.min(0, tokens);
    },
    addGrant({ requests, tokens }) {
      levels.requests.available += Math.max(0, requests);
      levels.tokens.available += Math.max(0, tokens);
    },
    addShare(milliseconds, share) {
      for (const kind of ["requests", "tokens"] as const) {
        const level = levels[kind];
        const rate = rateOf(kind) * share;
        const maximum = Math.max(level.available, rate * SHARE_BURST_SECONDS);
        const next = level.available + rate * milliseconds / 1_000;
        level.available = Math.min(next, maximum);
      }
    },
    isIdle: () =>
      isUnused() && levels.requests.available === 0 &&
      levels.tokens.available === 0,
  };
}
