import { type Measurement, toMarkdown, writeResult } from "./measurement.ts";

/// Runs the measurement named by the first argument and writes its result
/// files. The other arguments are the measurement's options.

const MEASUREMENTS: Readonly<Record<string, () => Promise<Measurement>>> = {
  hedging: async () =>
    (await import("./measurements/hedging.ts")).measureHedging,
  "engine-memory": async () =>
    (await import("./measurements/engine_memory.ts")).measureEngineMemory,
  ledger: async () => (await import("./measurements/ledger.ts")).measureLedger,
  overhead: async () =>
    (await import("./measurements/overhead.ts")).measureOverhead,
  policy: async () => (await import("./measurements/policy.ts")).measurePolicy,
  subsets: async () =>
    (await import("./measurements/subsets.ts")).measureSubsets,
  limits: async () => (await import("./measurements/limits.ts")).measureLimits,
  control: async () =>
    (await import("./measurements/control.ts")).measureControl,
  sheet: async () => (await import("./measurements/sheet.ts")).measureSheet,
};

const [name = "", ...options] = process.argv.slice(2);
const load = MEASUREMENTS[name];
if (!load) {
  const names = Object.keys(MEASUREMENTS).join(", ");
  process.stderr.write(`usage: npm run measure -- <name>; names: ${names}\n`);
  process.exit(2);
}
const measure = await load();
const result = await measure(options);
await writeResult(result);
process.stdout.write(toMarkdown(result));
process.exit(0);
