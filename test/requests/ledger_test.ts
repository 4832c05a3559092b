import test from "ava";
import fastCheck from "fast-check";
import { createLedger } from "../../src/requests/ledger.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";

const SEED = 20_261_204;

test("a key is claimed at most once whatever the store does", async (t) => {
  const step = fastCheck.record({
    loseAnswers: fastCheck.nat(2),
    refuseWrites: fastCheck.nat(1),
    tries: fastCheck.integer({ min: 1, max: 4 }),
  });
  const property = fastCheck.asyncProperty(
    fastCheck.array(step, { minLength: 1, maxLength: 6 }),
    async (steps) => {
      const memory = createMemoryStore(createFakeClock());
      let claimed = 0;
      let nextTry = 0;
      for (const { loseAnswers, refuseWrites, tries } of steps) {
        memory.loseAnswers(loseAnswers);
        memory.refuseWrites(refuseWrites);
        const results = await Promise.allSettled(
          Array.from({ length: tries }, () => {
            const claimId = `try-${nextTry++}`;
            const claim = { key: "order", claimId, fingerprint: "same" };
            return createLedger(memory.connect()).claim(claim);
          }),
        );
        claimed += results.filter((result) =>
          result.status === "fulfilled" && result.value.kind === "claimed"
        ).length;
      }
      return claimed <= 1;
    },
  );
  await fastCheck.assert(property, { seed: SEED, numRuns: 200 });
  t.pass();
});
