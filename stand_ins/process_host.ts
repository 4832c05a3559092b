import { threadId } from "node:worker_threads";

const PART_SIZE = 250;

/// Returns the loopback address of this thread's servers. A port of another run,
/// or of a process that an earlier one left behind, isn't taken for one of them.
export function processHost(): string {
  const { pid } = process;
  const parts = [pid, Math.floor(pid / PART_SIZE), threadId];
  return ["127", ...parts.map((part) => 1 + part % PART_SIZE)].join(".");
}
