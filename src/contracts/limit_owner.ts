import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Membership } from "../vms/membership.ts";
import type { LimitAmount, LongSlot } from "./limit_messages.ts";
import type { Customer } from "./sheet.ts";

/// The owner's side of customers' limits. It fills one token bucket for each
/// customer at the contract's rate and grants from it to the VMs that request
/// a part.

/// Time in which an empty bucket fills up.
const BURST_SECONDS = 1;
/// Part of its capacity that a new bucket starts with.
const INITIAL_FILL_RATIO = 0.25;
/// Age from which a VM's requested amount no longer reduces what others get.
const DEMAND_LIFE_MILLISECONDS = 500;
/// Time for which a long request counts after its VM last reported it.
const SLOT_LIFE_MILLISECONDS = 5_000;
/// After the candidates have changed, a new owner waits until the VMs have
/// reported the slots that they hold before it grants long requests.
const SETTLING_MILLISECONDS = 2_500;
/// Time without an exchange after which a customer's record is removed.
const IDLE_RECORD_LIFE_MILLISECONDS = 60_000;

interface Demand {
  readonly requests: number;
  readonly tokens: number;
  readonly at: Milliseconds;
}

interface CustomerRecord {
  requests: number;
  tokens: number;
  filledAt: Milliseconds;
  /// The last amount requested by each VM.
  readonly demands: Map<string, Demand>;
  /// When each slot of a long request was last reported.
  readonly held: Map<string, Milliseconds>;
}

export interface LimitOwnerOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly findCustomer: (name: string) => Customer | undefined;
}

export interface LimitOwner {
  exchange(vm: string, amounts: readonly LimitAmount[]): LimitAmount[];
  /// Grants a slot if one is free.
  takeLong(slot: LongSlot): Promise<boolean>;
  recordHeld(held: readonly LongSlot[]): void;
  release(slot: LongSlot): void;
  /// Removes the records of customers that are idle and hold no slot.
  prune(): void;
}

export function createLimitOwner(options: LimitOwnerOptions): LimitOwner {
  const { clock, membership } = options;
  const records = new Map<string, CustomerRecord>();
  let changedAt = clock.now();
  let knownCandidates = membership.candidates().join(" ");

  /// The part of all live VMs that this one reaches. Owners on two sides of a
  /// partition together grant no more than the limit.
  const computeReachableShare = () => {
    const live = membership.members()
      .filter((member) => member.state === "live");
    const reachable = live.filter((member) => member.reachable);
    return reachable.length / Math.max(1, live.length);
  };

  let reachableShare = computeReachableShare();

  membership.onChange(() => {
    reachableShare = computeReachableShare();
    const candidates = membership.candidates().join(" ");
    if (candidates === knownCandidates) return;
    knownCandidates = candidates;
    changedAt = clock.now();
  });

  const recordOf = (customer: Customer): CustomerRecord => {
    let record = records.get(customer.name);
    if (!record) {
      const share = BURST_SECONDS * INITIAL_FILL_RATIO * reachableShare;
      record = {
        requests: customer.requestsPerSecond * share,
        tokens: customer.tokensPerSecond * share,
        filledAt: clock.now(),
        demands: new Map(),
        held: new Map(),
      };
      records.set(customer.name, record);
    }
    return record;
  };

  const fill = (record: CustomerRecord, customer: Customer) => {
    const now = clock.now();
    const share = reachableShare;
    const seconds = (now - record.filledAt) / 1_000;
    const add = (level: number, rate: number) =>
      Math.min(level + rate * share * seconds, rate * share * BURST_SECONDS);
    record.requests = add(record.requests, customer.requestsPerSecond);
    record.tokens = add(record.tokens, customer.tokensPerSecond);
    record.filledAt = now;
  };

  /// What a VM gets of `level`, in proportion to what all VMs request.
  const grant = (level: number, requested: number, total: number) => {
    if (requested <= 0) return requested;
    if (level <= 0) return 0;
    return Math.min(requested, level * requested / Math.max(requested, total));
  };

  const grantRequested = (
    requester: string,
    amount: LimitAmount,
  ): LimitAmount => {
    const customer = options.findCustomer(amount.customer);
    if (!customer) return { ...amount, requests: 0, tokens: 0 };
    const record = recordOf(customer);
    fill(record, customer);
    const now = clock.now();
    record.demands.set(requester, { ...amount, at: now });
    let requests = 0;
    let tokens = 0;
    for (const [vm, other] of record.demands) {
      if (now - other.at > DEMAND_LIFE_MILLISECONDS) record.demands.delete(vm);
      requests += Math.max(0, other.requests);
      tokens += Math.max(0, other.tokens);
    }
    const granted = {
      customer: amount.customer,
      requests: grant(record.requests, amount.requests, requests),
      tokens: grant(record.tokens, amount.tokens, tokens),
    };
    record.requests -= granted.requests;
    record.tokens -= granted.tokens;
    return granted;
  };

  const countLongRunning = ({ held }: CustomerRecord) => {
    for (const [slot, at] of held) {
      if (clock.now() - at > SLOT_LIFE_MILLISECONDS) held.delete(slot);
    }
    return held.size;
  };

  /// Rounds up only on the side of a partition that reaches more than half of
  /// the VMs, as at most one side does.
  const computeLongLimit = ({ concurrentLongRequests }: Customer) => {
    const share = reachableShare;
    const limit = concurrentLongRequests * share;
    return share > 0.5 ? Math.ceil(limit) : Math.floor(limit);
  };

  return {
    exchange: (vm, amounts) =>
      amounts.map((amount) => grantRequested(vm, amount)),
    async takeLong({ customer: name, slot }) {
      const remaining = changedAt + SETTLING_MILLISECONDS - clock.now();
      if (remaining > 0) await clock.sleep(remaining);
      const customer = options.findCustomer(name);
      if (!customer) return false;
      const record = recordOf(customer);
      if (countLongRunning(record) >= computeLongLimit(customer)) return false;
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
        const isIdle =
          clock.now() - record.filledAt > IDLE_RECORD_LIFE_MILLISECONDS;
        if (isIdle && countLongRunning(record) === 0) records.delete(name);
      }
    },
  };
}
