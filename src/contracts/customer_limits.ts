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

/// Each customer's limits over all VMs. One VM, the home, grants from the
/// customer's buckets to the entries that need them. An entry that can't ask
/// the home uses an equal share.

/// What an admitted request holds until `release`.
export interface LimitTicket {
  release(): void;
}

/// The limit is spent; the request may be repeated after a while.
export interface LimitRefusal {
  readonly retryAfterMilliseconds: Milliseconds;
}

export interface CustomerLimits {
  /// Counts a short request of so many prompt and requested tokens.
  take(customer: Customer, tokens: number): LimitTicket | LimitRefusal;
  /// Counts a long request, for which the home is asked.
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
const CALL_TIMEOUT_MILLISECONDS = 400;
/// A home that has just become one waits before it grants a long request.
const LONG_TIMEOUT_MILLISECONDS = 4_000;
/// Interval at which an entry tells the homes of its long requests.
const HOLD_INTERVAL_MILLISECONDS = 1_000;
const LONG_RETRY_MILLISECONDS = 2_000;

const NOTHING_HELD: LimitTicket = { release: () => {} };

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
  const stocks = new Map<string, LimitAllocation>();
  /// Slots of the long requests that run here.
  const held = new Set<LongSlot>();
  /// Homes whose last answer failed to come.
  const lost = new Set<string>();
  const exchanging = new Set<string>();
  const stop = new AbortController();
  let candidates = membership.candidates();
  let homes = new Map<string, string>();
  let named: ReadonlyMap<string, Customer> = new Map();
  let namedRevision = -1;
  let nextSlot = 0;

  const customerNamed = (name: string) => {
    const { revision, sheet } = book.current();
    if (revision !== namedRevision) {
      named = new Map(sheet.customers.map((item) => [item.name, item]));
      namedRevision = revision;
    }
    return named.get(name);
  };

  const home = createLimitOwner({
    clock,
    membership,
    findCustomer: customerNamed,
  });

  /// Without a candidate (this VM is leaving, alone) it is its own home.
  const homeOf = (customer: string) => {
    let found = homes.get(customer);
    if (!found) {
      found = rankByRendezvous(`limit ${customer}`, candidates)[0] ?? self;
      homes.set(customer, found);
    }
    return found;
  };

  const computeShare = () => {
    const live = membership.members()
      .filter((member) => member.state === "live");
    return 1 / Math.max(1, live.length);
  };

  let equalShare = computeShare();

  const stockOf = (customer: Customer) => {
    let stock = stocks.get(customer.name);
    if (!stock) {
      stock = createLimitAllocation(customer, clock.now);
      stocks.set(customer.name, stock);
    }
    if (stock.customer !== customer) stock.update(customer);
    return stock;
  };

  const receive = (grants: readonly LimitAmount[]) => {
    for (const grant of grants) stocks.get(grant.customer)?.addGrant(grant);
  };

  const exchange = async (vm: string, asks: readonly LimitAmount[]) => {
    for (const ask of asks) stocks.get(ask.customer)?.deductReturned(ask);
    if (vm === self) return receive(home.exchange(self, asks));
    exchanging.add(vm);
    try {
      const timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS;
      receive(
        await links.call(vm, ExchangeCall, [...asks], { timeoutMilliseconds }),
      );
      lost.delete(vm);
    } catch {
      lost.add(vm);
    } finally {
      exchanging.delete(vm);
    }
  };

  const exchangeAll = () => {
    const interval = EXCHANGE_INTERVAL_MILLISECONDS;
    const asksByHome = new Map<string, LimitAmount[]>();
    for (const [name, stock] of stocks) {
      const vm = homeOf(name);
      if (lost.has(vm)) stock.addShare(interval, equalShare);
      const ask = stock.requestGrant(interval);
      if (!ask) {
        if (stock.isIdle()) stocks.delete(name);
      } else if (!exchanging.has(vm)) {
        asksByHome.set(vm, [...asksByHome.get(vm) ?? [], ask]);
      }
    }
    for (const [vm, asks] of asksByHome) void exchange(vm, asks);
  };

  const tellHeld = () => {
    const byHome = new Map<string, LongSlot[]>();
    for (const slot of held) {
      const vm = homeOf(slot.customer);
      byHome.set(vm, [...byHome.get(vm) ?? [], slot]);
    }
    for (const [vm, slots] of byHome) {
      if (vm === self) home.recordHeld(slots);
      else links.send(vm, LongHeldMessage, slots);
    }
  };

  const releaseLong = (slot: LongSlot) => {
    if (!held.delete(slot)) return;
    const vm = homeOf(slot.customer);
    if (vm === self) home.release(slot);
    else links.send(vm, LongReleasedMessage, slot);
  };

  const askForLong = async (slot: LongSlot): Promise<boolean> => {
    const vm = homeOf(slot.customer);
    if (vm === self) return await home.takeLong(slot);
    const timeoutMilliseconds = LONG_TIMEOUT_MILLISECONDS;
    const limits = { timeoutMilliseconds };
    return (await links.call(vm, TakeLongCall, slot, limits)).granted;
  };

  const take: CustomerLimits["take"] = (customer, tokens) => {
    const wait = stockOf(customer).take(tokens, equalShare);
    return wait > 0 ? { retryAfterMilliseconds: wait } : NOTHING_HELD;
  };

  const takeSlot = async (
    customer: string,
  ): Promise<LimitTicket | LimitRefusal> => {
    const slot = {
      customer,
      slot: `${links.self.incarnation} ${nextSlot++}`,
    };
    if (!await askForLong(slot).catch(() => false)) {
      return { retryAfterMilliseconds: LONG_RETRY_MILLISECONDS };
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
    (asks, from) => Promise.resolve(home.exchange(from.vm, asks)),
  );
  links.onCall(TakeLongCall, async (slot) => ({
    granted: await home.takeLong(slot),
  }));
  links.onMessage(LongHeldMessage, (slots) => home.recordHeld(slots));
  links.onMessage(LongReleasedMessage, (slot) => home.release(slot));
  membership.onChange(() => {
    candidates = membership.candidates();
    equalShare = computeShare();
    homes = new Map();
    lost.clear();
    tellHeld();
  });
  void repeat(EXCHANGE_INTERVAL_MILLISECONDS, exchangeAll);
  void repeat(HOLD_INTERVAL_MILLISECONDS, () => {
    tellHeld();
    home.prune();
  });

  return {
    take,
    async takeLong(customer, tokens) {
      const result = take(customer, tokens);
      if (isRefusal(result)) return result;
      const long = await takeSlot(customer.name);
      if (isRefusal(long)) stocks.get(customer.name)?.refund(tokens);
      return long;
    },
    close: () => stop.abort(new Error("closed")),
  };
}
