import test from "ava";
import { createAdministrationClient } from "../../src/administration/administration_client.ts";
import { runTool } from "../../src/administration/tool.ts";
import {
  EXIT,
  type ExitCode,
  type ToolFlags,
} from "../../src/administration/tool_command.ts";
import { formatSheetCsv } from "../../src/contracts/sheet_csv_writer.ts";
import type { Sheet } from "../../src/contracts/sheet.ts";
import {
  type Deployment,
  OPERATE_TOKEN,
  startDeployment,
  VIEW_TOKEN,
} from "../../stand_ins/deployment.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// The administration API and the tool over real sockets.

let deployment: Deployment;

test.before(async () => {
  const sheet = sampleSheet({ engines: 1, replicas: 1 });
  deployment = await startDeployment({ sheet, vms: 2 });
  await deployment.applySheet();
});

test.after.always(() => deployment.close());

const addressOf = (index: number) =>
  deployment.daemons[index]!.administrationAddress;

const sheetOf = (longPromptTokens: number): Sheet => ({
  ...deployment.sheet,
  options: { objective: "slowdown", longPromptTokens },
});

interface ToolOptions extends Partial<ToolFlags> {
  readonly file?: string;
  readonly token?: string;
  readonly addresses?: readonly string[];
}

async function runCommand(line: string, options: ToolOptions = {}) {
  const output: string[] = [];
  const errors: string[] = [];
  const { file = "", token = OPERATE_TOKEN, addresses = [addressOf(0)] } =
    options;
  const code = await runTool(line.split(" "), {
    client: createAdministrationClient({ addresses, token }),
    flags: {
      json: false,
      everywhere: false,
      html: false,
      base: undefined,
      applyId: undefined,
      author: "clerk",
      ...options,
    },
    readFile: () => Promise.resolve(file),
    randomHex: (length) => "ab".repeat(length),
    print: (text) => output.push(text),
    printError: (text) => errors.push(text),
  });
  return { code, output: output.join("\n"), errors: errors.join("\n") };
}

test.serial("the OpenAPI document lists every operation and its errors", async (t) => {
  const response = await fetch(`http://${addressOf(0)}/v1/openapi.json`);
  const document = await response.json() as {
    paths: Record<string, Record<string, { responses: object }>>;
  };
  t.deepEqual(Object.keys(document.paths).sort(), [
    "/v1/burn",
    "/v1/drain",
    "/v1/requests",
    "/v1/sheet",
    "/v1/sheet/check",
    "/v1/sheet/diff",
    "/v1/sheet/history",
    "/v1/sheet/revisions",
    "/v1/status",
    "/v1/upstreams",
    "/v1/upstreams/drain",
  ]);
  t.deepEqual(
    Object.keys(document.paths["/v1/sheet"]!.put!.responses),
    ["200", "400", "403", "409", "422", "500", "503", "504"],
  );
});

const ACCESS_CASES: readonly [string, string, string, number][] = [
  ["GET", "/v1/sheet", VIEW_TOKEN, 200],
  ["GET", "/v1/sheet", "nobody", 403],
  ["PUT", "/v1/sheet", VIEW_TOKEN, 403],
  ["PUT", "/v1/sheet", OPERATE_TOKEN, 400],
  ["POST", "/v1/drain", VIEW_TOKEN, 403],
  ["GET", "/v1/nothing", OPERATE_TOKEN, 404],
];

for (const [method, path, token, status] of ACCESS_CASES) {
  test.serial(`answers ${method} ${path} with ${status}`, async (t) => {
    const response = await fetch(`http://${addressOf(0)}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${token}`,
        ...(method === "PUT" && { "content-type": "application/json" }),
      },
      body: method === "PUT" ? "{}" : undefined,
    });
    t.is(response.status, status);
  });
}

test.serial("applies a sheet, prints it and lists its revision", async (t) => {
  const file = formatSheetCsv(sheetOf(90_000));
  const diff = await runCommand("sheet diff day.csv", { file });
  t.is(diff.code, EXIT.ok);
  t.regex(diff.output, /~ options\n {4}longPromptTokens: 100000 -> 90000/);
  const applied = await runCommand("sheet apply day.csv", { file });
  t.is(applied.code, EXIT.ok);
  t.regex(applied.output, /accepted as revision 2\nwarning: no engine/);
  t.is((await runCommand("sheet show")).output, file);
  const history = await runCommand("sheet history", { json: true });
  t.is(JSON.parse(history.output).revisions[0].author, "clerk");
});

