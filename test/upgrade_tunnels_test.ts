import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import test from "ava";
import { STORED_CRASHES_PREFIX } from "../src/requests/stored_crashes.ts";
import { addAnsweringUpstreams } from "../stand_ins/platform/answering_upstreams.ts";
import {
  type CallerRequest,
  startPlatformDeployment,
  until,
} from "../stand_ins/platform/platform_deployment.ts";
import { createGatewayProcess } from "../stand_ins/soak/gateway_process.ts";
import { buildEarlierGateway } from "../stand_ins/upgrade/earlier_gateway.ts";

/// Tunnels while most VMs run an earlier build.

interface EarlierBuild {
  readonly title: string;
  readonly commit: string;
  readonly vms: number;
}

const EARLIER_BUILDS: readonly EarlierBuild[] = [
  {
    title: "finds the one VM of many that opens tunnels",
    commit: "bf83872",
    vms: 8,
  },
  {
    title: "uses tunnels of VMs whose build has no frames or stored crashes",
    commit: "5ea8436",
    vms: 2,
  },
];
const UPSTREAMS_PER_SERVICE = 4;
const ROUNDS = 6;

const REQUESTS: readonly CallerRequest[] = [
  { path: "/look/1", method: "GET" },
  { path: "/once/1", body: "an order" },
  {
    path: "/ask/1",
    headers: { "X-Token-Counts": "1460,80", "X-Model": "m" },
    body: "a prompt",
  },
];

for (const { title, commit, vms } of EARLIER_BUILDS) {
  test(`a VM without a path to upstreams ${title}`, async (t) => {
    const { program, remove } = buildEarlierGateway(commit);
    t.teardown(remove);
    const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-upgrade-`);
    t.teardown(() => rmSync(folder, { recursive: true }));
    const deployment = await startPlatformDeployment({ gateways: 2 });
    t.teardown(deployment.close);
    await addAnsweringUpstreams(deployment, {
      perService: UPSTREAMS_PER_SERVICE,
    });
    deployment.store.put(`${STORED_CRASHES_PREFIX}1`, {
      key: "deadly",
      records: [],
    });
    const { address: storeAddress } = await deployment.store.openEndpoint();
    await Promise.all(
      Array.from({ length: vms }, async (_, index) => {
        const options = { storeAddress, folder };
        const vm = await createGatewayProcess(`earlier-${index}`, options);
        t.teardown(() => vm.signal("SIGKILL"));
        await vm.start(program);
      }),
    );
    const peers = `sequoiaturn_gateway_peers ${vms + 1}\n`;
    await until(async () => (await deployment.readMetrics(0)).includes(peers));

    deployment.upstreamNetworks[0]!.partition("refuse");
    const statuses: (number | undefined)[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      const results = await Promise.all(REQUESTS.map(deployment.send));
      statuses.push(
        ...results.map(({ status, isWhole }) => isWhole ? status : undefined),
      );
    }
    t.deepEqual(statuses, statuses.map(() => 200));
  });
}
