import { LEDGER_SHARD_PREFIX } from "../../src/requests/ledger_router.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import type { Fleet } from "../fleet.ts";

/// The faults of the matrix. Each is caused at once and heals by itself.

/// The running row that a fault acts on.
export interface FaultTarget {
  readonly fleet: Fleet;
  /// Entry that received the request.
  readonly vm: string;
  /// Engine of the request's latest call, if there was one.
  readonly engine: string | undefined;
  /// Cuts the request's connection to its upstream at the next event there.
  cutConnection(): void;
  /// Sends the same request again at another entry.
  sendDuplicate(): void;
  readonly caller: AbortController;
}

export type Fault = (target: FaultTarget) => void;

const HEAL_MILLISECONDS = 5_000;
const ENGINE_STALL_MILLISECONDS = 30_000;
/// Longer than every lease and every heartbeat limit.
const PAUSE_MILLISECONDS = 20_000;
const SLOW_STORE_MILLISECONDS = 800;
const DRAIN_LIMIT_MILLISECONDS = 60_000;

function heal({ fleet }: FaultTarget, action: () => void): void {
  fleet.clock.schedule(HEAL_MILLISECONDS, action);
}

function engineOf(target: FaultTarget) {
  const { engines } = target.fleet;
  return engines.get(target.engine ?? "") ?? [...engines.values()][0]!;
}

function cutLinks(target: FaultTarget, ways: readonly ("out" | "in")[]) {
  const { fleet, vm } = target;
  const others = [...fleet.entries.keys()].filter((other) => other !== vm);
  const set = (cut: boolean) => {
    for (const other of others) {
      if (ways.includes("out")) fleet.network.setCut(vm, other, cut);
      if (ways.includes("in")) fleet.network.setCut(other, vm, cut);
    }
  };
  set(true);
  heal(target, () => set(false));
}

/// Writes every ledger shard again as it is, so that writes under way meet a
/// conflict.
async function touchShards({ store }: Fleet): Promise<void> {
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
    heal(target, () => engine.restart());
  },
  engineStall: (target) => engineOf(target).stall(ENGINE_STALL_MILLISECONDS),
  connectionCut: (target) => target.cutConnection(),
  entryCrash(target) {
    const { fleet, vm } = target;
    if (!fleet.entries.has(vm)) return;
    fleet.kill(vm);
    heal(target, () => void fleet.start(vm));
  },
  entryPause({ fleet, vm }) {
    fleet.pause(vm);
    fleet.clock.schedule(PAUSE_MILLISECONDS, () => fleet.resume(vm));
  },
  storeDown(target) {
    target.fleet.store.setDown(true);
    heal(target, () => target.fleet.store.setDown(false));
  },
  storeSlow(target) {
    target.fleet.store.setLatency(SLOW_STORE_MILLISECONDS);
    heal(target, () => target.fleet.store.setLatency(0));
  },
  storeAnswerLost: ({ fleet }) => fleet.store.loseAnswers(1),
  /// A store that is down at the same time has no conflicts.
  storeConflict: ({ fleet }) => void touchShards(fleet).catch(() => {}),
  linkCutOneWay: (target) => cutLinks(target, ["out"]),
  linkCutBothWays: (target) => cutLinks(target, ["out", "in"]),
  vmListStale(target) {
    target.fleet.vmList.setDown(true);
    heal(target, () => target.fleet.vmList.setDown(false));
  },
  duplicate: (target) => target.sendDuplicate(),
  callerGone: ({ caller }) =>
    caller.abort(new RequestError("caller_gone", { executed: "unknown" })),
  drain({ fleet, vm }) {
    void fleet.entries.get(vm)?.drain(DRAIN_LIMIT_MILLISECONDS);
  },
};
