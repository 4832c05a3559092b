import { type ChildProcess, spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import { createServer } from "node:net";
import { type AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";

/// A daemon in a process of its own, and what the system says it uses.

export interface DaemonProcessOptions {
  readonly vm: string;
  readonly dataCentre: string;
  readonly storeUrl: string;
  readonly vmListUrl: string;
  readonly linkSecret: string;
  readonly operateToken: string;
}

/// Counters of a process since its start.
export interface ProcessUsage {
  readonly cpuMilliseconds: number;
  /// Bytes that passed through read and write calls, of sockets above all.
  readonly bytes: number;
  readonly residentBytes: number;
}

export interface DaemonProcess {
  readonly vm: string;
  readonly dataCentre: string;
  readonly linkAddress: string;
  readonly administrationAddress: string;
  readUsage(): Promise<ProcessUsage>;
  stop(): Promise<void>;
}

const PROGRAM = fileURLToPath(
  new URL("../src/bin/sequoiaturnd.js", import.meta.url),
);
const MILLISECONDS_PER_TICK = 10;
const BYTES_PER_KIBIBYTE = 1_024;
const HOST = "127.0.0.1";

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) =>
      new Promise<number>((resolve) =>
        server.listen(
          0,
          HOST,
          () => resolve((server.address() as AddressInfo).port),
        )
      )
    ),
  );
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return ports;
}

/// Reads the counters of a running process.
async function readUse(pid: number): Promise<ProcessUsage> {
  const read = (name: string) => readFile(`/proc/${pid}/${name}`, "utf8");
  const [stat, io, status] = await Promise.all(
    ["stat", "io", "status"].map(read),
  );
  const fields = stat!.slice(stat!.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const numberAfter = (text: string, name: string) =>
    Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)![1]);
  return {
    cpuMilliseconds: ticks * MILLISECONDS_PER_TICK,
    bytes: numberAfter(io!, "rchar") + numberAfter(io!, "wchar"),
    residentBytes: numberAfter(status!, "VmRSS") * BYTES_PER_KIBIBYTE,
  };
}

function whenEnded(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => child.once("exit", () => resolve()));
}

/// Starts a daemon. It may not be ready yet.
export async function startDaemonProcess(
  options: DaemonProcessOptions,
): Promise<DaemonProcess> {
  const [caller, administration, link] = (await findFreePorts(3))
    .map((port) => `${HOST}:${port}`);
  const child = spawn(process.execPath, [PROGRAM], {
    stdio: "ignore",
    env: {
      PATH: process.env.PATH,
      SEQUOIATURN_VM_NAME: options.vm,
      SEQUOIATURN_DATA_CENTRE: options.dataCentre,
      SEQUOIATURN_CALLER_ADDRESS: caller,
      SEQUOIATURN_ADMINISTRATION_ADDRESS: administration,
      SEQUOIATURN_LINK_ADDRESS: link,
      SEQUOIATURN_STORE_URL: options.storeUrl,
      SEQUOIATURN_VM_LIST_URL: options.vmListUrl,
      SEQUOIATURN_LINK_SECRET: options.linkSecret,
      SEQUOIATURN_OPERATE_TOKEN: options.operateToken,
    },
  });
  const ended = whenEnded(child);
  return {
    vm: options.vm,
    dataCentre: options.dataCentre,
    linkAddress: link!,
    administrationAddress: administration!,
    readUsage: () => readUse(child.pid!),
    async stop() {
      child.kill("SIGKILL");
      await ended;
    },
  };
}
