import type { PauseGate } from "./pause_gate.ts";

/// The clients of a fleet's VMs: they stop and pause with their VM, and an
/// observer sees what goes through them.

/// Something that an entry does with the store or an upstream.
export interface FleetEvent {
  readonly vm: string;
  /// Name of the engine or service, or "store".
  readonly target: string;
  /// Name of the client's method.
  readonly call: string;
  readonly phase: "call" | "result" | "chunk";
  readonly values: readonly unknown[];
  /// The result or the chunk.
  readonly result: unknown;
}

/// Sees every event. An error that it returns takes the place of the call,
/// its result or the rest of its stream.
export type FleetObserver = (event: FleetEvent) => Error | undefined;

/// What a VM's clients depend on.
export interface VmLife {
  readonly vm: string;
  readonly stopped: AbortSignal;
  readonly gate: PauseGate;
  readonly observe: FleetObserver;
}

/// A client whose calls never settle once its VM has stopped, as those of a
/// dead process, nor while it is paused.
export function untilStopped<Client extends object>(
  client: Client,
  life: VmLife,
  name: string,
): Client {
  const { vm, stopped, gate } = life;
  return new Proxy(client, {
    get(target, property) {
      const member = Reflect.get(target, property) as unknown;
      if (typeof member !== "function") return member;
      return (...values: unknown[]) => {
        if (stopped.aborted) return new Promise(() => {});
        const call = String(property);
        const observe = (phase: FleetEvent["phase"], result?: unknown) => {
          const event = { vm, target: name, call, phase, values, result };
          const error = life.observe(event);
          if (error) throw error;
        };
        return observedCall(call, () => member.apply(target, values), {
          observe,
          gate,
        });
      };
    },
  });
}

interface CallObserver {
  readonly observe: (phase: FleetEvent["phase"], result?: unknown) => void;
  readonly gate: PauseGate;
}

/// Calls that answer with a stream.
const STREAM_CALLS = new Set(["complete", "resume", "watch"]);

function failedCall(name: string, failure: Error): unknown {
  if (!STREAM_CALLS.has(name)) return Promise.reject(failure);
  const next = () => Promise.reject(failure);
  return { [Symbol.asyncIterator]: () => ({ next }) };
}

function observedCall(
  name: string,
  call: () => unknown,
  observer: CallObserver,
): unknown {
  const { observe, gate } = observer;
  let failure: Error | undefined;
  try {
    observe("call");
  } catch (error) {
    failure = error as Error;
  }
  if (failure) return failedCall(name, failure);
  const result = call();
  if (result instanceof Promise) {
    return gate.hold(result.then((value) => {
      observe("result", value);
      return value;
    }));
  }
  const isStream = typeof result === "object" && result !== null &&
    Symbol.asyncIterator in result;
  if (!isStream) return result;
  return observedStream(result as AsyncIterable<unknown>, observer);
}

function observedStream(
  source: AsyncIterable<unknown>,
  { observe, gate }: CallObserver,
): AsyncIterable<unknown> {
  return {
    [Symbol.asyncIterator]() {
      const iterator = source[Symbol.asyncIterator]();
      const next = async () => {
        const item = await iterator.next();
        if (!item.done) observe("chunk", item.value);
        return item;
      };
      return {
        next: () => gate.hold(next()),
        return: () =>
          iterator.return?.() ??
            Promise.resolve({ done: true, value: undefined }),
      };
    },
  };
}
