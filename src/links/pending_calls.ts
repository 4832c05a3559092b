import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { PayloadFrame } from "./frame.ts";
import { LinkUnansweredError, toCallError } from "./links.ts";

/// Calls that wait for their replies. Each fails at its timeout.

interface PendingCall {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timer: Timer;
  readonly vm: string;
}

export interface PendingCalls {
  /// Registers a call, sends it with `send`, which receives its id, and resolves
  /// to its reply. Rejects with `LinkUnansweredError`.
  open(
    vm: string,
    timeout: Milliseconds,
    send: (id: number) => void,
  ): Promise<unknown>;
  /// Resolves or rejects the call that `reply` belongs to.
  settle(reply: PayloadFrame & { kind: "reply" }): void;
  /// Rejects all calls to `vm`, whose replies can no longer be received.
  fail(vm: string): void;
}

export function createPendingCalls(clock: Clock): PendingCalls {
  const pending = new Map<number, PendingCall>();
  let nextId = 0;

  const remove = (id: number) => {
    const call = pending.get(id);
    pending.delete(id);
    call?.timer.cancel();
    return call;
  };

  return {
    open(vm, timeout, send) {
      const id = nextId++;
      return new Promise((resolve, reject) => {
        const timer = clock.schedule(timeout, () => {
          const error = new LinkUnansweredError(`${vm} did not answer`);
          remove(id)?.reject(error);
        });
        pending.set(id, { resolve, reject, timer, vm });
        send(id);
      });
    },
    settle({ id, value, error }) {
      const call = remove(id);
      if (!call) return;
      if (error === undefined) return call.resolve(value);
      call.reject(toCallError(error));
    },
    fail(vm) {
      for (const [id, call] of [...pending]) {
        if (call.vm !== vm) continue;
        const error = new LinkUnansweredError(`lost the link to ${vm}`);
        remove(id)?.reject(error);
      }
    },
  };
}
