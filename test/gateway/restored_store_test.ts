import test, { type ExecutionContext } from "ava";
import {
  isConnected,
  type PlatformDeployment,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ScriptedUpstream } from "../../stand_ins/platform/scripted_upstream.ts";

/// A store that comes back from an earlier copy and gives out revisions again.

/// Enough VMs that some receive the store's changes from others.
const GATEWAYS = 5;
/// Time in which a change has to be in force.
const IN_FORCE_MILLISECONDS = 2_000;
/// Time in which running upstreams are listed again after the store's return.
const RELISTING_MILLISECONDS = 2_000;
const VM_PREFIX = "sequoiaturn/vms/";

const SAMPLE = sampleConfiguration(1);
/// Long enough for requests that are sent together to use all upstreams.
const ANSWER = { kind: "stream", to: 3, pauseMilliseconds: 40 } as const;
const REQUESTS_TOGETHER = 4;

/// A configuration with further public routes of the desk.
function configurationWith(version: number, prefixes: readonly string[]) {
  const [model] = SAMPLE.Routes.filter(({ Prefix }) => Prefix === "/open/");
  const added = prefixes.map((prefix) => ({
    ...model,
    Name: prefix,
    Prefix: `/${prefix}/`,
  }));
  return sampleConfiguration(version, { Routes: [...SAMPLE.Routes, ...added] });
}

async function deploy(t: ExecutionContext, upstreams: number) {
  const deployment = await startPlatformDeployment({ gateways: GATEWAYS });
  t.teardown(deployment.close);
  const desks = await Promise.all(
    Array.from({ length: upstreams }, (_, index) =>
      deployment.addUpstream(
        "desk",
        `u${index}`,
        () => ANSWER,
      )),
  );
  await until(() => isConnected(deployment, upstreams));
  const configure = (version: number, prefixes: readonly string[]) =>
    deployment.store.put("op/config", configurationWith(version, prefixes));
  return { deployment, store: deployment.store, desks, configure };
}

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/// Sends a request for a route to each gateway; returns the statuses.
async function statusesOf(
  { gateways, send }: PlatformDeployment,
  path: string,
) {
  const results = await Promise.all(
    gateways.map((_, gateway) => send({ path, method: "GET", gateway })),
  );
  return results.map(({ status }) => status);
}

const allOf = (status: number) =>
  Array.from({ length: GATEWAYS }, () => status);

interface ConfigurationCase {
  readonly title: string;
  /// Changes between the copy and the loss, and after the return, beside the last
  /// one.
  readonly lost: number;
  readonly later: number;
  /// Gateways that the store refuses from the loss on.
  readonly refused: readonly number[];
}

const CONFIGURATION_CASES: readonly ConfigurationCase[] = [
  { title: "with a known revision", lost: 2, later: 0, refused: [] },
  { title: "after several revisions", lost: 1, later: 3, refused: [] },
  {
    title: "by VMs that the store refuses",
    lost: 2,
    later: 0,
    refused: [0, 3],
  },
];

for (const { title, lost, later, refused } of CONFIGURATION_CASES) {
  test(`a route added after a restore of the store is served, ${title}`, async (t) => {
    const { deployment, store, configure } = await deploy(t, 1);
    const copy = store.copy();
    for (let index = 0; index < lost; index++) configure(2 + index, ["lost"]);
    await until(async () =>
      (await statusesOf(deployment, "/lost/1")).every((each) => each === 200)
    );
    for (const index of refused) {
      deployment.storeEndpoints[index]!.setMode("busy");
    }
    await store.restore(copy);
    configure(1 + lost, ["lost"]);
    for (let index = 0; index < later; index++) {
      configure(2 + lost + index, ["lost"]);
    }
    await sleep(500);
    t.deepEqual(await statusesOf(deployment, "/lost/1"), allOf(200));
    configure(9, ["lost", "added"]);
    await sleep(IN_FORCE_MILLISECONDS);
    t.deepEqual(await statusesOf(deployment, "/added/1"), allOf(200));
    t.deepEqual(await statusesOf(deployment, "/lost/1"), allOf(200));
  });
}

test("upstreams whose entries a restore has lost are used until they are listed again", async (t) => {
  const { deployment, store, desks } = await deploy(t, 1);
  const copy = store.copy();
  store.remove("servers/u0");
  await deployment.addUpstream(
    "desk",
    "later",
    () => ANSWER,
  );
  await until(() => isConnected(deployment, 1));
  await store.restore({
    ...copy,
    items: new Map(
      [...copy.items].filter(([key]) => !key.startsWith("servers/")),
    ),
  });
  const before = desks[0]!.requests.length;
  const endsAt = performance.now() + RELISTING_MILLISECONDS - 500;
  while (performance.now() < endsAt) {
    t.deepEqual(await statusesOf(deployment, "/open/1"), allOf(200));
    await sleep(250);
  }
  t.is(desks[0]!.requests.length, before);
});

/// Sends several requests to each gateway at the same time; returns how many the
/// upstream gets.
async function countRequests(
  deployment: PlatformDeployment,
  upstream: ScriptedUpstream,
): Promise<number> {
  const before = upstream.requests.length;
  await Promise.all(
    Array.from(
      { length: REQUESTS_TOGETHER },
      () => statusesOf(deployment, "/open/1"),
    ),
  );
  return upstream.requests.length - before;
}

for (const wasDraining of [true, false]) {
  const state = wasDraining ? "drained" : "left";
  test(`an upstream that has ${state} gets no requests after a restore lists it again`, async (t) => {
    const { deployment, store, desks } = await deploy(t, 2);
    const [, leaving] = desks;
    const copy = store.copy();
    if (wasDraining) {
      store.put("servers/u1", leaving!.entry("desk", "draining", 2));
      await sleep(200);
    }
    store.remove("servers/u1");
    await until(() => isConnected(deployment, 1));
    await store.restore(copy);
    await sleep(300);
    t.is(await countRequests(deployment, leaving!), 0);
  });
}

test("an upstream that lists itself again after a restore is used", async (t) => {
  const { deployment, store, desks } = await deploy(t, 2);
  const copy = store.copy();
  store.remove("servers/u1");
  await until(() => isConnected(deployment, 1));
  await store.restore(copy);
  store.put("servers/u1", desks[1]!.entry("desk", "ready", 7));
  await sleep(500);
  t.true(await countRequests(deployment, desks[1]!) > 0);
});

test("an upstream that leaves after a restore gets no more requests", async (t) => {
  const { deployment, store, desks } = await deploy(t, 2);
  const copy = store.copy();
  for (let count = 0; count < 4; count++) {
    store.put("servers/u0", desks[0]!.entry("desk", "ready", 2 + count));
  }
  await sleep(300);
  await store.restore(copy);
  await sleep(300);
  store.put("servers/u1", desks[1]!.entry("desk", "draining", 9));
  await sleep(IN_FORCE_MILLISECONDS);
  t.is(await countRequests(deployment, desks[1]!), 0);
});

test("VMs whose entries a restore has lost are listed again", async (t) => {
  const { deployment, store } = await deploy(t, 1);
  const { items, revision } = store.copy();
  const kept = [...items].filter(([key]) => !key.startsWith(VM_PREFIX));
  await store.restore({ items: new Map(kept), leases: new Set(), revision });
  await sleep(4_000);
  const listed = [...store.copy().items.keys()]
    .filter((key) => key.startsWith(VM_PREFIX));
  t.is(listed.length, GATEWAYS);
  t.true(await isConnected(deployment, 1));
});
