import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Membership } from "../vms/membership.ts";
import type { LimitAmount, LongSlot } from "./limit_messages.ts";
import type { Customer } from "./sheet.ts";

/// The home of customers' limits: it fills one bucket for each customer at the
/// contract's rate and grants from it to the entries that ask.

/// Time over which a bucket fills.
const BURST_SECONDS = 1;
/// Share of a burst that a new bucket starts with.
const INITIAL_SHARE = 0.25;
/// Age from which an ask no longer counts against the others.
const ASK_LIFE_MILLISECONDS = 500;
/// Time a long request counts after its entry last spoke of it.
const HOLD_LIFE_MILLISECONDS = 5_000;
/// After the VMs have changed, a new home waits for the entries to say what
/// they hold before it grants long requests.
const SETTLE_MILLISECONDS = 2_500;
/// Time after which a customer that nobody asks about is forgotten.
const FORGET_MILLISECONDS = 60_000;

interface Ask {
  readonly requests: number;
  readonly tokens: number;
  readonly at: Milliseconds;
}

interface CustomerRecord {
  requests: number;
  tokens: number;
  filledAt: Milliseconds;
  /// Last ask by entry.
  readonly asks: Map<string, Ask>;
  /// When each slot of a long request was last spoken of.
  readonly held: Map<string, Milliseconds>;
}

export interface LimitOwnerOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly findCustomer: (name: string) => Customer | undefined;
}

export interface LimitOwner {
  exchange(entry: string, asks: readonly LimitAmount[]): LimitAmount[];
  /// Grants a slot if one is free.
  takeLong(slot: LongSlot): Promise<boolean>;
  recordHeld(held: readonly LongSlot[]): void;
  release(slot: LongSlot): void;
  /// Drops what is no longer needed.
  prune(): void;
}

export function createLimitOwner(options: LimitOwnerOptions): LimitOwner {
  const { clock, membership } = options;
  const records = new Map<string, CustomerRecord>();
  let changedAt = clock.now();
  let knownCandidates = membership.candidates().join(" ");

  /// The part of all live VMs that this one reaches. Homes on two sides of a
  /// partition grant no more than the limit between them.
  const computeShare = () => {
    const live = membership.members()
      .filter((member) => member.state === "live");
    const reached = live.filter((member) => member.reachable);
    return reached.length / Math.max(1, live.length);
  };

  let reachedShare = computeShare();

  membership.onChange(() => {
    reachedShare = computeShare();
    const candidates = membership.candidates().join(" ");
    if (candidates === knownCandidates) return;
    knownCandidates = candidates;
    changedAt = clock.now();
  });

  const recordOf = (customer: Customer): CustomerRecord => {
    let record = records.get(customer.name);
    if (!record) {
      const share = BURST_SECONDS * INITIAL_SHARE * reachedShare;
      record = {
        requests: customer.requestsPerSecond * share,
        tokens: customer.tokensPerSecond * share,
        filledAt: clock.now(),
        asks: new Map(),
        held: new Map(),
      };
      records.set(customer.name, record);
    }
    return record;
  };

  const fill = (record: CustomerRecord, customer: Customer) => {
    const now = clock.now();
    const share = reachedShare;
    const seconds = (now - record.filledAt) / 1_000;
    const add = (level: number, rate: number) =>
      Math.min(level + rate * share * seconds, rate * share * BURST_SECONDS);
    record.requests = add(record.requests, customer.requestsPerSecond);
    record.tokens = add(record.tokens, customer.tokensPerSecond);
    record.filledAt = now;
  };

  /// What an entry gets of `level`: its part of what all entries ask for.
  const grant = (level: number, ask: number, total: number) => {
    if (ask <= 0) return ask;
    if (level <= 0) return 0;
    return Math.min(ask, level * ask / Math.max(ask, total));
  };

  const exchangeOne = (entry: string, ask: LimitAmount): LimitAmount => {
    const customer = options.findCustomer(ask.customer);
    if (!customer) return { ...ask, requests: 0, tokens: 0 };
    const record = recordOf(customer);
    fill(record, customer);
    const now = clock.now();
    record.asks.set(entry, { ...ask, at: now });
    let requests = 0;
    let tokens = 0;
    for (const [name, other] of record.asks) {
      if (now - other.at > ASK_LIFE_MILLISECONDS) record.asks.delete(name);
      requests += Math.max(0, other.requests);
      tokens += Math.max(0, other.tokens);
    }
    const granted = {
      customer: ask.customer,
      requests: grant(record.requests, ask.requests, requests),
      tokens: grant(record.tokens, ask.tokens, tokens),
    };
    record.requests -= granted.requests;
    record.tokens -= granted.tokens;
    return granted;
  };

  const longRunning = ({ held }: CustomerRecord) => {
    for (const [slot, at] of held) {
      if (clock.now() - at > HOLD_LIFE_MILLISECONDS) held.delete(slot);
    }
    return held.size;
  };

  /// Of several sides of a partition, only one reaches more than half.
  const longLimit = ({ concurrentLongRequests }: Customer) => {
    const share = reachedShare;
    const limit = concurrentLongRequests * share;
    return share > 0.5 ? Math.ceil(limit) : Math.floor(limit);
  };

  return {
    exchange: (entry, asks) => asks.map((ask) => exchangeOne(entry, ask)),
    async takeLong({ customer: name, slot }) {
      const settled = changedAt + SETTLE_MILLISECONDS - clock.now();
      if (settled > 0) await clock.sleep(settled);
      const customer = options.findCustomer(name);
      if (!customer) return false;
      const record = recordOf(customer);
      if (longRunning(record) >= longLimit(customer)) return false;
      record.held.set(slot, clock.now());
      return true;
    },
    recordHeld(held) {
      for (const { customer: name, slot } of held) {
        const customer = options.findCustomer(name);
        if (customer) recordOf(customer).held.set(slot, clock.now());
      }
    },
    release({ customer, slot }) {
      records.get(customer)?.held.delete(slot);
    },
    prune() {
      for (const [name, record] of records) {
        const isIdle = clock.now() - record.filledAt > FORGET_MILLISECONDS;
        if (isIdle && longRunning(record) === 0) records.delete(name);
      }
    },
  };
}
