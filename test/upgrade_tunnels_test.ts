import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import test from "ava";
import {
  type CallerRequest,
  startPlatformDeployment,
  until,
} from "../stand_ins/platform/platform_deployment.ts";
import { createGatewayProcess } from "../stand_ins/soak/gateway_process.ts";
import { buildEarlierGateway } from "../stand_ins/upgrade/earlier_gateway.ts";

/// Tunnels while most VMs run an earlier build, which knows none.

const EARLIER_COMMIT = "bf83872";
const EARLIER_VMS = 8;
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

test("a VM without a path to upstreams finds the one VM of many that opens tunnels", async (t) => {
  const { program, remove } = buildEarlierGateway(EARLIER_COMMIT);
  t.teardown(remove);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-upgrade-`);
  t.teardown(() => rmSync(folder, { recursive: true }));
  const deployment = await startPlatformDeployment({ gateways: 2 });
  t.teardown(deployment.close);
  for (const service of ["engines", "desk"]) {
    for (let index = 0; index < UPSTREAMS_PER_SERVICE; index++) {
      await deployment.addUpstream(
        service,
        `${service}-${index}`,
        () =>
          service === "engines"
            ? { kind: "stream", to: 3 }
            : { kind: "answer", body: "done" },
      );
    }
  }
  const { address: storeAddress } = await deployment.store.openEndpoint();
  await Promise.all(
    Array.from({ length: EARLIER_VMS }, async (_, index) => {
      const options = { storeAddress, folder };
      const vm = await createGatewayProcess(`earlier-${index}`, options);
      t.teardown(() => vm.signal("SIGKILL"));
      await vm.start(program);
    }),
  );
  const peers = `sequoiaturn_gateway_peers ${EARLIER_VMS + 1}\n`;
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
