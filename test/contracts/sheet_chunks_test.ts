import test from "ava";
import type { Customer, Sheet } from "../../src/contracts/sheet.ts";
import {
  joinRows,
  readIndex,
  readRoot,
  readRows,
  type SheetTree,
  splitSheet,
} from "../../src/contracts/sheet_chunks.ts";
import {
  createNextHead,
  MAXIMUM_HISTORY_ENTRIES,
} from "../../src/contracts/sheet_head.ts";
import { largeSheet } from "../../stand_ins/large_sheet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const LARGE = largeSheet({ customers: 13_000, models: 37, engines: 660 });
const STORE_VALUE_BYTES = 1_048_576;

function join({ root, chunks }: SheetTree): Sheet {
  const parts = readRoot(chunks.get(root)!).flatMap(({ section, index }) =>
    readIndex(chunks.get(index)!).map((hash) => ({
      section,
      rows: readRows(section, chunks.get(hash)!),
    }))
  );
  return joinRows(parts);
}

const bytesOf = (chunks: Iterable<Uint8Array>) =>
  [...chunks].reduce((total, { length }) => total + length, 0);

test("a sheet survives being cut and joined", (t) => {
  for (const sheet of [sampleSheet(), LARGE]) {
    t.deepEqual(join(splitSheet(sheet)), sheet);
  }
});

test("13,000 customers and 37 models fit the store's values", (t) => {
  const { root, chunks } = splitSheet(LARGE);
  const largest = Math.max(...[...chunks.values()].map(({ length }) => length));
  t.true(largest < STORE_VALUE_BYTES);
  let head = createNextHead(undefined, {
    root,
    applyId: "x".repeat(36),
    author: "x".repeat(64),
    time: 1,
  });
  for (let count = 0; count < 2 * MAXIMUM_HISTORY_ENTRIES; count++) {
    head = createNextHead(head, head);
  }
  t.true(JSON.stringify(head).length < STORE_VALUE_BYTES / 16);
});

const editOf = (change: (customers: Customer[]) => void): Sheet => {
  const customers = [...LARGE.customers];
  change(customers);
  return { ...LARGE, customers };
};

const EDITS: readonly [string, Sheet][] = [
  [
    "changed",
    editOf((rows) => rows[6_000] = { ...rows[6_000]!, weight: 2 }),
  ],
  [
    "added",
    editOf((rows) => rows.splice(6_000, 0, { ...rows[0]!, name: "n" })),
  ],
  ["removed", editOf((rows) => rows.splice(6_000, 1))],
];

for (const [name, edited] of EDITS) {
  test(`one row ${name} moves its chunk and the index`, (t) => {
    const before = splitSheet(LARGE);
    const after = splitSheet(edited);
    const moved = [...after.chunks].filter(([hash]) =>
      !before.chunks.has(hash)
    );
    t.true(moved.length <= 3);
    const share = bytesOf(moved.map(([, bytes]) => bytes)) /
      bytesOf(after.chunks.values());
    t.true(share < 0.02);
  });
}

test("rows of another version are fitted to this one's columns", (t) => {
  const [customer] = sampleSheet().customers;
  const { shortDeadlineMilliseconds: _, ...older } = customer!;
  const rows = [{ ...older, laterColumn: 1 }];
  const read = readRows("customers", Buffer.from(JSON.stringify(rows)));
  t.deepEqual(read, [{ ...customer, shortDeadlineMilliseconds: 0 }]);
});