test.serial("a retried apply is accepted and a different one conflicts", async (t) => {
  const file = formatSheetCsv(sheetOf(90_000));
  const retry = { file, base: 1, applyId: "ab".repeat(16) };
  const retried = await runCommand("sheet apply day.csv", retry);
  t.is(retried.code, EXIT.ok);
  t.regex(retried.output, /accepted as revision 2/);
  const other = await runCommand("sheet apply day.csv", {
    file: formatSheetCsv(sheetOf(80_000)),
    base: 1,
    applyId: "another-one",
  });
  t.is(other.code, EXIT.conflict);
  t.regex(other.errors, /revision 2 by clerk/);
  t.regex(other.errors, /longPromptTokens: 90000 -> 80000/);
});

test.serial("prints the revision of every VM", async (t) => {
  const shown = await runCommand("sheet show", { everywhere: true });
  t.regex(shown.output, /vm-1 .* 2\nvm-2 .* 2\nnewest 2; 0 VM/);
});

test.serial("an apply during a store outage can be retried", async (t) => {
  const file = formatSheetCsv(sheetOf(70_000));
  deployment.store.setDown(true);
  const failed = await runCommand("sheet apply day.csv", { file });
  t.is(failed.code, EXIT.failed);
  const retry = { file, base: 2, applyId: "cd".repeat(16) };
  const undecided = await runCommand("sheet apply day.csv", retry);
  t.is(undecided.code, EXIT.undecided);
  t.regex(undecided.errors, /--base 2 --apply-id (cd){16}/);
  deployment.store.setDown(false);
  t.is((await runCommand("sheet apply day.csv", retry)).code, EXIT.ok);
});

const CHECKED_DOCUMENTS: readonly [string, object, number, RegExp][] = [
  ["an empty CSV", { csv: "" }, 200, /"valid":true/],
  [
    "a CSV with an invalid row",
    { csv: "[nothing]\n" },
    200,
    /"row":1,"column":1/,
  ],
  ["JSON with faults", { sheet: { options: 1 } }, 200, /"path":"\/customers"/],
  ["neither", {}, 400, /either csv or sheet/],
  ["a CSV that is too large", { csv: "x".repeat(262_145) }, 400, /as JSON/],
];

for (const [name, document, status, expected] of CHECKED_DOCUMENTS) {
  test.serial(`the daemon checks ${name}`, async (t) => {
    const response = await fetch(`http://${addressOf(0)}/v1/sheet/check`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${VIEW_TOKEN}`,
        "content-type": "application/json",
      },
      body: JSON.stringify(document),
    });
    t.is(response.status, status);
    t.regex(await response.text(), expected);
  });
}

const INVALID_SHEET_CSV = "[options]\nobjective,longPromptTokens\nspeed,1\n";

const FAILED_COMMANDS: readonly [string, ToolOptions, ExitCode, RegExp][] = [
  [
    "sheet check day.csv",
    { file: INVALID_SHEET_CSV },
    EXIT.invalidSheet,
    /row 3, col/,
  ],
  [
    "sheet apply day.csv",
    { file: INVALID_SHEET_CSV },
    EXIT.invalidSheet,
    /row 3, col/,
  ],
  [
    "sheet diff day.csv",
    { file: INVALID_SHEET_CSV },
    EXIT.invalidSheet,
    /row 3, col/,
  ],
  ["sheet apply", {}, EXIT.usage, /expected a file/],
  ["sheet apply day.csv", { applyId: "x" }, EXIT.usage, /needs --base/],
  ["sheet burn", {}, EXIT.usage, /expected one of/],
  ["drain nobody", {}, EXIT.failed, /no upstream is called nobody/],
  ["drain", { token: VIEW_TOKEN }, EXIT.failed, /role operate/],
  ["status", { addresses: ["127.0.0.1:1"] }, EXIT.unreachable, /reached/],
];

for (const [line, options, code, message] of FAILED_COMMANDS) {
  test.serial(`${line} exits with ${code}: ${message}`, async (t) => {
    const result = await runCommand(line, options);
    t.is(result.code, code);
    t.regex(result.errors, message);
  });
}

const TABLE_COMMANDS: readonly [string, RegExp][] = [
  ["status", /vm-1 \(asked\)[^]*vm-2[^]*ready: yes[^]*usable engines: 1 of 1/],
  ["upstreams", /engine-1 +engine +text[^]*desk-1 +service/],
  ["burn", /firstTokenShort[^]*VMs counted: 2; missing: none/],
  ["requests", /customer[^]*ended/],
  ["keys clerk", /key \(shown once\): clerk\.(ab){24}[^]*keyHashes/],
];

for (const [line, expected] of TABLE_COMMANDS) {
  test.serial(`${line} prints a table, and JSON`, async (t) => {
    const failover = { addresses: ["127.0.0.1:1", addressOf(0)] };
    t.regex((await runCommand(line, failover)).output, expected);
    const { output } = await runCommand(line, { json: true });
    t.is(typeof JSON.parse(output), "object");
  });
}
