import { readFile } from "node:fs/promises";
import test from "ava";
import {
  parseSheetCsv,
  SheetFaultsError,
} from "../../src/contracts/sheet_csv.ts";

const MINIMAL = [
  "[options]",
  "objective,longPromptTokens",
  "slowdown,100000",
  "[models]",
  "customer,model,version,share",
  "a,text,1,1",
].join("\n");

for (const file of ["samples/muscat.csv", "samples/thar.csv"]) {
  test(`reads ${file}`, async (t) => {
    const sheet = parseSheetCsv(await readFile(file, "utf8"));
    t.true(sheet.customers.length > 0);
    t.true(sheet.upstreams.length > 15);
  });
}

const ACCEPTED: readonly [string, string][] = [
  ["a byte order mark", "\uFEFF" + MINIMAL],
  ["semicolons", MINIMAL.replaceAll(",", ";")],
  ["CRLF line ends", MINIMAL.replaceAll("\n", "\r\n")],
  ["empty rows", MINIMAL.replace("[models]", ",,,\n\n[models]")],
];

for (const [name, text] of ACCEPTED) {
  test(`accepts ${name}`, (t) => {
    t.deepEqual(parseSheetCsv(text), parseSheetCsv(MINIMAL));
  });
}

test("reports every fault with its row and column", (t) => {
  const text = MINIMAL.replace("a,text,1,1", "a b,text,1,many")
    .replace("slowdown", "speed") + "\n[nothing]\n";
  const error = t.throws(() => parseSheetCsv(text), {
    instanceOf: SheetFaultsError,
  });
  const places = error?.faults.map(({ row, column }) => [row, column]);
  t.deepEqual(places, [[7, 1], [3, 1], [6, 1], [6, 4]]);
});
