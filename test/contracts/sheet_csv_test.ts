import { readFile } from "node:fs/promises";
import test from "ava";
import {
  checkSheet,
  SheetFaultsError,
  warningsOf,
} from "../../src/contracts/sheet_check.ts";
import { parseSheetCsv } from "../../src/contracts/sheet_csv.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const MINIMAL = [
  "[options]",
  "objective,longPromptTokens",
  "slowdown,100000",
  "[models]",
  "customer,model,version,share",
  "a,text,1,1",
  "[customers]",
  "name,keyHashes,priority,weight,requestsPerSecond,tokensPerSecond,concurrentLongRequests,shortDeadlineMilliseconds",
  `a,${"0".repeat(64)},normal,1,1,1,1,`,
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
  const text = MINIMAL.replace("a,text,1,1", "a b,text,1,many\nb,text,1,1")
    .replace("slowdown", "speed") + "\n[nothing]\n";
  const error = t.throws(() => parseSheetCsv(text), {
    instanceOf: SheetFaultsError,
  });
  const positions = error?.faults.map(({ row, column }) => [row, column]);
  // In order: the objective; in one row an invalid customer name, which is also
  // unknown, and an invalid share; an unknown customer; an unknown section.
  t.deepEqual(positions, [[3, 1], [6, 1], [6, 1], [6, 4], [7, 1], [11, 1]]);
});

test("a customer's deadlines are optional and default to 0", (t) => {
  const [customer] = parseSheetCsv(MINIMAL).customers;
  t.is(customer?.shortDeadlineMilliseconds, 0);
  t.is(customer?.longDeadlineMilliseconds, 0);
});

test("an unclosed quotation mark is reported with its row", (t) => {
  const error = t.throws(() => parseSheetCsv(MINIMAL + '\n"'), {
    instanceOf: SheetFaultsError,
  });
  t.is(error?.faults[0]?.row, 10);
});

const repeatFirst = <Item>(items: readonly Item[]) => [...items, items[0]!];
const VALID = sampleSheet();
const { customers, models, upstreams, operations } = VALID;

const INVALID: readonly [string, object, string[]][] = [
  ["duplicate customer", { customers: repeatFirst(customers) }, [
    `/customers/${customers.length}/name`,
    `/customers/${customers.length}/keyHashes`,
  ]],
  ["duplicate share", { models: repeatFirst(models) }, [
    `/models/${models.length}/customer`,
  ]],
  ["unknown customer", { models: [{ ...models[0]!, customer: "x" }] }, [
    "/models/0/customer",
  ]],
  ["duplicate upstream", { upstreams: repeatFirst(upstreams) }, [
    `/upstreams/${upstreams.length}/name`,
    `/upstreams/${upstreams.length}/address`,
  ]],
  ["unknown service", { operations: [{ ...operations[0]!, service: "x" }] }, [
    "/operations/0/service",
  ]],
  ["unknown status path", { operations: [operations[1]!] }, [
    "/operations/0/statusPath",
  ]],
  ["a value of the wrong type in a row with an unknown customer", {
    models: [{ ...models[0]!, customer: "x", share: "much" }],
  }, ["/models/0/share", "/models/0/customer"]],
  ["no sections", { customers: undefined }, ["/customers"]],
];

for (const [name, change, paths] of INVALID) {
  test(`rejects a sheet with ${name}`, (t) => {
    const error = t.throws(() => checkSheet({ ...VALID, ...change }), {
      instanceOf: SheetFaultsError,
    });
    t.deepEqual(error?.faults.map(({ path }) => path), paths);
  });
}

test("a valid sheet can cause warnings", (t) => {
  t.is(checkSheet(VALID), VALID);
  t.deepEqual(warningsOf(VALID), ['no engine serves model "other" yet']);
});
