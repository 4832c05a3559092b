#!/usr/bin/env node
import { readFile } from "node:fs/promises";
import meow from "meow";
import { createAdministrationClient } from "../administration/administration_client.ts";
import { runTool } from "../administration/tool.ts";
import { createSystemRandom } from "../support/random.ts";

/// The operators' command-line tool.

const command = meow(
  `
Usage
  $ sequoiaturn <command> [flags]

Commands
  sheet check <file>   Check a sheet; needs no daemon
  sheet diff <file>    What the sheet would change
  sheet apply <file>   Put the sheet in force
  sheet show           Print the sheet in force as CSV
  sheet history        The latest accepted revisions
  status               VMs, their revisions and readiness
  upstreams            Engines and services
  requests             Running requests, and ended ones by reason
  burn                 How fast the error budgets are spent
  drain [upstream]     Give an upstream no new work, or shut the daemon down
  explain <id> <file>  What gateway logs say of a request; needs no daemon
  keys <customer>      Create a customer key; needs no daemon

Flags
  --address     Administration addresses, separated by commas
                (SEQUOIATURN_ADMINISTRATION_ADDRESS)
  --token       Bearer token (SEQUOIATURN_TOKEN)
  --json        Print JSON
  --everywhere  With sheet show: the revision in force on every VM
  --html        With burn: print an HTML page with plots
  --base        With sheet apply: the revision that the sheet replaces
  --apply-id    With sheet apply: repeat an apply whose outcome is unknown
  --author      With sheet apply: name recorded with the sheet

Exit codes
  0 done, 1 failed, 2 wrong usage, 3 invalid sheet, 4 conflict,
  5 undecided (repeat the apply), 6 no daemon reachable
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      address: { type: "string" },
      token: { type: "string" },
      json: { type: "boolean", default: false },
      everywhere: { type: "boolean", default: false },
      html: { type: "boolean", default: false },
      base: { type: "number" },
      applyId: { type: "string" },
      author: { type: "string", default: process.env.USER ?? "operator" },
    },
  },
);

const { flags, input } = command;
const { SEQUOIATURN_ADMINISTRATION_ADDRESS, SEQUOIATURN_TOKEN } = process.env;
const addresses = flags.address ?? SEQUOIATURN_ADMINISTRATION_ADDRESS ??
  "127.0.0.1:8081";

process.exitCode = await runTool(input, {
  client: createAdministrationClient({
    addresses: addresses.split(","),
    token: flags.token ?? SEQUOIATURN_TOKEN ?? "",
  }),
  flags: { ...flags, base: flags.base, applyId: flags.applyId },
  readFile: (path) => readFile(path, "utf8"),
  randomHex: createSystemRandom().hex,
  print: (text) => void process.stdout.write(text + "\n"),
  printError: (text) => void process.stderr.write(text + "\n"),
});
