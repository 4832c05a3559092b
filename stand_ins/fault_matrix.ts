import { describeRow, planMatrix } from "./fault_matrix/matrix.ts";
import { runRow } from "./fault_matrix/row.ts";

/// Runs the fault matrix and prints one line for each row.
///
/// Options: `--seed <number>`, `--pairs none|rotating|all`, and `--only <words>`
/// to run the rows whose line contains all of these words.

const DEFAULT_SEED = 1;

function optionOf(name: string): string | undefined {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? undefined : process.argv[index + 1];
}

const pairs = optionOf("pairs") ?? "rotating";
if (pairs !== "none" && pairs !== "rotating" && pairs !== "all") {
  process.stderr.write("--pairs: expected none, rotating or all\n");
  process.exit(2);
}
const seed = Number(optionOf("seed") ?? DEFAULT_SEED);
const only = (optionOf("only") ?? "").split(/\s+/).filter(Boolean);
const rows = planMatrix({ seed, pairs }).filter((plan) => {
  const lineWords = describeRow(plan).split(/\s+/);
  return only.every((word) => lineWords.includes(word));
});

let passed = 0;
let failed = 0;
let unreached = 0;
for (const plan of rows) {
  const { violations, reached } = await runRow(plan);
  if (violations.length === 0) passed++;
  else failed++;
  if (!reached) unreached++;
  const verdict = violations.length > 0
    ? `FAILED ${violations.join("; ")}`
    : reached
    ? "passed"
    : "passed (step not reached)";
  process.stdout.write(`${describeRow(plan)}  ${verdict}\n`);
}
process.stdout.write(`${unreached} rows never came to their step\n`);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed > 0 ? 1 : 0);
