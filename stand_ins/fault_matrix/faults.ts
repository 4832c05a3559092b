import { LEDGER_SHARD_PREFIX } from "../../src/requests/ledger_router.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import type { Fleet } from "../fleet.ts";

/// The faults of the matrix. Each starts at once and ends by itself.

/// The running row that a fault acts on.
export interface FaultTarget {
  readonly fleet: Fleet;
  /// Entry that received the request.
  readonly vm: string;
  /// Engine of the request's latest call, or undefined if there was none.
  readonly engine: string | undefined;
  /// Cuts the request's connection to its upstream at the next event of that
  /// connection.
  cutConnection(): void;
  /// Sends the same request to another entry.
  sendDuplicate(): void;
  readonly caller: AbortController;
}

export type Fault = (target: FaultTarget) => void;

const HEALING_DELAY_MILLISECONDS = 5_000;
const ENGINE_STALL_MILLISECONDS = 30_000;
/// Exceeds every lease and every heartbeat timeout.
const ENTRY_PAUSE_MILLISECONDS = 20_000;
const SLOW_STORE_LATENCY_MILLISECONDS = 800;
const DRAIN_LIMIT_MILLISECONDS = 60_000;

function scheduleHealing({ fleet }: FaultTarget, action: () => void): void {
  fleet.clock.schedule(HEALING_DELAY_MILLISECONDS, action);
}

function engineOf(target: FaultTarget) {
  const { engines } = target.fleet;
  return engines.get(target.engine ?? "") ?? [...engines.values()][0]!;
}

function cutLinks(target: FaultTarget, directions: readonly ("out" | "in")[]) {
  const { fleet, vm } = target;
  const others = [...fleet.entries.keys()].filter((other) => other !== vm);
  const set = (cut: boolean) => {
    for (const other of others) {
      if (directions.includes("out")) fleet.network.setCut(vm, other, cut);
      if (directions.includes("in")) fleet.network.setCut(other, vm, cut);
    }
  };
  set(true);
  scheduleHealing(target, () => set(false));
}

/// Rewrites every ledger shard unchanged, so that concurrent writes fail with a
/// conflict.
async function rewriteShards({ store }: Fleet): Promise<void> {
  const client = store.connect();
  const { values } = await client.range(LEDGER_SHARD_PREFIX);
  for (const { key, value } of values) {
    await client.transact([], [{ kind: "put", key, value }]);
  }
}

export const FAULTS: Readonly<Record<string, Fault>> = {
  engineCrash(target) {
    const engine = engineOf(target);
    engine.crash();
    scheduleHealing(target, () => engine.restart());
  },
  engineStall: (target) => engineOf(target).stall(ENGINE_STALL_MILLISECONDS),
  connectionCut: (target) => target.cutConnection(),
  entryCrash(target) {
    const { fleet, vm } = target;
    if (!fleet.entries.has(vm)) return;
    fleet.kill(vm);
    scheduleHealing(target, () => void fleet.start(vm));
  },
  entryPause({ fleet, vm }) {
    fleet.pause(vm);
    fleet.clock.schedule(ENTRY_PAUSE_MILLISECONDS, () => fleet.resume(vm));
  },
  storeDown(target) {
    target.fleet.store.setDown(true);
    scheduleHealing(target, () => target.fleet.store.setDown(false));
  },
  storeSlow(target) {
    target.fleet.store.setLatency(SLOW_STORE_LATENCY_MILLISECONDS);
    scheduleHealing(target, () => target.fleet.store.setLatency(0));
  },
  storeAnswerLost: ({ fleet }) => fleet.store.loseAnswers(1),
  /// If the store is down at the same time, there is no conflict to cause; the
  /// error is ignored.
  storeConflict: ({ fleet }) => void rewriteShards(fleet).catch(() => {}),
  linkCutOneWay: (target) => cutLinks(target, ["out"]),
  linkCutBothWays: (target) => cutLinks(target, ["out", "in"]),
  vmListStale(target) {
    target.fleet.vmList.setDown(true);
    scheduleHealing(target, () => target.fleet.vmList.setDown(false));
  },
  duplicate: (target) => target.sendDuplicate(),
  callerGone: ({ caller }) =>
    caller.abort(new RequestError("caller_gone", { executed: "unknown" })),
  drain({ fleet, vm }) {
    void fleet.entries.get(vm)?.drain(DRAIN_LIMIT_MILLISECONDS);
  },
};
