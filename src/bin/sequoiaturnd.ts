#!/usr/bin/env node
import meow from "meow";
import { startDaemon } from "../daemon.ts";
import {
  describeSettings,
  printSettings,
  readSettings,
  Settings,
  SettingsFaultsError,
} from "../settings.ts";

/// Exit code for invalid settings.
const USAGE_EXIT_CODE = 2;

const settingFlags = Object.fromEntries(
  Object.keys(Settings.properties).map((name) => [
    name,
    { type: "string" as const },
  ]),
);

const command = meow(
  `
Usage
  $ sequoiaturnd [flags]

Every flag can also be set as SEQUOIATURN_<NAME>; flags go first.

${describeSettings()}
  --print-settings             Print the settings, without secrets, and exit
`,
  {
    importMeta: import.meta,
    flags: { ...settingFlags, printSettings: { type: "boolean" as const } },
  },
);

async function main(): Promise<void> {
  const { printSettings: printOnly, ...parsedFlags } = command.flags;
  const { help: _help, version: _version, ...flags } = parsedFlags as Record<
    string,
    unknown
  >;
  const givenFlags = Object.entries(flags).filter(([, value]) =>
    value !== undefined
  );
  const settings = readSettings({
    flags: Object.fromEntries(givenFlags),
    environment: process.env,
    operands: command.input,
  });
  if (printOnly) {
    process.stdout.write(printSettings(settings) + "\n");
    return;
  }
  const daemon = await startDaemon(settings);
  let signalCount = 0;
  const stop = () => {
    if (++signalCount > 1) process.exit(1);
    daemon.drain().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

main().catch((error: unknown) => {
  if (error instanceof SettingsFaultsError) {
    process.stderr.write(error.message + "\n");
    process.exit(USAGE_EXIT_CODE);
  }
  process.stderr.write(`${(error as Error).message}\n`);
  process.exit(1);
});
