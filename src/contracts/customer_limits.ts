import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Membership } from "../vms/membership.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { ContractBook } from "./contract_book.ts";
import { createLimitOwner } from "./limit_owner.ts";
import {
  ExchangeCall,
  type LimitAmount,
  LongHeldMessage,
  LongReleasedMessage,
  type LongSlot,
  TakeLongCall,
} from "./limit_messages.ts";
import {
  createLimitAllocation,
  type LimitAllocation,
} from "./limit_allocation.ts";
import type { Customer } from "./sheet.ts";

/// Each customer's limits over all VMs. One VM, the owner, grants requests and
/// tokens from the customer's buckets to the VMs that need them. A VM that
/// can't reach the owner uses an equal share of the limit.

/// Held by an admitted request until `release`.
export interface LimitTicket {
  release(): void;
}

/// The limit is used up; the request may be retried after the given time.
export interface LimitRefusal {
  readonly retryAfterMilliseconds: Milliseconds;
}

export interface CustomerLimits {
  /// Counts a short request against the customer's limits. `tokens` are those
  /// of its prompt and those that it requests.
  take(customer: Customer, tokens: number): LimitTicket | LimitRefusal;
  /// Counts a long request, for which the owner has to grant a slot.
  takeLong(
    customer: Customer,
    tokens: number,
  ): Promise<LimitTicket | LimitRefusal>;
  close(): void;
}

export interface CustomerLimitsOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly membership: Membership;
  readonly book: ContractBook;
}

const EXCHANGE_INTERVAL_MILLISECONDS = 200;
const EXCHANGE_TIMEOUT_MILLISECONDS = 400;
/// Longer than the settling time after which a new owner grants long requests.
const LONG_TIMEOUT_MILLISECONDS = 4_000;
/// Interval at which a VM reports its long requests to their owners.
const HELD_REPORT_INTERVAL_MILLISECONDS = 1_000;
const LONG_RETRY_DELAY_MILLISECONDS = 2_000;

const EMPTY_TICKET: LimitTicket = { release: () => {} };

/// Whether the request was refused.
export function isRefusal(
  result: LimitTicket | LimitRefusal,
): result is LimitRefusal {
  return "retryAfterMilliseconds" in result;
}

