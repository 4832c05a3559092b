import test from "ava";
import { runSoak } from "../stand_ins/soak/soak.ts";

/// A short soak for each seed that has failed before. Such a seed stays in this
/// list, with the cause of the failure.

interface SoakCase {
  readonly seed: number;
  readonly cause: string;
}

const cases: readonly SoakCase[] = [
  {
    seed: 1,
    cause:
      "a gateway exited when the reader of its log closed the pipe (EPIPE)",
  },
];

for (const { seed, cause } of cases) {
  test.serial(`soak with seed ${seed}: ${cause}`, async (t) => {
    t.timeout(60_000);
    const result = await runSoak({
      seed,
      gateways: 3,
      faultMilliseconds: 8_000,
    });
    t.deepEqual(result.broken, [], result.logs);
    t.true(result.served > 0);
  });
}
