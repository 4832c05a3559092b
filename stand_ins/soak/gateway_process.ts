import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { processHost } from "../process_host.ts";
import type { GatewaySettings } from "../../src/gateway/gateway_settings.ts";

/// A gateway in a separate process. It keeps its addresses across restarts.

export interface GatewayProcess {
  readonly vm: string;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly linkAddress: string;
  readonly metricsAddress: string;
  /// Undefined before the first start.
  processId(): number | undefined;
  isRunning(): boolean;
  signal(signal: NodeJS.Signals): void;
  /// Starts the process unless it is running, from the current build unless
  /// `program` names another one. Resolves once it listens, or when a signal or
  /// an exit with code 0 ends it earlier.
  start(program?: string): Promise<void>;
  /// Resolves when the process has exited.
  waitForExit(): Promise<void>;
  /// The last log lines, to diagnose a failed soak.
  log(): readonly string[];
}

const MAXIMUM_LOG_LINES = 4_000;
const PROGRAM = fileURLToPath(
  new URL("../../src/bin/gateway.js", import.meta.url),
);

const EXIT_WITH_PARENT = new URL("exit_with_parent.js", import.meta.url).href;

/// Start of a range below the ephemeral ports. An outgoing connection could
/// otherwise take the port of a gateway while the gateway restarts.
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
let nextPort = 0;

async function findFreePort(): Promise<number> {
  while (true) {
    const port = FIRST_PORT + nextPort++ % PORT_COUNT;
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, processHost(), () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

export async function createGatewayProcess(
  vm: string,
  options: {
    readonly storeAddress: string;
    readonly folder: string;
    /// Options of Node.js.
    readonly nodeOptions?: readonly string[];
  },
): Promise<GatewayProcess> {
  const findFreeAddress = async () =>
    `${processHost()}:${await findFreePort()}`;
  const callerAddress = await findFreeAddress();
  const settings: GatewaySettings = {
    vm,
    dataCentre: "north",
    callerAddress,
    readinessAddress: await findFreeAddress(),
    linkAddress: await findFreeAddress(),
    metricsAddress: await findFreeAddress(),
    storeAddress: options.storeAddress,
    stopSeconds: 5,
    repeatRatio: 0.2,
    repeatAllowance: 100,
    repeatWindowSeconds: 10,
    longestHoldMilliseconds: 20_000,
  };
  const file = `${options.folder}/${vm}.json`;
  writeFileSync(file, JSON.stringify(settings));
  const lines: string[] = [];
  let child: ChildProcess | undefined;

  const isRunning = () =>
    child !== undefined && child.exitCode === null && child.signalCode === null;

  return {
    vm,
    callerAddress,
    readinessAddress: settings.readinessAddress,
    linkAddress: settings.linkAddress,
    metricsAddress: settings.metricsAddress,
    processId: () => child?.pid,
    isRunning,
    signal: (signal) => void (isRunning() && child!.kill(signal)),
    async start(program = PROGRAM) {
      if (isRunning()) return;
      const { nodeOptions = [] } = options;
      const flags = ["--settings", file];
      child = spawn(
        process.execPath,
        ["--import", EXIT_WITH_PARENT, ...nodeOptions, program, ...flags],
        { stdio: ["pipe", "pipe", "inherit"] },
      );
      const started = new Promise<void>((resolve, reject) => {
        // Another fault may end the process while it starts.
        child!.once("exit", (code) => {
          if (code === null || code === 0) resolve();
          else reject(new Error(`${vm} exited with code ${code}`));
        });
        createInterface({ input: child!.stdout! }).on("line", (line) => {
          lines.push(line);
          if (lines.length > MAXIMUM_LOG_LINES) lines.shift();
          if (line.includes('"event":"started"')) resolve();
        });
      });
      await started;
    },
    async waitForExit() {
      if (isRunning()) await once(child!, "exit");
    },
    log: () => lines,
  };
}
