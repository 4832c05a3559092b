import test from "ava";
import { retryAfterSeconds } from "../../src/gateway/retry_after.ts";
import { createSeededRandom } from "../../src/support/random.ts";

for (const estimate of [undefined, 100, 900, 4_000]) {
  test(`callers refused together return apart, not before ${estimate} ms`, (t) => {
    const random = createSeededRandom(3);
    const minimum = Math.max(400, estimate ?? 0) / 1_000;
    const tenths = new Map<number, number>();
    for (let caller = 0; caller < 1_000; caller++) {
      const seconds = retryAfterSeconds(estimate, random);
      t.true(seconds >= minimum && seconds <= 1.5 * minimum);
      const tenth = Math.floor((seconds / minimum - 1) * 20);
      tenths.set(tenth, (tenths.get(tenth) ?? 0) + 1);
    }
    // No tenth of the interval gets twice its share of the callers.
    t.true(Math.max(...tenths.values()) <= 200);
  });
}
