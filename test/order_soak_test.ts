import test from "ava";
import type { OrderPlay } from "../stand_ins/orders/order_faults.ts";
import { runOrderSoak } from "../stand_ins/orders/order_soak.ts";

/// A short soak of requests that may run once at most, with each kind of play.

const cases: readonly { readonly seed: number; readonly play: OrderPlay }[] = [
  { seed: 5, play: "upstreams" },
  { seed: 3, play: "all" },
];

for (const { seed, play } of cases) {
  test.serial(`orders run once beside faults (${play}, ${seed})`, async (t) => {
    t.timeout(60_000);
    const result = await runOrderSoak({
      seed,
      play,
      gateways: 3,
      upstreams: 5,
      faultMilliseconds: 8_000,
    });
    t.deepEqual(result.twice, [], result.logs);
    t.deepEqual(result.refused, [], result.logs);
    t.deepEqual(result.misdirected, [], result.logs);
    t.true((result.ends["200"] ?? 0) > 0);
  });
}
