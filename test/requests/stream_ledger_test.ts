import test from "ava";
import {
  createLedgerRouter,
  LedgerUnavailableError,
} from "../../src/requests/ledger_router.ts";
import { createStreamLedger } from "../../src/requests/stream_ledger.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";

const CLAIM = { key: "customer/key", fingerprint: "same", streamId: "one" };

function startLedgers() {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const memory = createMemoryStore(clock);
  const ledgers = ["vm-1", "vm-2"].map((vm, index) => {
    const random = createSeededRandom(index);
    const identity = { vm, incarnation: random.hex(8), dataCentre: "muttrah" };
    const links = network.join(identity);
    const store = memory.connect();
    const home = createLedgerRouter({ clock, random, links, store });
    return createStreamLedger({ clock, random, router: home });
  });
  return { clock, memory, first: ledgers[0]!, second: ledgers[1]! };
}

test("a later attempt takes over, an earlier one is told so", async (t) => {
  const { clock, memory, first, second } = startLedgers();
  const run = <Value>(promise: Promise<Value>) => clock.advanceUntil(promise);
  const placement = { engine: "engine-1", streamId: "one", attempt: 1 };
  const started = { kind: "started", attempt: 1 } as const;
  memory.loseAnswers(1);
  t.deepEqual(await run(first.claim(CLAIM)), started);
  memory.loseAnswers(1);
  t.true(await run(first.recordPlacement(CLAIM.key, placement)));
  const taken = { kind: "takenOver", attempt: 2, placement } as const;
  t.deepEqual(await run(second.claim(CLAIM)), taken);
  t.false(await run(first.recordPlacement(CLAIM.key, placement)));
  await run(first.finish(CLAIM.key, 1));
  t.is((await run(first.claim(CLAIM))).kind, "takenOver");
  await run(second.finish(CLAIM.key, 3));
  t.deepEqual(await run(second.claim(CLAIM)), { kind: "started", attempt: 4 });
  const other = { ...CLAIM, fingerprint: "other" };
  t.is((await run(second.claim(other))).kind, "differentRequest");
});

for (const fault of ["down", "silent"]) {
  test(`no attempt starts while the store is ${fault}`, async (t) => {
    const { clock, memory, first } = startLedgers();
    if (fault === "down") memory.setDown(true);
    else memory.setLatency(60_000);
    await t.throwsAsync(clock.advanceUntil(first.claim(CLAIM), 3_000), {
      instanceOf: LedgerUnavailableError,
    });
  });
}
