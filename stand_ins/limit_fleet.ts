import { createContractBook } from "../src/contracts/contract_book.ts";
import {
  createCustomerLimits,
  type CustomerLimits,
  isRefusal,
  type LimitTicket,
} from "../src/contracts/customer_limits.ts";
import type { Customer } from "../src/contracts/sheet.ts";
import { createSilentLogger } from "../src/support/log.ts";
import { createSeededRandom } from "../src/support/random.ts";
import { createMembership } from "../src/vms/membership.ts";
import { createFakeClock, type FakeClock } from "./fake_clock.ts";
import { createLocalNetwork } from "./local_links.ts";
import { createLocalVmList } from "./local_vm_list.ts";
import { sampleSheet } from "./sample_sheet.ts";

/// Entries that share one customer's limits, under the fake clock.

export const LIMIT_CUSTOMER = "caller";

export interface LimitFleetOptions {
  readonly vms: number;
  readonly requestsPerSecond: number;
  /// Tokens of each request.
  readonly tokens?: number;
  readonly seed?: number;
  /// Revision of the sheet in force at the owners of the limits; 0 for none.
  readonly sheetRevision?: number;
}

/// Requests that arrive at random times.
export interface Arrival {
  /// Mean number of requests per second.
  readonly perSecond: number;
  /// Weight of each VM, relative to the others.
  readonly weights: readonly number[];
  readonly seconds: number;
}

export interface LimitFleet {
  readonly clock: FakeClock;
  readonly names: readonly string[];
  readonly longLimit: number;
  /// Advances the clock until the VMs have discovered each other.
  start(): Promise<void>;
  /// Sends the arrivals. Resolves to the number of admitted requests.
  sendArrivals(arrival: Arrival): Promise<number>;
  /// Number of requests refused so far.
  refused(): number;
  /// Removes a VM. Its peers detect this after the idle timeout of the links.
  remove(vm: string): void;
  /// Cuts the links between these VMs and the others.
  partition(vms: readonly string[]): void;
  /// Restores the links that `partition` cut.
  heal(): void;
  /// Requests admission of one long request at each VM. Resolves to the tickets of
  /// the admitted ones.
  takeLongEverywhere(vms?: readonly string[]): Promise<readonly LimitTicket[]>;
}

const VM_LIST_LAG_MILLISECONDS = 30_000;
const DETECTION_MILLISECONDS = 3_200;
const START_MILLISECONDS = 3_000;
const DEFAULT_TOKENS = 1_000;
const UNLIMITED_TOKENS_PER_SECOND = 1e12;

function createLimitedSheet({ requestsPerSecond }: LimitFleetOptions) {
  const sheet = sampleSheet();
  const customers = sheet.customers.map((customer): Customer => ({
    ...customer,
    name: LIMIT_CUSTOMER,
    requestsPerSecond,
    tokensPerSecond: UNLIMITED_TOKENS_PER_SECOND,
  }));
  return { ...sheet, customers };
}

export function startLimitFleet(options: LimitFleetOptions): LimitFleet {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, {
    detectionMilliseconds: DETECTION_MILLISECONDS,
  });
  const vmList = createLocalVmList(clock, VM_LIST_LAG_MILLISECONDS);
  const random = createSeededRandom(options.seed ?? 1);
  const sheet = createLimitedSheet(options);
  const customer = sheet.customers[0]!;
  const revision = options.sheetRevision ?? 1;
  const limits = new Map<string, CustomerLimits>();
  const cuts: [string, string][] = [];
  let refusedCount = 0;

  const startVm = (vm: string) => {
    const self = { vm, incarnation: `${vm}-1`, dataCentre: "muttrah" };
    const links = network.join(self);
    vmList.set({
      name: vm,
      dataCentre: self.dataCentre,
      linkAddress: "",
      state: "live",
    });
    const log = createSilentLogger();
    const membership = createMembership({
      clock,
      log,
      self,
      vmList,
      peers: links,
    });
    const book = createContractBook();
    book.adopt({ revision, sheet });
    limits.set(vm, createCustomerLimits({ clock, links, membership, book }));
  };

  const names = Array.from(
    { length: options.vms },
    (_, index) => `vm-${index + 1}`,
  );
  names.forEach(startVm);

  const pickVm = (weights: readonly number[]) => {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let position = random.next() * total;
    for (const [index, weight] of weights.entries()) {
      position -= weight;
      if (position < 0) return names[index]!;
    }
    return names.at(-1)!;
  };

  const takeShort = (vm: string) => {
    const tokens = options.tokens ?? DEFAULT_TOKENS;
    const result = limits.get(vm)?.take(customer, tokens);
    if (!result) return false;
    if (!isRefusal(result)) return true;
    refusedCount++;
    return false;
  };

  return {
    clock,
    names,
    longLimit: customer.concurrentLongRequests,
    start: () => clock.advance(START_MILLISECONDS),
    async sendArrivals({ perSecond, weights, seconds }) {
      const end = clock.now() + seconds * 1_000;
      let admitted = 0;
      while (true) {
        const interval = -Math.log(1 - random.next()) * 1_000 / perSecond;
        if (clock.now() + interval >= end) break;
        await clock.advance(interval);
        if (takeShort(pickVm(weights))) admitted++;
      }
      await clock.advance(end - clock.now());
      return admitted;
    },
    refused: () => refusedCount,
    remove(vm) {
      network.remove(vm);
      vmList.remove(vm);
      limits.get(vm)?.close();
      limits.delete(vm);
    },
    partition(vms) {
      const others = names.filter((name) => !vms.includes(name));
      for (const near of vms) {
        for (const far of others) cuts.push([near, far], [far, near]);
      }
      for (const [from, to] of cuts) network.setCut(from, to, true);
    },
    heal() {
      for (const [from, to] of cuts.splice(0)) network.setCut(from, to, false);
    },
    async takeLongEverywhere(vms = names) {
      const tickets = vms.map((vm) => limits.get(vm)!.takeLong(customer, 1));
      const results = await clock.advanceUntil(Promise.all(tickets));
      return results.filter((result): result is LimitTicket =>
        !isRefusal(result)
      );
    },
  };
}
