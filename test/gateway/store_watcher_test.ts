import test from "ava";
import { createStoreReplica } from "../../src/gateway/store_replica.ts";
import { startStoreWatcher } from "../../src/gateway/store_watcher.ts";
import type {
  KeyValueStore,
  WatchEvent,
} from "../../src/infrastructure/key_value_store.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

/// A store whose watch brings a change every `interval` milliseconds, or never.
function startFollower(interval: number | undefined) {
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
  const follower = startStoreWatcher({
    clock,
    log,
    store,
    mirror: createStoreReplica(),
    onConnected: () => {},
    onReconnected: () => {},
  });
  return { clock, follower, reads: () => reads };
}

test("a watch that brings changes is kept though others are ahead", async (t) => {
  const { clock, follower, reads } = startFollower(200);
  for (let count = 0; count < 20; count++) {
    await clock.advance(300);
    follower.refresh();
  }
  t.is(reads(), 1);
  follower.close();
});

test("a silent watch is given up once, however many VMs are ahead", async (t) => {
  const { clock, follower, reads } = startFollower(undefined);
  await clock.advance(2_000);
  for (let count = 0; count < 20; count++) follower.refresh();
  await clock.advance(10);
  t.is(reads(), 2);
  follower.close();
});

test("a follower that rests asks nothing, and reads anew when it is over", async (t) => {
  const { clock, follower, reads } = startFollower(200);
  await clock.advance(500);
  follower.setActive(false);
  await clock.advance(5_000);
  t.false(follower.isConnected());
  t.is(reads(), 1);
  follower.setActive(true);
  await clock.advance(10);
  t.true(follower.isConnected());
  t.is(reads(), 2);
  follower.close();
});
