import test from "ava";
import fastCheck from "fast-check";
import { createIssuedKeys } from "../../src/requests/issued_keys.ts";
import { createLedger } from "../../src/requests/ledger.ts";
import { createLedgerRouter } from "../../src/requests/ledger_router.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";

const SEED = 20_261_204;

/// VMs without links to each other, so that the store alone keeps them apart.
function createLoneLedgers() {
  const clock = createFakeClock();
  const memory = createMemoryStore(clock);
  const create = (vm: string) => {
    const random = createSeededRandom(Number(vm));
    const identity = { vm, incarnation: vm, dataCentre: "muttrah" };
    const links = createLocalNetwork(clock).join(identity);
    const store = memory.connect();
    const home = createLedgerRouter({ clock, random, links, store });
    const issuedKeys = createIssuedKeys({ clock, random, links });
    return createLedger({ clock, links, router: home, issuedKeys });
  };
  return { clock, memory, create };
}

test("a key is claimed at most once whatever the store does", async (t) => {
  const step = fastCheck.record({
    loseAnswers: fastCheck.nat(2),
    refuseWrites: fastCheck.nat(1),
    latency: fastCheck.constantFrom(0, 100, 1_500),
    tries: fastCheck.integer({ min: 1, max: 4 }),
  });
  const property = fastCheck.asyncProperty(
    fastCheck.array(step, { minLength: 1, maxLength: 6 }),
    async (steps) => {
      const { clock, memory, create } = createLoneLedgers();
      const parsedKey = { kind: "caller", time: clock.wallTime() } as const;
      const { signal } = new AbortController();
      let claimed = 0;
      let nextTry = 0;
      for (const { loseAnswers, refuseWrites, latency, tries } of steps) {
        memory.loseAnswers(loseAnswers);
        memory.refuseWrites(refuseWrites);
        memory.setLatency(latency);
        const results = Promise.allSettled(
          Array.from({ length: tries }, async () => {
            const claimId = `try-${nextTry++}`;
            const ledger = create(String(nextTry));
            const request = { key: "order", fingerprint: "same", parsedKey };
            const claim = { ...request, claimId };
            const result = await ledger.claim(claim, signal);
            return result.kind === "claimed" && ledger.markSent(claim);
          }),
        );
        claimed += (await clock.advanceUntil(results)).filter((result) =>
          result.status === "fulfilled" && result.value
        ).length;
      }
      return claimed <= 1;
    },
  );
  await fastCheck.assert(property, { seed: SEED, numRuns: 100 });
  t.pass();
});
