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
  /// Revision of the sheet in force at the homes; 0 for none.
  readonly sheetRevision?: number;
}

/// Requests that arrive at random times.
export interface Arrival {
  readonly perSecond: number;
  /// Share of each VM, relative to the others.
  readonly weights: readonly number[];
  readonly seconds: number;
}

export interface LimitFleet {
  readonly clock: FakeClock;
  readonly names: readonly string[];
  readonly longLimit: number;
  /// Lets the VMs find each other.
  start(): Promise<void>;
  /// Sends the arrivals and resolves to how many were admitted.
  sendArrivals(arrival: Arrival): Promise<number>;
  /// Requests refused so far.
  refused(): number;
  /// Ends a VM. Its peers notice after the links' silence limit.
  remove(vm: string): void;
  /// Cuts these VMs off from the others.
  partition(vms: readonly string[]): void;
  heal(): void;
  /// Asks for one long request at each VM.
  takeLongEverywhere(vms?: readonly string[]): Promise<readonly LimitTicket[]>;
}

const LIST_LAG_MILLISECONDS = 30_000;
const DETECTION_MILLISECONDS = 3_200;
const START_MILLISECONDS = 3_000;
const DEFAULT_TOKENS = 1_000;
const AMPLE = 1e12;

function limitedSheet({ requestsPerSecond }: LimitFleetOptions) {
  const sheet = sampleSheet();
  const customers = sheet.customers.map((customer): Customer => ({
    ...customer,
    name: LIMIT_CUSTOMER,
    requestsPerSecond,
    tokensPerSecond: AMPLE,
  }));
  return { ...sheet, customers };
}

export function startLimitFleet(options: LimitFleetOptions): LimitFleet {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock, {
    detectionMilliseconds: DETECTION_MILLISECONDS,
  });
  const vmList = createLocalVmList(clock, LIST_LAG_MILLISECONDS);
  const random = createSeededRandom(options.seed ?? 1);
  const sheet = limitedSheet(options);
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

  const pick = (weights: readonly number[]) => {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let point = random.next() * total;
    for (const [index, weight] of weights.entries()) {
      point -= weight;
      if (point < 0) return names[index]!;
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
        const wait = -Math.log(1 - random.next()) * 1_000 / perSecond;
        if (clock.now() + wait >= end) break;
        await clock.advance(wait);
        if (takeShort(pick(weights))) admitted++;
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
      const asked = vms.map((vm) => limits.get(vm)!.takeLong(customer, 1));
      const results = await clock.advanceUntil(Promise.all(asked));
      return results.filter((result): result is LimitTicket =>
        !isRefusal(result)
      );
    },
  };
}
