import type { Clock, Milliseconds } from "../support/clock.ts";
import type { PlacementDecision } from "./placement_decision.ts";

/// Decisions that owners of placement send after their reply, for requests that
/// wait for a slot or for another data centre.

/// Time after which a decision is given up: a bit more than a request may wait
/// for a slot.
const TIMEOUT_MILLISECONDS: Milliseconds = 1_300;

export interface AwaitedDecisions {
  /// Waits for the decision of `vm` on the question with `ticket`. Resolves to
  /// undefined if none arrives, and to a refusal when `signal` aborts.
  wait(
    vm: string,
    ticket: number,
    signal: AbortSignal | undefined,
  ): Promise<PlacementDecision | undefined>;
  /// Passes on a decision, or ends the wait with undefined; returns false if no
  /// request waits.
  settle(
    vm: string,
    ticket: number,
    decision: PlacementDecision | undefined,
  ): boolean;
  /// Ends the waits for VMs that aren't in `vms`.
  retain(vms: ReadonlySet<string>): void;
}

interface Waiter {
  readonly vm: string;
  readonly settle: (decision: PlacementDecision | undefined) => void;
}

export function createAwaitedDecisions(clock: Clock): AwaitedDecisions {
  const waiters = new Map<string, Waiter>();
  const keyOf = (vm: string, ticket: number) => `${vm} ${ticket}`;
  return {
    wait: (vm, ticket, signal) =>
      new Promise((resolve) => {
        const key = keyOf(vm, ticket);
        const settle: Waiter["settle"] = (decision) => {
          waiters.delete(key);
          timer.cancel();
          signal?.removeEventListener("abort", leave);
          resolve(decision);
        };
        const leave = () =>
          settle({ kind: "refused", reason: "no engine had a slot in time" });
        const timer = clock.schedule(
          TIMEOUT_MILLISECONDS,
          () => settle(undefined),
        );
        signal?.addEventListener("abort", leave, { once: true });
        waiters.set(key, { vm, settle });
      }),
    settle(vm, ticket, decision) {
      const waiter = waiters.get(keyOf(vm, ticket));
      waiter?.settle(decision);
      return waiter !== undefined;
    },
    retain(vms) {
      for (const { vm, settle } of waiters.values()) {
        if (!vms.has(vm)) settle(undefined);
      }
    },
  };
}
