import test from "ava";
import { runSoak } from "../stand_ins/soak/soak.ts";

/// A short soak. Seeds that ever failed stay here, with a line on the cause.

interface SoakCase {
  readonly seed: number;
  readonly cause: string;
}

const cases: readonly SoakCase[] = [
  {
    seed: 1,
    cause: "a gateway ended when the reader of its log had gone (EPIPE)",
  },
];

for (const { seed, cause } of cases) {
  test.serial(`the soak holds with seed ${seed}: ${cause}`, async (t) => {
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
