import { type ChildProcess, fork, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import {
  type AdministrationClient,
  createAdministrationClient,
} from "../src/administration/administration_client.ts";
import type { Sheet } from "../src/contracts/sheet.ts";
import { flagName } from "../src/settings.ts";
import {
  applyEverywhere,
  daemonFlags,
  type DaemonPlace,
  type DeploymentOptions,
  OPERATE_TOKEN,
} from "./deployment.ts";
import type { SurroundingsReply } from "./stand_in_process.ts";

/// A deployment of separate processes, as in production: one for the platform
/// and the upstreams, and one for each daemon.

export interface DaemonProcess {
  readonly vm: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly administrationAddress: string;
  readonly linkAddress: string;
  readonly process: ChildProcess;
  readonly administration: AdministrationClient;
  /// Sends a signal and resolves with the exit code once the process ended.
  stop(signal: "SIGTERM" | "SIGKILL"): Promise<number | null>;
}

export interface ProcessDeployment {
  readonly daemons: readonly DaemonProcess[];
  readonly sheet: Sheet;
  applySheet(): Promise<number>;
  close(): Promise<void>;
}

const pathOf = (file: string) => fileURLToPath(new URL(file, import.meta.url));

/// The line that a daemon logs when all its ports are open.
interface StartedLine {
  readonly event: string;
  readonly vm: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly administrationAddress: string;
  readonly linkAddress: string;
}

async function readStartedLine(child: ChildProcess): Promise<StartedLine> {
  const lines = createInterface({ input: child.stderr! });
  for await (const text of lines) {
    const line = JSON.parse(text) as StartedLine;
    if (line.event !== "started") continue;
    child.stderr!.resume();
    return line;
  }
  throw new Error("the daemon ended before it started");
}

async function startDaemonProcess(place: DaemonPlace): Promise<DaemonProcess> {
  const flags = Object.entries(daemonFlags(place)).flatMap(([name, value]) => [
    flagName(name),
    value,
  ]);
  const program = pathOf("../src/bin/sequoiaturnd.js");
  const child = spawn(process.execPath, [program, ...flags], {
    env: { ...process.env, DEBUG: "sequoiaturn:daemon" },
    stdio: ["ignore", "ignore", "pipe"],
  });
  const { event: _event, ...started } = await readStartedLine(child);
  return {
    ...started,
    process: child,
    administration: createAdministrationClient({
      addresses: [started.administrationAddress],
      token: OPERATE_TOKEN,
    }),
    async stop(signal) {
      const ended = child.exitCode !== null || child.signalCode !== null;
      if (ended) return child.exitCode;
      const exit = once(child, "exit");
      child.kill(signal);
      const [code] = await exit as [number | null];
      return code;
    },
  };
}

export async function startProcessDeployment(
  options: DeploymentOptions,
): Promise<ProcessDeployment> {
  const surroundings = fork(pathOf("stand_in_process.js"));
  surroundings.send({ sheet: options.sheet, engine: options.engine });
  const [reply] = await once(surroundings, "message") as [SurroundingsReply];
  const daemons = await Promise.all(
    Array.from(
      { length: options.vms },
      (_, index) => startDaemonProcess({ number: index + 1, ...reply }),
    ),
  );
  surroundings.send(daemons.map(({ vm, dataCentre, linkAddress }) => ({
    name: vm,
    dataCentre,
    linkAddress,
    state: "live",
  })));
  return {
    daemons,
    sheet: reply.sheet,
    applySheet: () =>
      applyEverywhere(
        daemons.map((daemon) => daemon.administration),
        reply.sheet,
      ),
    async close() {
      await Promise.all(daemons.map((daemon) => daemon.stop("SIGKILL")));
      surroundings.disconnect();
    },
  };
}
