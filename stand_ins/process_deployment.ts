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
  applySheetToAll,
  daemonFlags,
  type DaemonParameters,
  type DeploymentOptions,
  OPERATE_TOKEN,
} from "./deployment.ts";
import type { DependenciesReply } from "./stand_in_process.ts";

/// A deployment with the process boundaries of production: one process for the
/// stand-ins of the platform and the upstreams, and one for each daemon.

export interface DaemonProcess {
  readonly vm: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly administrationAddress: string;
  readonly linkAddress: string;
  readonly process: ChildProcess;
  readonly administration: AdministrationClient;
  /// Sends a signal and resolves with the exit code once the process exits.
  stop(signal: "SIGTERM" | "SIGKILL"): Promise<number | null>;
}

export interface ProcessDeployment {
  readonly daemons: readonly DaemonProcess[];
  readonly sheet: Sheet;
  applySheet(): Promise<number>;
  close(): Promise<void>;
}

const resolvePath = (file: string) =>
  fileURLToPath(new URL(file, import.meta.url));

/// The line that a daemon logs once all its ports are open.
interface StartedLogLine {
  readonly event: string;
  readonly vm: string;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly administrationAddress: string;
  readonly linkAddress: string;
}

async function readStartedLogLine(
  child: ChildProcess,
): Promise<StartedLogLine> {
  const lines = createInterface({ input: child.stderr! });
  for await (const text of lines) {
    const line = JSON.parse(text) as StartedLogLine;
    if (line.event !== "started") continue;
    child.stderr!.resume();
    return line;
  }
  throw new Error("the daemon exited before it logged its start");
}

async function startDaemonProcess(
  daemon: DaemonParameters,
): Promise<DaemonProcess> {
  const flags = Object.entries(daemonFlags(daemon)).flatMap(([name, value]) => [
    flagName(name),
    value,
  ]);
  const program = resolvePath("../src/bin/sequoiaturnd.js");
  const child = spawn(process.execPath, [program, ...flags], {
    env: { ...process.env, DEBUG: "sequoiaturn:daemon" },
    stdio: ["ignore", "ignore", "pipe"],
  });
  const { event: _event, ...started } = await readStartedLogLine(child);
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
  const dependencies = fork(resolvePath("stand_in_process.js"));
  dependencies.send({ sheet: options.sheet, engine: options.engine });
  const [reply] = await once(dependencies, "message") as [DependenciesReply];
  const daemons = await Promise.all(
    Array.from(
      { length: options.vms },
      (_, index) => startDaemonProcess({ number: index + 1, ...reply }),
    ),
  );
  dependencies.send(daemons.map(({ vm, dataCentre, linkAddress }) => ({
    name: vm,
    dataCentre,
    linkAddress,
    state: "live",
  })));
  return {
    daemons,
    sheet: reply.sheet,
    applySheet: () =>
      applySheetToAll(
        daemons.map((daemon) => daemon.administration),
        reply.sheet,
      ),
    async close() {
      await Promise.all(daemons.map((daemon) => daemon.stop("SIGKILL")));
      dependencies.disconnect();
    },
  };
}
