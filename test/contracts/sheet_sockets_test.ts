import test from "ava";
import { startDeployment } from "../../stand_ins/deployment.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Distribution of the sheet among nine daemons over real sockets.

const VMS = 9;
const POLL_MILLISECONDS = 50;

test("an accepted sheet reaches nine daemons although the store goes down", async (t) => {
  const sample = sampleSheet({ engines: 3, replicas: 1 });
  const upstreams = sample.upstreams.map((upstream, index) => ({
    ...upstream,
    dataCentre: ["muttrah", "seeb", "qurum"][index % 3]!,
  }));
  const deployment = await startDeployment({
    sheet: { ...sample, upstreams },
    vms: VMS,
  });
  t.teardown(() => deployment.close());
  const base = await deployment.applySheet();
  const { sheet } = deployment;
  const options = { ...sheet.options, longPromptTokens: 50_000 };
  const applied = await deployment.administration(4).applySheet({
    sheet: { ...sheet, options },
    base,
    applyId: "nine-daemons",
    author: "operator",
  });
  deployment.store.setDown(true);
  const read = async () => {
    const { vms } = await deployment.administration(0).readRevisions();
    return vms.map(({ revision }) => revision);
  };
  const expected = Array(VMS).fill(applied.revision);
  let revisions = await read();
  while (revisions.join() !== expected.join()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
    revisions = await read();
  }
  t.deepEqual(revisions, expected);
});
