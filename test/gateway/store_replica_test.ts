import test from "ava";
import {
  createStoreReplica,
  type StoreReplica,
} from "../../src/gateway/store_replica.ts";
import type { WatchEvent } from "../../src/infrastructure/key_value_store.ts";

function put(key: string, revision: number): WatchEvent {
  return {
    kind: "put",
    value: {
      key,
      value: Buffer.from(`${key}@${revision}`),
      modifiedRevision: revision,
      lease: "0",
    },
  };
}

function gone(key: string, revision: number): WatchEvent {
  return { ...put(key, revision), kind: "delete" };
}

/// What the mirror holds, as text.
function contents(mirror: StoreReplica): string[] {
  const whole = mirror.changesSince(-1);
  return whole.events
    .filter(({ kind }) => kind === "put")
    .map(({ value }) => Buffer.from(value.value).toString())
    .sort();
}

const orders: [string, WatchEvent[], string[]][] = [
  ["a later change holds", [put("a", 1), put("a", 2)], ["a@2"]],
  ["an earlier change comes late", [put("a", 2), put("a", 1)], ["a@2"]],
  ["a key is gone", [put("a", 1), gone("a", 2)], []],
  ["an earlier change of a key that is gone", [gone("a", 2), put("a", 1)], []],
  ["a key comes back", [gone("a", 2), put("a", 3)], ["a@3"]],
];
for (const [title, events, expected] of orders) {
  test(`mirror: ${title}`, (t) => {
    const mirror = createStoreReplica();
    for (const event of events) mirror.applyChanges([event], "peer");
    t.deepEqual(contents(mirror), expected);
  });
}

test("mirror: a read of everything doesn't undo what came later", (t) => {
  const mirror = createStoreReplica();
  mirror.applyChanges([put("a", 1), put("b", 7), gone("c", 8)], "peer");
  const values = [put("a", 1), put("c", 2)].map(({ value }) => value);
  mirror.replaceContents({ values, revision: 5 }, "store");
  t.deepEqual(contents(mirror), ["a@1", "b@7"]);
  t.is(mirror.revision(), 5);
});

test("mirror: changes since a revision bring another up to date", (t) => {
  const mirror = createStoreReplica();
  mirror.applyChanges([put("a", 1), put("b", 2)], "store");
  mirror.advanceRevision(2);
  const other = createStoreReplica();
  other.applyChanges(mirror.changesSince(0).events, "peer");
  mirror.applyChanges([gone("a", 3), put("c", 4)], "store");
  mirror.advanceRevision(4);
  const changes = mirror.changesSince(2);
  t.false(changes.isWhole);
  t.is(changes.to, 4);
  other.applyChanges(changes.events, "peer");
  t.deepEqual(contents(other), contents(mirror));
});

test("mirror: one that may lack forgotten deletions is sent everything", (t) => {
  const mirror = createStoreReplica();
  for (let index = 0; index < 2_000; index++) {
    mirror.applyChanges([put(`k${index}`, 2 * index + 1)], "store");
    mirror.applyChanges([gone(`k${index}`, 2 * index + 2)], "store");
  }
  mirror.advanceRevision(4_000);
  t.true(mirror.changesSince(10).isWhole);
  t.false(mirror.changesSince(3_990).isWhole);
});
