#!/usr/bin/env node
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import meow from "meow";
import { createAdministrationClient } from "../administration/administration_client.ts";
import { SheetFaultsError } from "../contracts/sheet_check.ts";
import { parseSheetCsv } from "../contracts/sheet_csv.ts";

/// Exit codes of the tool.
const EXIT = { failed: 1, usage: 2, invalidSheet: 3 } as const;

const command = meow(
  `
Usage
  $ sequoiaturn <command> [flags]

Commands
  status                 State of the VMs and upstreams
  requests               Running requests, and ended ones by reason
  sheet check <file>     Check a sheet without applying it
  sheet apply <file>     Put a sheet in force
  sheet show             Print the sheet in force
  drain                  Shut the daemon down gracefully

Flags
  --address   Administration address (SEQUOIATURN_ADMINISTRATION_ADDRESS)
  --token     Bearer token (SEQUOIATURN_TOKEN)
  --base      Revision that the applied sheet replaces
  --apply-id  Repeat an apply whose outcome is unknown
  --author    Name recorded with the sheet
`,
  {
    importMeta: import.meta,
    flags: {
      address: { type: "string" },
      token: { type: "string" },
      base: { type: "number" },
      applyId: { type: "string" },
      author: { type: "string", default: process.env.USER ?? "operator" },
    },
  },
);

const { flags, input } = command;
const client = createAdministrationClient({
  address: flags.address ??
    process.env.SEQUOIATURN_ADMINISTRATION_ADDRESS ?? "127.0.0.1:8081",
  token: flags.token ?? process.env.SEQUOIATURN_TOKEN ?? "",
});

function print(value: unknown): void {
  process.stdout.write(JSON.stringify(value, null, 2) + "\n");
}

async function readSheetFile(file: string | undefined) {
  return parseSheetCsv(await readFile(file ?? "", "utf8"));
}

async function applySheet(file: string | undefined): Promise<void> {
  const sheet = await readSheetFile(file);
  const base = flags.base ?? (await client.readSheet()).revision;
  const applyId = flags.applyId ?? randomUUID();
  print(
    await client.applySheet({ sheet, base, applyId, author: flags.author }),
  );
}

async function main(): Promise<void> {
  const [first, second, file] = input;
  const name = first === "sheet" ? `sheet ${second}` : first;
  switch (name) {
    case "status":
      return print(await client.readStatus());
    case "requests":
      return print(await client.readRequests());
    case "sheet check":
      await readSheetFile(file);
      return print({ valid: true });
    case "sheet apply":
      return await applySheet(file);
    case "sheet show":
      return print(await client.readSheet());
    case "drain":
      return print(await client.drain());
    default:
      command.showHelp(EXIT.usage);
  }
}

main().catch((error: unknown) => {
  if (error instanceof SheetFaultsError) {
    for (const { row, column, message } of error.faults) {
      process.stderr.write(`row ${row}, column ${column}: ${message}\n`);
    }
    process.exit(EXIT.invalidSheet);
  }
  process.stderr.write(`${(error as Error).message}\n`);
  process.exit(EXIT.failed);
});
