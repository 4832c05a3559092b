import test from "ava";
import { addAnsweringUpstreams } from "../../stand_ins/platform/answering_upstreams.ts";
import { openedTo } from "../../stand_ins/platform/opened_connections.ts";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { silence } from "../../stand_ins/platform/upstream_network.ts";

/// Links between VMs that fall silent for good, without a reset, while new ones
/// work.

const GATEWAYS = 2;
/// Time between two requests: much shorter than VMs take to link again.
const INTERVAL_MILLISECONDS = 50;
const REQUESTS = [
  { path: "/ask/1", headers: { "X-Token-Counts": "100,20" } },
  { path: "/look/1" },
  { path: "/once/1" },
];

test("a VM that is partitioned from upstreams serves its callers while it links again", async (t) => {
  const deployment = await startPlatformDeployment({ gateways: GATEWAYS });
  t.teardown(deployment.close);
  await addAnsweringUpstreams(deployment, { perService: 2 });
  await until(() => isConnected(deployment, 4));
  deployment.upstreamNetworks[0]!.partition("refuse");
  const send = () => Promise.all(REQUESTS.map(deployment.send));
  await send();
  const links = deployment.gateways.map(({ addresses }) => addresses.links);
  const silenced = openedTo(links);
  silenced.forEach(silence);
  const sent: ReturnType<typeof send>[] = [];
  await until(async () => {
    sent.push(send());
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MILLISECONDS));
    return silenced.every(({ destroyed }) => destroyed) &&
      await isConnected(deployment, 4);
  });
  const results = (await Promise.all(sent)).flat();
  const statuses = results.map(({ status, isWhole }) =>
    isWhole ? status : undefined
  );
  t.deepEqual([...new Set(statuses)], [200]);
});
