import type { Links } from "../src/links/links.ts";
import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
} from "../src/infrastructure/key_value_store.ts";
import type { FakeClock } from "./fake_clock.ts";
import type { MemoryStore } from "./memory_store.ts";

/// Simulates entries whose calls to the store proceed only step by step, in the
/// order that an explorer chooses.

/// A step that the explorer may choose next.
export interface Step {
  readonly name: string;
  readonly run: () => void;
}

export interface Simulation {
  readonly clock: FakeClock;
  readonly steps: Map<string, Step>;
  /// Inputs that each entry has received, in order. An entry's state depends only
  /// on these.
  readonly inputs: string[][];
  readonly results: string[];
  readonly store: MemoryStore;
  lostAnswers: number;
  pauses: number;
  executions: number;
}

const LOST_ANSWER_PREFIX = "lose the answer of ";

/// Waits until the explorer chooses the step `name`, then performs the action.
export function waitForStep<Value>(
  simulation: Simulation,
  name: string,
  action: () => Promise<Value>,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const run = () => {
      simulation.steps.delete(name);
      action().then(resolve, reject);
    };
    simulation.steps.set(name, { name, run });
  });
}

/// Creates a store of which each call takes two steps: its effect and its answer.
export function createSteppedStore(
  simulation: Simulation,
  entry: number,
  options: { readonly isGuarded: boolean },
): KeyValueStore {
  const store = simulation.store.connect();
  let nextCall = 0;

  const perform = async <Value>(
    kind: string,
    effect: () => Promise<Value>,
  ): Promise<Value> => {
    const name = `entry ${entry} call ${nextCall++} ${kind}`;
    let lost = false;
    const lostAnswerName = LOST_ANSWER_PREFIX + name;
    if (kind === "write" && simulation.lostAnswers > 0) {
      void waitForStep(simulation, lostAnswerName, () => {
        lost = true;
        simulation.lostAnswers--;
        simulation.steps.get(name)?.run();
        return Promise.resolve();
      });
    }
    const value = await waitForStep(simulation, name, () => {
      simulation.steps.delete(lostAnswerName);
      return effect();
    });
    const answer = lost ? `${name} lost` : summarize(name, value);
    await waitForStep(simulation, `${answer} answer`, () => Promise.resolve());
    recordInput(simulation, entry, answer);
    if (lost) throw new StoreOutcomeUnknownError("the answer was lost");
    return value;
  };

  return {
    ...store,
    get: (key) => perform("read", () => store.get(key)),
    transact: (comparisons, operations) =>
      perform("write", () =>
        store.transact(
          options.isGuarded ? comparisons : [],
          operations,
        )),
  };
}

/// Records an input of an entry, with its time.
export function recordInput(
  simulation: Simulation,
  entry: number,
  input: string,
): void {
  simulation.inputs[entry]!.push(`${simulation.clock.now()} ${input}`);
}

function summarize(name: string, value: unknown): string {
  const result = value as
    | { modifiedRevision?: number; revision?: number; succeeded?: boolean }
    | undefined;
  const revision = result?.modifiedRevision ?? result?.revision;
  return `${name} ${revision} ${result?.succeeded}`;
}

/// Returns links that record every received call and reply as an input of the
/// entry.
export function recordLinks(
  links: Links,
  simulation: Simulation,
  entry: number,
): Links {
  return {
    ...links,
    async call(vm, type, value, limits) {
      try {
        const reply = await links.call(vm, type, value, limits);
        recordInput(simulation, entry, `reply ${JSON.stringify(reply)}`);
        return reply;
      } catch (error) {
        recordInput(simulation, entry, `reply ${String(error)}`);
        throw error;
      }
    },
    onCall(type, handler) {
      links.onCall(type, (value, from) => {
        recordInput(simulation, entry, `call ${JSON.stringify(value)}`);
        return handler(value, from);
      });
    },
  };
}
