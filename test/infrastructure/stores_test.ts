import test from "ava";
import { createEtcdStore } from "../../src/infrastructure/etcd_store.ts";
import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../../src/infrastructure/key_value_store.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { startKeyValueServer } from "../../stand_ins/key_value_server.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";

/// Contract of the key-value store, checked for the client over HTTP and for the
/// in-memory store of the fake-clock tests.

interface Subject {
  readonly store: KeyValueStore;
  readonly memory: ReturnType<typeof createMemoryStore>;
  readonly close: () => Promise<void>;
}

async function connectDirectly(): Promise<Subject> {
  const memory = createMemoryStore(createSystemClock());
  const store = memory.connect();
  return await Promise.resolve({ store, memory, close: async () => {} });
}

async function connectOverHttp(): Promise<Subject> {
  const memory = createMemoryStore(createSystemClock());
  const server = await startKeyValueServer(memory);
  const store = createEtcdStore(`http://${server.address}`);
  const close = async () => {
    await store.close();
    await server.close();
  };
  return { store, memory, close };
}

const put = (key: string, text: string) =>
  ({ kind: "put", key, value: Buffer.from(text) }) as const;

for (
  const [name, connect] of [
    ["memory", connectDirectly],
    ["HTTP", connectOverHttp],
  ] as const
) {
  test(`${name}: a conditional write succeeds once`, async (t) => {
    const { store, close } = await connect();
    const comparisons = [{ key: "a", modifiedRevision: 0 }];
    t.true((await store.transact(comparisons, [put("a", "one")])).succeeded);
    t.false((await store.transact(comparisons, [put("a", "two")])).succeeded);
    const found = await store.get("a");
    t.is(Buffer.from(found!.value).toString(), "one");
    await close();
  });

  test(`${name}: a write without a response has an unknown outcome`, async (t) => {
    const { store, memory, close } = await connect();
    memory.loseAnswers(1);
    await t.throwsAsync(store.transact([], [put("a", "one")]), {
      instanceOf: StoreOutcomeUnknownError,
    });
    t.truthy(memory.peek("a"));
    await close();
  });

  test(`${name}: a write during an outage has no effect`, async (t) => {
    const { store, memory, close } = await connect();
    memory.setDown(true);
    await t.throwsAsync(store.transact([], [put("a", "one")]), {
      instanceOf: StoreUnavailableError,
    });
    t.is(memory.peek("a"), undefined);
    await close();
  });

  test(`${name}: a watch yields later changes in order`, async (t) => {
    const { store, close } = await connect();
    const first = await store.transact([], [put("p/a", "one")]);
    const stop = new AbortController();
    const seen: string[] = [];
    const reading = (async () => {
      const events = store.watch("p/", first.revision, stop.signal);
      for await (const { value } of events) {
        seen.push(Buffer.from(value.value).toString());
        if (seen.length === 2) return;
      }
    })();
    await store.transact([], [put("p/a", "two")]);
    await store.transact([], [put("q/a", "elsewhere")]);
    await store.transact([], [put("p/b", "three")]);
    await reading;
    t.deepEqual(seen, ["two", "three"]);
    stop.abort(new Error("done"));
    await close();
  });

  test(`${name}: a key is removed with its lease`, async (t) => {
    const { store, close } = await connect();
    const lease = await store.grantLease(60);
    await store.transact([], [{ ...put("a", "one"), lease: lease.id }]);
    t.true(await store.keepAlive(lease.id));
    await store.revokeLease(lease.id);
    t.is(await store.get("a"), undefined);
    t.false(await store.keepAlive(lease.id));
    await close();
  });
}
