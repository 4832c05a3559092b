import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { PayloadFrame } from "./frame.ts";
import { LinkUnansweredError } from "./links.ts";

/// Calls that wait for their replies. Each ends at its timeout.

interface PendingCall {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timer: Timer;
  readonly vm: string;
}

export interface PendingCalls {
  /// Opens a call and sends it with `send`, which is given its number.
  open(
    vm: string,
    timeout: Milliseconds,
    send: (id: number) => void,
  ): Promise<unknown>;
  settle(reply: PayloadFrame & { kind: "reply" }): void;
  /// Fails every call to `vm`: their replies can't come any more.
  fail(vm: string): void;
}

export function createPendingCalls(clock: Clock): PendingCalls {
  const pending = new Map<number, PendingCall>();
  let next = 0;

  const take = (id: number) => {
    const call = pending.get(id);
    pending.delete(id);
    call?.timer.cancel();
    return call;
  };

  return {
    open(vm, timeout, send) {
      const id = next++;
      return new Promise((resolve, reject) => {
        const timer = clock.schedule(timeout, () => {
          const error = new LinkUnansweredError(`${vm} did not answer`);
          take(id)?.reject(error);
        });
        pending.set(id, { resolve, reject, timer, vm });
        send(id);
      });
    },
    settle({ id, value, error }) {
      const call = take(id);
      if (!call) return;
      if (error === undefined) return call.resolve(value);
      call.reject(new LinkUnansweredError(error));
    },
    fail(vm) {
      for (const [id, call] of [...pending]) {
        if (call.vm !== vm) continue;
        const error = new LinkUnansweredError(`lost the link to ${vm}`);
        take(id)?.reject(error);
      }
    },
  };
}
