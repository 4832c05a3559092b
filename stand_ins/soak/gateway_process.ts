import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { GatewaySettings } from "../../src/gateway/gateway_settings.ts";

/// A gateway as a process of its own, at the same addresses after a restart.

export interface GatewayProcess {
  readonly vm: string;
  readonly callerAddress: string;
  isRunning(): boolean;
  signal(signal: NodeJS.Signals): void;
  /// Starts it again if it has ended. Resolves when it listens.
  start(): Promise<void>;
  /// Resolves when the process is gone.
  gone(): Promise<void>;
  /// The last log lines, for a failed run.
  log(): readonly string[];
}

const LOG_LINES = 4_000;
const PROGRAM = fileURLToPath(
  new URL("../../src/bin/gateway.js", import.meta.url),
);

/// Below the ports that the system gives to outgoing connections, which could
/// take one while its gateway is restarted.
const FIRST_PORT = 20_000;
const PORTS = 10_000;
let nextPort = process.pid * 97 % PORTS;

async function freePort(): Promise<number> {
  while (true) {
    const port = FIRST_PORT + nextPort++ % PORTS;
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

export async function createGatewayProcess(
  vm: string,
  options: { readonly storeAddress: string; readonly folder: string },
): Promise<GatewayProcess> {
  const freeAddress = async () => `127.0.0.1:${await freePort()}`;
  const callerAddress = await freeAddress();
  const settings: GatewaySettings = {
    vm,
    dataCentre: "north",
    callerAddress,
    readinessAddress: await freeAddress(),
    linkAddress: await freeAddress(),
    metricsAddress: await freeAddress(),
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
    isRunning,
    signal: (signal) => void (isRunning() && child!.kill(signal)),
    async start() {
      if (isRunning()) return;
      child = spawn(process.execPath, [PROGRAM, "--settings", file], {
        stdio: ["ignore", "pipe", "inherit"],
      });
      const started = new Promise<void>((resolve, reject) => {
        // Another fault may end it again while it starts.
        child!.once("exit", (code) => {
          if (code === null || code === 0) resolve();
          else reject(new Error(`${vm} ended with code ${code}`));
        });
        createInterface({ input: child!.stdout! }).on("line", (line) => {
          lines.push(line);
          if (lines.length > LOG_LINES) lines.shift();
          if (line.includes('"event":"started"')) resolve();
        });
      });
      await started;
    },
    async gone() {
      if (isRunning()) await once(child!, "exit");
    },
    log: () => lines,
  };
}
