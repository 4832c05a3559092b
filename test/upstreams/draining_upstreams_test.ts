import test from "ava";
import { startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

const KEY = "caller-key";
const LIST_LAG_MILLISECONDS = 30_000;
const PROPAGATION_MILLISECONDS = 3_000;
const SOURCES = ["a message", "the list", "the sheet"] as const;

for (const source of SOURCES) {
  test(`an engine drained or removed by ${source} gets no new work`, async (t) => {
    const sheet = sampleSheet({ engines: 2 });
    const fleet = await startFleet({
      sheet,
      entries: 3,
      seed: 1,
      vmListLagMilliseconds: source === "the list" ? 0 : LIST_LAG_MILLISECONDS,
    });
    const { clock, engines } = fleet;
    const first = fleet.entries.get("vm-1")!;
    if (source === "a message") t.true(first.upstreamDrains.mark("engine-1"));
    if (source === "the sheet") {
      const upstreams = sheet.upstreams.filter(({ name }) =>
        name !== "engine-1"
      );
      const proposal = { base: 1, applyId: "without-one", author: "test" };
      const next = { ...proposal, sheet: { ...sheet, upstreams } };
      await first.follower.accept(await first.sheets.apply(next));
    }
    fleet.vmList.set({
      name: "engine-1",
      kind: "upstream",
      dataCentre: "muttrah",
      linkAddress: "",
      state: "leaving",
    });
    await clock.advance(PROPAGATION_MILLISECONDS);
    const { started } = engines.get("engine-1")!.counters;
    for (let count = 0; count < 30; count++) {
      const vm = `vm-${count % 3 + 1}`;
      const call = { vm, key: KEY };
      const answer = await clock.advanceUntil(fleet.complete(call, {}));
      t.is(answer.error, undefined);
    }
    t.is(engines.get("engine-1")!.counters.started, started);
    t.is(engines.get("engine-2")!.counters.started, 30);
  });
}
