import test from "ava";
import {
  createStoreReplica,
  type StoreReplica,
} from "../../src/gateway/store_replica.ts";
import type { WatchEvent } from "../../src/infrastructure/key_value_store.ts";

const PEER = { peer: "vm-1" };

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

function deletion(key: string, revision: number): WatchEvent {
  return { ...put(key, revision), kind: "delete" };
}

/// The values of the replica, as sorted text.
function contents(replica: StoreReplica): string[] {
  const all = replica.changesSince(-1);
  return all.events
    .filter(({ kind }) => kind === "put")
    .map(({ value }) => Buffer.from(value.value).toString())
    .sort();
}

const changeSequences: [string, WatchEvent[], string[]][] = [
  ["applies a later change", [put("a", 1), put("a", 2)], ["a@2"]],
  ["ignores an earlier change", [put("a", 2), put("a", 1)], ["a@2"]],
  ["deletes a key", [put("a", 1), deletion("a", 2)], []],
  ["ignores an earlier put of a deleted key", [
    deletion("a", 2),
    put("a", 1),
  ], []],
  ["applies a put after a deletion", [deletion("a", 2), put("a", 3)], ["a@3"]],
];
for (const [title, events, expected] of changeSequences) {
  test(`the replica ${title}`, (t) => {
    const replica = createStoreReplica();
    for (const event of events) replica.applyChanges([event], PEER);
    t.deepEqual(contents(replica), expected);
  });
}

test("replacing the replica's contents keeps later changes", (t) => {
  const replica = createStoreReplica();
  replica.applyChanges([put("a", 1), put("b", 7), deletion("c", 8)], PEER);
  const values = [put("a", 1), put("c", 2)].map(({ value }) => value);
  replica.replaceContents({ values, revision: 5 }, "store");
  t.deepEqual(contents(replica), ["a@1", "b@7"]);
  t.is(replica.revision(), 5);
});

test("changes since a revision bring another replica up to date", (t) => {
  const replica = createStoreReplica();
  replica.applyChanges([put("a", 1), put("b", 2)], "store");
  replica.advanceRevision(2);
  const other = createStoreReplica();
  other.applyChanges(replica.changesSince(0).events, PEER);
  replica.applyChanges([deletion("a", 3), put("c", 4)], "store");
  replica.advanceRevision(4);
  const changes = replica.changesSince(2);
  t.false(changes.isWhole);
  t.is(changes.to, 4);
  other.applyChanges(changes.events, PEER);
  t.deepEqual(contents(other), contents(replica));
});

test("a replica that may miss dropped tombstones gets the full contents", (t) => {
  const replica = createStoreReplica();
  for (let index = 0; index < 2_000; index++) {
    replica.applyChanges([put(`k${index}`, 2 * index + 1)], "store");
    replica.applyChanges([deletion(`k${index}`, 2 * index + 2)], "store");
  }
  replica.advanceRevision(4_000);
  t.true(replica.changesSince(10).isWhole);
  t.false(replica.changesSince(3_990).isWhole);
});
