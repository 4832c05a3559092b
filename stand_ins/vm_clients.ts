import type { PauseGate } from "./pause_gate.ts";

/// The clients of a fleet's VMs. They stop and pause with their VM, and an
/// observer receives an event for each of their calls, results and chunks.

/// A call of an entry to the store, the VM list or an upstream, its result, or a
/// chunk of its stream.
export interface FleetEvent {
  readonly vm: string;
  /// Name of the engine or service, "store" or "vmList".
  readonly target: string;
  /// Name of the client's method.
  readonly call: string;
  readonly phase: "call" | "result" | "chunk";
  readonly values: readonly unknown[];
  /// The result or the chunk.
  readonly result: unknown;
}

/// Called with every event. An error that it returns replaces the call, its
/// result or the rest of its stream.
export type FleetObserver = (event: FleetEvent) => Error | undefined;

/// The VM of a client, with its stop signal, its pause gate and its observer.
export interface VmContext {
  readonly vm: string;
  readonly stopped: AbortSignal;
  readonly gate: PauseGate;
  readonly observe: FleetObserver;
}

/// Returns a client whose calls never settle once its VM has stopped, like those
/// of a terminated process. While the VM is paused, no call settles.
export function createVmClient<Client extends object>(
  client: Client,
  context: VmContext,
  name: string,
): Client {
  const { vm, stopped, gate } = context;
  return new Proxy(client, {
    get(target, property) {
      const member = Reflect.get(target, property) as unknown;
      if (typeof member !== "function") return member;
      return (...values: unknown[]) => {
        if (stopped.aborted) return new Promise(() => {});
        const call = String(property);
        const observe = (phase: FleetEvent["phase"], result?: unknown) => {
          const event = { vm, target: name, call, phase, values, result };
          const error = context.observe(event);
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

/// Calls that return a stream.
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
    return gate.deferWhilePaused(result.then((value) => {
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
        next: () => gate.deferWhilePaused(next()),
        return: () =>
          iterator.return?.() ??
            Promise.resolve({ done: true, value: undefined }),
      };
    },
  };
}
