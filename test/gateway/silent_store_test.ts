import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { addAnsweringUpstreams } from "../../stand_ins/platform/answering_upstreams.ts";
import { openedTo } from "../../stand_ins/platform/opened_connections.ts";
import {
  isConnected,
  type PlatformDeployment,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { silence } from "../../stand_ins/platform/upstream_network.ts";

/// Connections to the store that fall silent for good, without a reset, while
/// new ones work.

const GATEWAYS = 3;
/// Time after such a disruption from which changes that the store acknowledged
/// earlier have to be in force: the platform's shortest `StableWindowMs`.
const STABLE_MILLISECONDS = 3_000;
/// Time within which VMs whose entries were removed list themselves again.
const RELISTING_MILLISECONDS = 1_500;
const VM_PREFIX = "sequoiaturn/vms/";

function addRoute({ store }: PlatformDeployment) {
  const configuration = sampleConfiguration(2);
  const [model] = configuration.Routes.filter(({ Name }) => Name === "open");
  const added = { ...model, Name: "added", Prefix: "/added/" };
  const Routes = [...configuration.Routes, added];
  store.put("op/config", { ...configuration, Routes });
}

interface SilenceCase {
  readonly title: string;
  readonly areLinksSilent: boolean;
  /// Whether the VMs have made other calls to the store just before, whose
  /// connections are idle.
  readonly hasIdleConnections: boolean;
}

const CASES: readonly SilenceCase[] = [
  {
    title: "to the store and between VMs",
    areLinksSilent: true,
    hasIdleConnections: false,
  },
  {
    title: "to the store and between VMs, idle ones too,",
    areLinksSilent: true,
    hasIdleConnections: true,
  },
  {
    title: "to the store",
    areLinksSilent: false,
    hasIdleConnections: true,
  },
];

for (const { title, areLinksSilent, hasIdleConnections } of CASES) {
  test.serial(`a route added while all connections ${title} are silent is served in time`, async (t) => {
    const deployment = await startPlatformDeployment({ gateways: GATEWAYS });
    t.teardown(deployment.close);
    await addAnsweringUpstreams(deployment, { perService: 1 });
    await until(() => isConnected(deployment, 2));
    const { store, storeEndpoints, gateways } = deployment;
    // The watches that follow the first change begin after this.
    await sleep(RELISTING_MILLISECONDS);
    if (hasIdleConnections) {
      gateways.forEach((_, index) => store.remove(`${VM_PREFIX}vm-${index}`));
      await sleep(RELISTING_MILLISECONDS);
    }
    store.put("servers/unknown", {});
    await sleep(200);
    const silenced = openedTo([
      ...storeEndpoints.map(({ address }) => address),
      ...areLinksSilent ? gateways.map(({ addresses }) => addresses.links) : [],
    ]);
    silenced.forEach(silence);
    t.true(silenced.length >= GATEWAYS);
    addRoute(deployment);
    await sleep(STABLE_MILLISECONDS);
    const results = await Promise.all(
      gateways.map((_, gateway) =>
        deployment.send({ path: "/added/1", method: "GET", gateway })
      ),
    );
    t.deepEqual(results.map(({ status }) => status), [200, 200, 200]);
  });
}
