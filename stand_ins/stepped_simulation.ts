import type { Links } from "../src/links/links.ts";
import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
} from "../src/infrastructure/key_value_store.ts";
import type { FakeClock } from "./fake_clock.ts";
import type { MemoryStore } from "./memory_store.ts";

/// Entries whose calls of the store proceed only step by step, in the order
/// that an explorer takes.

/// A step that the explorer may take now.
export interface Step {
  readonly name: string;
  readonly take: () => void;
}

export interface World {
  readonly clock: FakeClock;
  readonly steps: Map<string, Step>;
  /// What each entry has been told, in order: all that its state depends on.
  readonly inputs: string[][];
  readonly results: string[];
  readonly memory: MemoryStore;
  lostAnswers: number;
  pauses: number;
  executions: number;
}

const LOSE = "lose the answer of ";

/// Waits until the explorer takes the step `name`.
export function waitForStep<Value>(
  world: World,
  name: string,
  action: () => Promise<Value>,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const take = () => {
      world.steps.delete(name);
      action().then(resolve, reject);
    };
    world.steps.set(name, { name, take });
  });
}

/// A store whose every call takes two steps: its effect and its answer.
export function createSteppedStore(
  world: World,
  entry: number,
  options: { readonly isGuarded: boolean },
): KeyValueStore {
  const store = world.memory.connect();
  let nextCall = 0;

  const perform = async <Value>(
    kind: string,
    effect: () => Promise<Value>,
  ): Promise<Value> => {
    const name = `entry ${entry} call ${nextCall++} ${kind}`;
    let lost = false;
    const loseName = LOSE + name;
    if (kind === "write" && world.lostAnswers > 0) {
      void waitForStep(world, loseName, () => {
        lost = true;
        world.lostAnswers--;
        world.steps.get(name)?.take();
        return Promise.resolve();
      });
    }
    const value = await waitForStep(world, name, () => {
      world.steps.delete(loseName);
      return effect();
    });
    const answer = lost ? `${name} lost` : summarize(name, value);
    await waitForStep(world, `${answer} answer`, () => Promise.resolve());
    tell(world, entry, answer);
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

/// Records an input of an entry with its time.
export function tell(world: World, entry: number, input: string): void {
  world.inputs[entry]!.push(`${world.clock.now()} ${input}`);
}

function summarize(name: string, value: unknown): string {
  const result = value as
    | { modifiedRevision?: number; revision?: number; succeeded?: boolean }
    | undefined;
  const revision = result?.modifiedRevision ?? result?.revision;
  return `${name} ${revision} ${result?.succeeded}`;
}

/// Records what arrives over the links among the entry's inputs.
export function recordLinks(links: Links, world: World, entry: number): Links {
  return {
    ...links,
    async call(vm, type, value, limits) {
      try {
        const reply = await links.call(vm, type, value, limits);
        tell(world, entry, `reply ${JSON.stringify(reply)}`);
        return reply;
      } catch (error) {
        tell(world, entry, `reply ${String(error)}`);
        throw error;
      }
    },
    onCall(type, handler) {
      links.onCall(type, (value, from) => {
        tell(world, entry, `call ${JSON.stringify(value)}`);
        return handler(value, from);
      });
    },
  };
}
