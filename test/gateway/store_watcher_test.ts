import test from "ava";
import { createStoreReplica } from "../../src/gateway/store_replica.ts";
import { startStoreWatcher } from "../../src/gateway/store_watcher.ts";
import type {
  KeyValueStore,
  WatchEvent,
} from "../../src/infrastructure/key_value_store.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

/// Starts a watcher of a store whose watch delivers a change every `interval`
/// milliseconds, or never.
function startWatcher(interval: number | undefined) {
  const clock = createFakeClock();
  const log = createSilentLogger();
  let reads = 0;
  let revision = 1;
  const store = {
    range() {
      reads += 1;
      return Promise.resolve({ values: [], revision });
    },
    async *watch(
      _prefix: string,
      _after: number,
      signal: AbortSignal,
    ): AsyncIterable<WatchEvent> {
      while (true) {
        await clock.sleep(interval ?? 1_000_000, signal);
        revision += 1;
        const value = {
          key: "servers/e1",
          value: Buffer.from("{}"),
          modifiedRevision: revision,
          lease: "0",
        };
        yield { kind: "put", value };
      }
    },
  } as unknown as KeyValueStore;
  const watcher = startStoreWatcher({
    clock,
    log,
    store,
    replica: createStoreReplica(),
    onConnected: () => {},
    onReconnected: () => {},
  });
  return { clock, watcher, reads: () => reads };
}

test("a watch that delivers changes is kept although other VMs are ahead", async (t) => {
  const { clock, watcher, reads } = startWatcher(200);
  for (let count = 0; count < 20; count++) {
    await clock.advance(300);
    watcher.refresh();
  }
  t.is(reads(), 1);
  watcher.close();
});

test("a stalled watch is aborted once, however many VMs are ahead", async (t) => {
  const { clock, watcher, reads } = startWatcher(undefined);
  await clock.advance(2_000);
  for (let count = 0; count < 20; count++) watcher.refresh();
  await clock.advance(10);
  t.is(reads(), 2);
  watcher.close();
});

test("an inactive watcher makes no calls and reads again when it is activated", async (t) => {
  const { clock, watcher, reads } = startWatcher(200);
  await clock.advance(500);
  watcher.setActive(false);
  await clock.advance(5_000);
  t.false(watcher.isConnected());
  t.is(reads(), 1);
  watcher.setActive(true);
  await clock.advance(10);
  t.true(watcher.isConnected());
  t.is(reads(), 2);
  watcher.close();
});
