import test from "ava";
import { createLocalStreamLedger } from "../../src/requests/stream_ledger.ts";

const CLAIM = { key: "customer/key", fingerprint: "same", streamId: "one" };

test("a later attempt takes over, an earlier one is told so", async (t) => {
  const ledger = createLocalStreamLedger();
  const placement = { engine: "engine-1", streamId: "one", attempt: 1 };
  t.deepEqual(await ledger.claim(CLAIM), { kind: "started", attempt: 1 });
  t.true(await ledger.place(CLAIM.key, placement));
  const taken = { kind: "takenOver", attempt: 2, placement } as const;
  t.deepEqual(await ledger.claim(CLAIM), taken);
  t.false(await ledger.place(CLAIM.key, placement));
  await ledger.finish(CLAIM.key, 1);
  t.is((await ledger.claim(CLAIM)).kind, "takenOver");
  await ledger.finish(CLAIM.key, 3);
  t.deepEqual(await ledger.claim(CLAIM), { kind: "started", attempt: 4 });
  const other = { ...CLAIM, fingerprint: "other" };
  t.is((await ledger.claim(other)).kind, "differentRequest");
});
