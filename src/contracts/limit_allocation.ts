import type { Milliseconds } from "../support/clock.ts";
import type { LimitAmount } from "./limit_messages.ts";
import type { Customer } from "./sheet.ts";

/// What one entry may still use of a customer's limits: granted by the home,
/// spent by requests. It asks for what it expects to use shortly, and gives
/// back what it no longer needs.

/// Time of expected use that an entry keeps in stock.
const TARGET_SECONDS = 0.5;
/// Part of the target that has to be missing before the entry asks.
const ASK_SHARE = 0.3;
/// Share of the newest interval in the estimate of demand.
const NEWEST_WEIGHT = 0.4;
/// Time without a request after which the stock is given back.
const IDLE_MILLISECONDS = 1_000;
/// Time of its equal share that an entry may use before the home has granted
/// it, so that the first request needn't wait.
const CREDIT_SECONDS = 0.5;
/// Time of its equal share that an entry gathers while the home is lost.
const SHARE_BURST_SECONDS = 1;

/// Something that is counted against a limit.
type Counted = "requests" | "tokens";

interface Level {
  stock: number;
  /// Asked for since the last interval.
  recent: number;
  demandPerSecond: number;
}

export interface LimitAllocation {
  readonly customer: Customer;
  /// Uses one request of so many tokens. Returns 0, or the milliseconds after
  /// which to try again. `share` is the part of the limit that falls to this
  /// entry if all get equal parts.
  take(tokens: number, share: number): Milliseconds;
  /// Returns what a request took that did not run.
  refund(tokens: number): void;
  /// Takes the customer's limits from a newer sheet.
  update(customer: Customer): void;
  /// What to ask the home for after an interval, or undefined.
  requestGrant(intervalMilliseconds: Milliseconds): LimitAmount | undefined;
  /// Takes note of what is on its way back to the home.
  deductReturned(ask: LimitAmount): void;
  addGrant(grant: LimitAmount): void;
  /// Adds the equal share of an interval, as the home can't be asked.
  addShare(intervalMilliseconds: Milliseconds, share: number): void;
  /// Whether nothing is kept that would be missed.
  isIdle(): boolean;
}

const SHORTEST_RETRY_MILLISECONDS = 200;

export function createLimitAllocation(
  given: Customer,
  now: () => Milliseconds,
): LimitAllocation {
  let customer = given;
  let lastUse = now();
  const levels: Readonly<Record<Counted, Level>> = {
    requests: { stock: 0, recent: 0, demandPerSecond: 0 },
    tokens: { stock: 0, recent: 0, demandPerSecond: 0 },
  };

  const rateOf = (counted: Counted) =>
    counted === "requests"
      ? customer.requestsPerSecond
      : customer.tokensPerSecond;

  const isUnused = () => now() - lastUse > IDLE_MILLISECONDS;

  /// How much is missing before another request may start. A level may go
  /// below its floor by one request, so that a prompt larger than a grant can
  /// run at all.
  const missing = (counted: Counted, share: number) => {
    const floor = -rateOf(counted) * share * CREDIT_SECONDS;
    const { stock } = levels[counted];
    return stock > floor ? 0 : floor - stock + 1;
  };

  const learnDemand = (level: Level, milliseconds: Milliseconds) => {
    const perSecond = level.recent * 1_000 / milliseconds;
    level.recent = 0;
    level.demandPerSecond += NEWEST_WEIGHT *
      (perSecond - level.demandPerSecond);
  };

  const askFor = (level: Level) => {
    if (isUnused()) return -level.stock;
    const target = level.demandPerSecond * TARGET_SECONDS;
    const wanted = target - level.stock;
    return wanted > target * ASK_SHARE ? wanted : 0;
  };

  return {
    get customer() {
      return customer;
    },
    take(tokens, share) {
      lastUse = now();
      levels.requests.recent += 1;
      levels.tokens.recent += tokens;
      const waits = (["requests", "tokens"] as const).map((counted) =>
        missing(counted, share) * 1_000 / rateOf(counted)
      );
      const wait = Math.max(...waits);
      if (wait > 0) return Math.max(SHORTEST_RETRY_MILLISECONDS, wait);
      levels.requests.stock -= 1;
      levels.tokens.stock -= tokens;
      return 0;
    },
    refund(tokens) {
      levels.requests.stock += 1;
      levels.tokens.stock += tokens;
    },
    update: (next) => void (customer = next),
    requestGrant(milliseconds) {
      learnDemand(levels.requests, milliseconds);
      learnDemand(levels.tokens, milliseconds);
      const requests = askFor(levels.requests);
      const tokens = askFor(levels.tokens);
      if (requests === 0 && tokens === 0) return undefined;
      return { customer: customer.name, requests, tokens };
    },
    deductReturned({ requests, tokens }) {
      levels.requests.stock += Math.min(0, requests);
      levels.tokens.stock += Math.min(0, tokens);
    },
    addGrant({ requests, tokens }) {
      levels.requests.stock += Math.max(0, requests);
      levels.tokens.stock += Math.max(0, tokens);
    },
    addShare(milliseconds, share) {
      for (const counted of ["requests", "tokens"] as const) {
        const level = levels[counted];
        const rate = rateOf(counted) * share;
        const most = Math.max(level.stock, rate * SHARE_BURST_SECONDS);
        const next = level.stock + rate * milliseconds / 1_000;
        level.stock = Math.min(next, most);
      }
    },
    isIdle: () =>
      isUnused() && levels.requests.stock === 0 && levels.tokens.stock === 0,
  };
}
