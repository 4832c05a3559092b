import test from "ava";
import { buildEarlierGateway } from "../stand_ins/upgrade/earlier_gateway.ts";
import { runUpgrade } from "../stand_ins/upgrade/upgrade.ts";

/// Upgrades from earlier builds, which run beside the current one while VMs are
/// replaced one after the other.

/// The last commit of each of the last landings.
const COMMITS = ["a10c4d7", "bf83872", "70c5076"];

for (const [index, commit] of COMMITS.entries()) {
  test(`callers notice nothing of an upgrade from ${commit}`, async (t) => {
    t.timeout(120_000);
    const { program, remove } = buildEarlierGateway(commit);
    t.teardown(remove);
    const result = await runUpgrade({
      seed: index + 1,
      earlierProgram: program,
    });
    t.deepEqual(result.broken, []);
    t.log(`${result.requests} requests`);
  });
}

test("a clone without the history fails with a message that says so", (t) => {
  t.throws(() => buildEarlierGateway("0".repeat(40)), {
    message: /needs? the whole history/,
  });
});
