import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/// A program of this folder in a process of its own.

export interface StandInChild {
  signal(signal: NodeJS.Signals): void;
  isRunning(): boolean;
  /// Resolves when the process has exited.
  waitForExit(): Promise<void>;
}

/// Starts a program with settings. Resolves when it has written a line if
/// `writesLine` is set, or has exited.
export async function startStandInChild(
  program: "order_upstream" | "order_caller",
  settings: object,
  { writesLine }: { readonly writesLine: boolean },
): Promise<StandInChild> {
  const file = fileURLToPath(new URL(`${program}.js`, import.meta.url));
  const child: ChildProcess = spawn(
    process.execPath,
    [file, JSON.stringify(settings)],
    { stdio: ["pipe", "pipe", "inherit"] },
  );
  const isRunning = () => child.exitCode === null && child.signalCode === null;
  const lines = createInterface({ input: child.stdout! });
  if (writesLine) {
    await Promise.race([once(lines, "line"), once(child, "exit")]);
  }
  return {
    isRunning,
    signal: (signal) => void (isRunning() && child.kill(signal)),
    async waitForExit() {
      if (isRunning()) await once(child, "exit");
    },
  };
}

/// Ends this process once the one that started it is gone.
export function exitWithParent(): void {
  process.stdin.on("close", () => process.exit()).resume();
}
