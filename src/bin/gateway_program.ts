import { readFileSync } from "node:fs";
import { fleetDocuments } from "../../platform/fleet_documents.ts";
import { httpDialect } from "../../platform/http_dialect.ts";
import { reservationClient } from "../../platform/reservations.ts";
import { createStoreClient } from "../../platform/store_client.ts";
import { startGateway } from "../gateway/gateway.ts";
import {
  GatewaySettingsError,
  readGatewaySettings,
} from "../gateway/gateway_settings.ts";
import { createUnexpectedErrorHandler } from "../gateway/unexpected_errors.ts";
import { createSystemClock } from "../support/clock.ts";
import { createLineSink, createSinkLogger } from "../support/log.ts";
import { createSystemRandom } from "../support/random.ts";

/// Exit code for invalid settings.
const USAGE_EXIT_CODE = 2;

const HELP = `
Usage
  $ sequoiaturn-gateway [--settings FILE]

Serves callers on the platform. The settings file is JSON; without the flag,
its path is taken from SEQUOIATURN_CONFIG.

  --settings FILE    Settings file
  --check            Check the settings file and exit
`;

interface Flags {
  readonly settings?: string;
  readonly check?: boolean;
}

/// Parses the command line. The deployment starts the program without arguments,
/// and the parser is then not loaded.
async function readFlags(): Promise<Flags> {
  if (process.argv.length <= 2) return {};
  const { default: meow } = await import("meow");
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    flags: { settings: { type: "string" }, check: { type: "boolean" } },
  });
  return flags;
}

async function main(): Promise<void> {
  const flags = await readFlags();
  const path = flags.settings ?? process.env["SEQUOIATURN_CONFIG"];
  if (!path) {
    throw new GatewaySettingsError(
      "no settings file: set --settings or SEQUOIATURN_CONFIG",
    );
  }
  const settings = readGatewaySettings(readFileSync(path, "utf8"));
  if (flags.check) return;
  const sink = createLineSink(process.stdout);
  const log = createSinkLogger("gateway", { vm: settings.vm }, sink);
  const clock = createSystemClock();
  const started = startGateway({
    settings,
    platform: {
      dialect: httpDialect,
      documents: fleetDocuments,
      reservations: reservationClient,
      store: createStoreClient(settings.storeAddress),
    },
    clock,
    random: createSystemRandom(),
    log,
    sink,
  });
  // A signal during the start takes effect once the start is complete, and the
  // grace period has begun by then.
  const stop = () => {
    const signalledAt = clock.now();
    void started.then((gateway) => gateway.drain(signalledAt)).finally(() =>
      process.exit(0)
    );
  };
  process.on("SIGTERM", stop);
  const handleError = createUnexpectedErrorHandler({
    clock,
    log,
    onError: () =>
      void started.then((gateway) => gateway.countUnexpectedError(), () => {
        // The error that failed the start is reported below.
      }),
    onTooMany: stop,
  });
  process.on("uncaughtException", handleError);
  process.on("unhandledRejection", handleError);
  process.on("SIGHUP", () => {
    try {
      readGatewaySettings(readFileSync(path, "utf8"));
      log.info("settings file read again; addresses change at a restart");
    } catch (error) {
      log.warn("settings file not usable", {
        reason: (error as Error).message,
      });
    }
  });
  await started;
}

main().catch((error: unknown) => {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exit(error instanceof GatewaySettingsError ? USAGE_EXIT_CODE : 1);
});
