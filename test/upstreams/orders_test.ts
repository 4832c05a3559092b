import test from "ava";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";
import { createLocalWeightStore } from "../../stand_ins/weight_store_server.ts";

const KEY = "caller-key";

test("engines load the sheet's version, and VMs serve without the store", async (t) => {
  const sheet = sampleSheet({ engines: 3 });
  const fleet = await startFleet({
    sheet,
    entries: 3,
    seed: 1,
    weightStore: createLocalWeightStore({ bytes: 8, bytesPerSecond: 8 }),
  });
  const { clock } = fleet;
  const first = fleet.entries.get("vm-1")!;
  const models = sheet.models.map((share) => ({ ...share, version: "2" }));
  const proposal = { base: 1, applyId: "new-version", author: "test" };
  await clock.advanceUntil(
    first.sheets.apply({ ...proposal, sheet: { ...sheet, models } })
      .then((applied) => first.follower.accept(applied)),
  );
  await clock.advance(60_000);
  for (const engine of fleet.engines.values()) {
    t.deepEqual(engine.counters.acceptedOrders.map(({ version }) => version), [
      "2",
    ]);
  }
  fleet.store.setDown(true);
  await clock.advance(60_000);
  const answer = await clock.advanceUntil(
    fleet.complete({ vm: "vm-2", key: KEY }, {}),
  );
  t.is(answer.error, undefined);
});