export function createCustomerLimits(
  options: CustomerLimitsOptions,
): CustomerLimits {
  const { clock, links, membership, book } = options;
  const self = links.self.vm;
  const allocations = new Map<string, LimitAllocation>();
  /// Slots of the long requests that run on this VM.
  const held = new Set<LongSlot>();
  /// Owners that did not reply to the last exchange.
  const unreachableOwners = new Set<string>();
  const pendingExchanges = new Set<string>();
  const stop = new AbortController();
  let candidates = membership.candidates();
  let owners = new Map<string, string>();
  let customersByName: ReadonlyMap<string, Customer> = new Map();
  let indexedRevision = -1;
  let nextSlot = 0;

  const findCustomer = (name: string) => {
    const { revision, sheet } = book.current();
    if (revision !== indexedRevision) {
      customersByName = new Map(
        sheet.customers.map((item) => [item.name, item]),
      );
      indexedRevision = revision;
    }
    return customersByName.get(name);
  };

  const localOwner = createLimitOwner({
    clock,
    membership,
    findCustomer,
  });

  /// The VM itself if there is no candidate, as when the only VM is draining.
  const ownerOf = (customer: string) => {
    let owner = owners.get(customer);
    if (!owner) {
      owner = rankByRendezvous(`limit ${customer}`, candidates)[0] ?? self;
      owners.set(customer, owner);
    }
    return owner;
  };

  const computeEqualShare = () => {
    const live = membership.members()
      .filter((member) => member.state === "live");
    return 1 / Math.max(1, live.length);
  };

  let equalShare = computeEqualShare();

  const allocationOf = (customer: Customer) => {
    let allocation = allocations.get(customer.name);
    if (!allocation) {
      allocation = createLimitAllocation(customer, clock.now);
      allocations.set(customer.name, allocation);
    }
    if (allocation.customer !== customer) allocation.update(customer);
    return allocation;
  };

  const addGrants = (grants: readonly LimitAmount[]) => {
    for (const item of grants) allocations.get(item.customer)?.addGrant(item);
  };

  const exchange = async (vm: string, amounts: readonly LimitAmount[]) => {
    for (const item of amounts) allocations.get(item.customer)?.deduct(item);
    if (vm === self) return addGrants(localOwner.exchange(self, amounts));
    pendingExchanges.add(vm);
    try {
      const timeoutMilliseconds = EXCHANGE_TIMEOUT_MILLISECONDS;
      addGrants(
        await links.call(vm, ExchangeCall, [...amounts], {
          timeoutMilliseconds,
        }),
      );
      unreachableOwners.delete(vm);
    } catch {
      unreachableOwners.add(vm);
    } finally {
      pendingExchanges.delete(vm);
    }
  };

  const exchangeAll = () => {
    const interval = EXCHANGE_INTERVAL_MILLISECONDS;
    const amountsByOwner = new Map<string, LimitAmount[]>();
    for (const [name, allocation] of allocations) {
      const vm = ownerOf(name);
      if (unreachableOwners.has(vm)) allocation.addShare(interval, equalShare);
      const amount = allocation.requestGrant(interval);
      if (!amount) {
        if (allocation.isIdle()) allocations.delete(name);
      } else if (!pendingExchanges.has(vm)) {
        amountsByOwner.set(vm, [...amountsByOwner.get(vm) ?? [], amount]);
      }
    }
    for (const [vm, amounts] of amountsByOwner) void exchange(vm, amounts);
  };

  const reportHeld = () => {
    const slotsByOwner = new Map<string, LongSlot[]>();
    for (const slot of held) {
      const vm = ownerOf(slot.customer);
      slotsByOwner.set(vm, [...slotsByOwner.get(vm) ?? [], slot]);
    }
    for (const [vm, slots] of slotsByOwner) {
      if (vm === self) localOwner.recordHeld(slots);
      else links.send(vm, LongHeldMessage, slots);
    }
  };

  const releaseLong = (slot: LongSlot) => {
    if (!held.delete(slot)) return;
    const vm = ownerOf(slot.customer);
    if (vm === self) localOwner.release(slot);
    else links.send(vm, LongReleasedMessage, slot);
  };

  const requestLongSlot = async (slot: LongSlot): Promise<boolean> => {
    const vm = ownerOf(slot.customer);
    if (vm === self) return await localOwner.takeLong(slot);
    const timeoutMilliseconds = LONG_TIMEOUT_MILLISECONDS;
    const limits = { timeoutMilliseconds };
    return (await links.call(vm, TakeLongCall, slot, limits)).granted;
  };

  const take: CustomerLimits["take"] = (customer, tokens) => {
    const wait = allocationOf(customer).take(tokens, equalShare);
    return wait > 0 ? { retryAfterMilliseconds: wait } : EMPTY_TICKET;
  };

  const acquireLongSlot = async (
    customer: string,
  ): Promise<LimitTicket | LimitRefusal> => {
    const slot = {
      customer,
      slot: `${links.self.incarnation} ${nextSlot++}`,
    };
    if (!await requestLongSlot(slot).catch(() => false)) {
      return { retryAfterMilliseconds: LONG_RETRY_DELAY_MILLISECONDS };
    }
    held.add(slot);
    return { release: () => releaseLong(slot) };
  };

  const repeat = async (interval: Milliseconds, action: () => void) => {
    while (!stop.signal.aborted) {
      await clock.sleep(interval, stop.signal).catch(() => {});
      if (!stop.signal.aborted) action();
    }
  };

  links.onCall(
    ExchangeCall,
    (amounts, from) => Promise.resolve(localOwner.exchange(from.vm, amounts)),
  );
  links.onCall(TakeLongCall, async (slot) => ({
    granted: await localOwner.takeLong(slot),
  }));
  links.onMessage(LongHeldMessage, (slots) => localOwner.recordHeld(slots));
  links.onMessage(LongReleasedMessage, (slot) => localOwner.release(slot));
  membership.onChange(() => {
    candidates = membership.candidates();
    equalShare = computeEqualShare();
    owners = new Map();
    unreachableOwners.clear();
    reportHeld();
  });
  void repeat(EXCHANGE_INTERVAL_MILLISECONDS, exchangeAll);
  void repeat(HELD_REPORT_INTERVAL_MILLISECONDS, () => {
    reportHeld();
    localOwner.prune();
  });

  return {
    take,
    async takeLong(customer, tokens) {
      const result = take(customer, tokens);
      if (isRefusal(result)) return result;
      const long = await acquireLongSlot(customer.name);
      if (isRefusal(long)) allocations.get(customer.name)?.refund(tokens);
      return long;
    },
    close: () => stop.abort(new Error("closed")),
  };
}
