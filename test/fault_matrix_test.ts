import test from "ava";
import { describeRow, planMatrix } from "../stand_ins/fault_matrix/matrix.ts";
import { runRow } from "../stand_ins/fault_matrix/row.ts";

/// A part of the fault matrix; `npm run fault-matrix` runs all of it.

const SEED = 1;
/// Every nth row is run. The interval has no common factor with the numbers of
/// steps and faults, so that every fault and every step occurs.
const ROW_INTERVAL = 13;

const rows = planMatrix({ seed: SEED, pairs: "rotating" })
  .filter((_, index) => index % ROW_INTERVAL === 0);

for (const plan of rows) {
  test.serial(describeRow(plan), async (t) => {
    const { violations, reached } = await runRow(plan);
    t.deepEqual(violations, []);
    t.true(reached);
  });
}
