import type { Sheet } from "../contracts/sheet.ts";

/// Which engines should load which version, from what the sheet wants and
/// what the engines report. Pure: the same view gives the same plan.

export interface ObservedEngine {
  readonly name: string;
  /// Model that the sheet gives it.
  readonly serves: string;
  /// What it reports, or undefined without a fresh report.
  readonly loaded: LoadedVersion | undefined;
  readonly runningStreams: number;
  /// Whether it may be given an order now.
  readonly isOrderable: boolean;
  /// The version that an order under way makes it load.
  readonly ordered: LoadedVersion | undefined;
}

export interface LoadedVersion {
  readonly model: string;
  readonly version: string;
}

export interface PlannedLoad extends LoadedVersion {
  readonly engine: string;
}

export interface CoordinatorPlan {
  readonly loads: readonly PlannedLoad[];
  /// Engines that would have to give up a last ready copy.
  readonly blocked: readonly string[];
}

/// Tokens a second that the customers may use of each version of a model.
function demandOf(sheet: Sheet, model: string): Map<string, number> {
  const rows = sheet.models.filter((row) => row.model === model);
  const shares = new Map<string, number>();
  for (const { customer, share } of rows) {
    shares.set(customer, (shares.get(customer) ?? 0) + share);
  }
  const rates = new Map(
    sheet.customers.map((item) => [item.name, item.tokensPerSecond]),
  );
  const demand = new Map<string, number>();
  for (const { customer, version, share } of rows) {
    const rate = (rates.get(customer) ?? 0) * share / shares.get(customer)!;
    demand.set(version, (demand.get(version) ?? 0) + rate);
  }
  return demand;
}

/// Splits `engines` engines by demand, each version at least one if there are
/// enough, by largest remainders.
export function apportion(
  demand: ReadonlyMap<string, number>,
  engines: number,
): ReadonlyMap<string, number> {
  const versions = [...demand].sort(([left, a], [right, b]) =>
    b - a || (left < right ? -1 : 1)
  );
  const wanted = versions.slice(0, engines);
  const total = wanted.reduce((sum, [, rate]) => sum + rate, 0);
  const spare = engines - wanted.length;
  const exact = wanted.map(([version, rate]) => ({
    version,
    extra: total > 0 ? spare * rate / total : spare / wanted.length,
  }));
  const counts = new Map(
    exact.map(({ version, extra }) => [version, 1 + Math.floor(extra)]),
  );
  const given = [...counts.values()].reduce((sum, count) => sum + count, 0);
  const byRemainder = exact.toSorted((left, right) =>
    (right.extra % 1) - (left.extra % 1)
  );
  for (const { version } of byRemainder.slice(0, engines - given)) {
    counts.set(version, counts.get(version)! + 1);
  }
  return counts;
}

/// Plans the loads of one model's engines.
class ModelPlanner {
  readonly #model: string;
  readonly #engines: readonly ObservedEngine[];
  readonly #demand: ReadonlyMap<string, number>;
  readonly #ready = new Map<string, number>();
  readonly loads: PlannedLoad[] = [];
  readonly blocked: string[] = [];

  constructor(
    model: string,
    engines: readonly ObservedEngine[],
    demand: ReadonlyMap<string, number>,
  ) {
    this.#model = model;
    this.#engines = engines;
    this.#demand = demand;
    for (const engine of engines) {
      const version = this.#readyVersion(engine);
      if (version === undefined) continue;
      this.#ready.set(version, (this.#ready.get(version) ?? 0) + 1);
    }
  }

  plan(): void {
    const missing = new Map(apportion(this.#demand, this.#engines.length));
    for (const engine of this.#engines) {
      const version = this.#expectedVersion(engine);
      const left = version === undefined ? undefined : missing.get(version);
      if (left !== undefined) missing.set(version!, left - 1);
    }
    const surplus = this.#surplus(missing);
    for (const [version, count] of missing) {
      for (let index = 0; index < count; index++) {
        this.#loadOnOne(version, surplus);
      }
    }
  }

  /// The version that an engine serves, unless an order is under way.
  #readyVersion({ loaded, ordered }: ObservedEngine): string | undefined {
    const isReady = loaded?.model === this.#model && ordered === undefined;
    return isReady ? loaded.version : undefined;
  }

  /// The version that an engine will serve.
  #expectedVersion({ loaded, ordered }: ObservedEngine): string | undefined {
    const expected = ordered ?? loaded;
    return expected?.model === this.#model ? expected.version : undefined;
  }

  /// Engines that may load another version, the least busy first.
  #surplus(missing: ReadonlyMap<string, number>): ObservedEngine[] {
    const over = new Map(
      [...missing].filter(([, count]) => count < 0),
    );
    const found: ObservedEngine[] = [];
    const byLoad = this.#engines.toSorted((left, right) =>
      left.runningStreams - right.runningStreams ||
      (left.name < right.name ? -1 : 1)
    );
    for (const engine of byLoad) {
      if (engine.ordered || !engine.isOrderable) continue;
      const version = this.#expectedVersion(engine);
      if (version === undefined || !missing.has(version)) found.push(engine);
      else if ((over.get(version) ?? 0) < 0) {
        over.set(version, over.get(version)! + 1);
        found.push(engine);
      }
    }
    return found;
  }

  #countReady(): number {
    return [...this.#ready.values()].reduce((sum, count) => sum + count, 0);
  }

  #loadOnOne(version: string, surplus: ObservedEngine[]): void {
    const index = surplus.findIndex((engine) => this.#mayTake(engine));
    const [engine] = index >= 0 ? surplus.splice(index, 1) : [];
    if (!engine) {
      const next = surplus[0]?.name;
      if (next !== undefined) this.blocked.push(next);
      return;
    }
    const old = this.#readyVersion(engine);
    if (old !== undefined) this.#ready.set(old, this.#ready.get(old)! - 1);
    this.loads.push({ engine: engine.name, model: this.#model, version });
  }

  /// Whether taking the engine leaves what it serves elsewhere. The last copy
  /// of a version that the sheet no longer has may go once it is idle and
  /// another engine is ready with the model.
  #mayTake(engine: ObservedEngine): boolean {
    const version = this.#readyVersion(engine);
    if (version === undefined) return true;
    if (this.#ready.get(version)! > 1) return true;
    const isIdle = engine.runningStreams === 0;
    const isLast = this.#countReady() <= 1 && this.#engines.length > 1;
    return !this.#demand.has(version) && isIdle && !isLast;
  }
}

/// Plans all loads of the engines given.
export function planLoads(
  sheet: Sheet,
  engines: readonly ObservedEngine[],
): CoordinatorPlan {
  const loads: PlannedLoad[] = [];
  const blocked: string[] = [];
  const models = new Set(engines.map((engine) => engine.serves));
  for (const model of [...models].sort()) {
    const own = engines.filter((engine) => engine.serves === model);
    const planner = new ModelPlanner(model, own, demandOf(sheet, model));
    planner.plan();
    loads.push(...planner.loads);
    blocked.push(...planner.blocked);
  }
  return { loads, blocked };
}
