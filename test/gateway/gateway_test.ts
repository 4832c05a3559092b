import test, { type ExecutionContext } from "ava";
import {
  API_KEY,
  CUSTOMER,
  type PlatformDeployment,
  type PlatformDeploymentOptions,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";

/// Requests to a gateway over real connections, with stand-ins for upstreams
/// and the store.

const STREAM_REQUEST = {
  path: "/ask/2f",
  headers: { "X-Token-Counts": "1460,80", "X-Model": "m" },
  body: "a prompt",
};
const ONCE_REQUEST = { path: "/once/2f", body: "an order" };
const SAFE_REQUEST = { path: "/look/2f", method: "GET" };

const eventIds = (body: string) =>
  [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
const numbersTo = (to: number) => Array.from({ length: to }, (_, n) => n + 1);

async function deploy(
  t: ExecutionContext,
  options: PlatformDeploymentOptions = {},
): Promise<PlatformDeployment> {
  const deployment = await startPlatformDeployment(options);
  t.teardown(deployment.close);
  await until(() => deployment.isReady());
  return deployment;
}

/// Adds an upstream of the service `desk` that answers every request.
function addDesk(deployment: PlatformDeployment, id = "d1") {
  return deployment.addUpstream(
    "desk",
    id,
    () => ({ kind: "answer", body: "done" }),
  );
}

/// Waits until the gateway lists `count` upstreams.
function untilUpstreamsListed(deployment: PlatformDeployment, count: number) {
  return until(async () =>
    (await deployment.readMetrics())
      .includes(`sequoiaturn_gateway_upstreams ${count}\n`)
  );
}

/// Starts a deployment whose gateway lists one upstream of `desk`.
async function deployWithDesk(t: ExecutionContext) {
  const deployment = await deploy(t);
  const desk = await addDesk(deployment);
  await untilUpstreamsListed(deployment, 1);
  return { deployment, desk };
}

test("a stream and a call pass unchanged, with the gateway's headers", async (t) => {
  const deployment = await deploy(t);
  const engine = await deployment.addUpstream(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 5 }),
  );
  const desk = await addDesk(deployment);
  await untilUpstreamsListed(deployment, 2);
  const stream = await deployment.send({
    ...STREAM_REQUEST,
    headers: {
      ...STREAM_REQUEST.headers,
      "X-Tenant": "forged",
      "X-Helpers": "1.2.3.4:5",
    },
  });
  t.is(stream.status, 200);
  t.true(stream.isWhole);
  t.deepEqual(eventIds(stream.body), numbersTo(5));
  t.is(stream.headers["x-response-signature"], "signed by e1");
  t.is(stream.headers["x-instance-load"], undefined);
  const [seen] = engine.requests;
  t.is(seen!.body, "a prompt");
  t.is(seen!.headers["x-tenant"], CUSTOMER);
  t.is(seen!.headers["authorization"], undefined);
  t.is(seen!.headers["x-helpers"], undefined);
  t.is(seen!.headers["x-expected-instance"], "e1");
  t.is(seen!.headers["x-token-counts"], "1460,80");
  t.true(Number(seen!.headers["x-deadline-ms"]) <= 2_500);
  const call = await deployment.send(ONCE_REQUEST);
  t.is(call.body, "done");
  t.is(desk.requests[0]!.method, "POST");
});

test("a broken stream resumes at another engine in the same response", async (t) => {
  const deployment = await deploy(t);
  const first = await deployment.addUpstream(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 9, resetAfter: 4 }),
  );
  const second = await deployment.addUpstream("engines", "e2", (request) => ({
    kind: "stream",
    from: Number(request.headers["last-event-id"] ?? 0) + 1,
    to: 9,
  }));
  await untilUpstreamsListed(deployment, 2);
  const result = await deployment.send(STREAM_REQUEST);
  t.true(result.isWhole);
  t.deepEqual(eventIds(result.body), numbersTo(9));
  t.is(result.headers["x-response-signature"], "signed by e1");
  t.is(first.requests.length, 1);
  t.is(second.requests.length, 1);
});

test("a broken stream that no engine resumes doesn't end as complete", async (t) => {
  const deployment = await deploy(t);
  await deployment.addUpstream(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 9, resetAfter: 4 }),
  );
  await untilUpstreamsListed(deployment, 1);
  const result = await deployment.send(STREAM_REQUEST);
  t.is(result.status, 200);
  t.false(result.isWhole);
});

interface RetryCase {
  readonly title: string;
  readonly request: typeof ONCE_REQUEST | typeof SAFE_REQUEST;
  /// Action of the first upstream.
  readonly first: UpstreamAction;
  readonly status: number;
  /// Requests that the second upstream receives.
  readonly retries: number;
}

const retryCases: readonly RetryCase[] = [
  {
    title:
      "an at-most-once request that is refused is retried at another upstream",
    request: ONCE_REQUEST,
    first: { kind: "refuse" },
    status: 200,
    retries: 1,
  },
  {
    title:
      "an at-most-once request to a reused address is retried at another upstream",
    request: ONCE_REQUEST,
    first: { kind: "refuse", status: 421 },
    status: 200,
    retries: 1,
  },
  {
    title: "an at-most-once request whose response is lost is not retried",
    request: ONCE_REQUEST,
    first: { kind: "reset" },
    status: 502,
    retries: 0,
  },
  {
    title:
      "an at-most-once request that gets another's response is not retried",
    request: ONCE_REQUEST,
    first: { kind: "foreign", body: "not yours" },
    status: 502,
    retries: 0,
  },
  {
    title:
      "an at-most-once request whose upstream crashes in the response isn't retried",
    request: ONCE_REQUEST,
    first: { kind: "crash_unframed", body: "half an ans" },
    status: 502,
    retries: 0,
  },
  {
    title: "a safe request whose response is lost is retried",
    request: SAFE_REQUEST,
    first: { kind: "reset" },
    status: 200,
    retries: 1,
  },
  {
    title: "a safe request that failed is retried",
    request: SAFE_REQUEST,
    first: { kind: "answer", status: 500, body: "failed" },
    status: 200,
    retries: 1,
  },
  {
    title: "a safe request without a response is retried",
    request: SAFE_REQUEST,
    first: { kind: "silence" },
    status: 200,
    retries: 1,
  },
];

for (const { title, request, first, status, retries } of retryCases) {
  test(title, async (t) => {
    const deployment = await deploy(t);
    const failing = await deployment.addUpstream("desk", "d1", () => first);
    const working = await addDesk(deployment, "d2");
    await untilUpstreamsListed(deployment, 2);
    const result = await deployment.send(request);
    t.is(result.status, status);
    t.is(failing.requests.length, 1);
    t.is(working.requests.length, retries);
  });
}

test("a response without a length is forwarded with the length of its body", async (t) => {
  const deployment = await deploy(t);
  await deployment.addUpstream(
    "desk",
    "d1",
    () => ({ kind: "answer_unframed", body: "maybe whole" }),
  );
  await untilUpstreamsListed(deployment, 1);
  const result = await deployment.send(ONCE_REQUEST);
  t.is(result.body, "maybe whole");
  t.is(result.headers["content-length"], String("maybe whole".length));
  t.is(result.headers["transfer-encoding"], undefined);
});

test("an at-most-once request without a response gets status 504 at its deadline", async (t) => {
  const deployment = await deploy(t);
  const desk = await deployment.addUpstream(
    "desk",
    "d1",
    () => ({ kind: "silence" }),
  );
  await untilUpstreamsListed(deployment, 1);
  const result = await deployment.send({
    ...ONCE_REQUEST,
    headers: { "X-Deadline-Ms": "300" },
  });
  t.is(result.status, 504);
  t.is(desk.requests.length, 1);
});

test("a refusal states when to retry", async (t) => {
  const deployment = await deploy(t);
  await deployment.addUpstream("desk", "d1", () => ({ kind: "refuse" }));
  await untilUpstreamsListed(deployment, 1);
  const result = await deployment.send(ONCE_REQUEST);
  t.is(result.status, 503);
  t.true(Number(result.headers["retry-after"]) > 0);
});

test("a request passes by any number of crashed upstreams that are still listed", async (t) => {
  const deployment = await deploy(t);
  const count = 12;
  for (let index = 0; index < count; index++) {
    (await addDesk(deployment, `d${index}`)).close();
  }
  await addDesk(deployment, "running");
  await untilUpstreamsListed(deployment, count + 1);
  t.is((await deployment.send(ONCE_REQUEST)).status, 200);
});

test("a request is refused soon when all listed upstreams have crashed", async (t) => {
  const deployment = await deploy(t);
  const count = 6;
  for (let index = 0; index < count; index++) {
    (await addDesk(deployment, `d${index}`)).close();
  }
  await untilUpstreamsListed(deployment, count);
  const sentAt = performance.now();
  t.is((await deployment.send(ONCE_REQUEST)).status, 503);
  t.true(performance.now() - sentAt < 1_000);
});

test("no upstream gets more requests than its connection limit permits", async (t) => {
  const base = sampleConfiguration(1);
  const services = base.Services.map((service) => ({
    ...service,
    MaxConnections: 10,
  }));
  // The long timeout keeps requests from ending while others arrive, even on a
  // slow machine.
  const routes = base.Routes.map((route) => ({ ...route, TimeoutMs: 60_000 }));
  const deployment = await deploy(t, {
    configuration: { ...base, Services: services, Routes: routes },
  });
  const desk = await deployment.addUpstream(
    "desk",
    "d1",
    () => ({ kind: "silence" }),
  );
  await untilUpstreamsListed(deployment, 1);
  let refused = 0;
  for (let count = 0; count < 20; count++) {
    void deployment.send(ONCE_REQUEST).then(({ status }) => {
      if (status === 503) refused += 1;
    });
  }
  await until(() => refused + desk.requests.length >= 20);
  t.is(desk.requests.length, 7);
  t.is(refused, 13);
});

test("the engine's connection is closed when the caller disconnects", async (t) => {
  const deployment = await deploy(t);
  const engine = await deployment.addUpstream(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 1_000, pauseMilliseconds: 10 }),
  );
  await untilUpstreamsListed(deployment, 1);
  await deployment.send({ ...STREAM_REQUEST, abortAfterMilliseconds: 100 });
  await until(() => engine.requests[0]?.wasAborted === true);
  t.pass();
});

test("unknown hosts, paths and keys and too large bodies are refused", async (t) => {
  const { deployment, desk } = await deployWithDesk(t);
  const statusOf = async (path: string, headers: Record<string, string>) =>
    (await deployment.send({ path, method: "GET", headers })).status;
  t.is(await statusOf("/none/2f", {}), 404);
  t.is(await statusOf("/look/2f", { Host: "other.example" }), 404);
  t.is(await statusOf("/look/2f", { Authorization: "Token wrong" }), 401);
  t.is(await statusOf("/open/2f", { Authorization: "Token wrong" }), 200);
  t.is(desk.requests[0]!.headers["x-tenant"], undefined);
  const large = await deployment.send({
    ...ONCE_REQUEST,
    body: "x".repeat(100_001),
  });
  t.is(large.status, 413);
});

test("a newer configuration takes effect and an older one doesn't", async (t) => {
  const { deployment } = await deployWithDesk(t);
  const tenants = [{ Name: CUSTOMER, ApiKeys: ["another"] }];
  deployment.store.put(
    "op/config",
    sampleConfiguration(7, { Tenants: tenants }),
  );
  await until(async () => (await deployment.send(SAFE_REQUEST)).status === 401);
  deployment.store.put("op/config", sampleConfiguration(3));
  deployment.store.put("servers/d2", { not: "an entry" });
  await untilUpstreamsListed(deployment, 1);
  t.is((await deployment.send(SAFE_REQUEST)).status, 401);
});

test("a change that the watch missed before a compaction is read", async (t) => {
  const { deployment } = await deployWithDesk(t);
  deployment.storeEndpoints[0]!.setMode("deaf_watches");
  const tenants = [{ Name: CUSTOMER, ApiKeys: ["another"] }];
  deployment.store.put(
    "op/config",
    sampleConfiguration(2, { Tenants: tenants }),
  );
  deployment.store.compact();
  await until(async () => (await deployment.send(SAFE_REQUEST)).status === 401);
  t.pass();
});

test("a draining upstream gets no more requests", async (t) => {
  const { deployment, desk } = await deployWithDesk(t);
  t.is((await deployment.send(SAFE_REQUEST)).status, 200);
  deployment.store.put("servers/d1", desk.entry("desk", "draining"));
  await until(async () => (await deployment.send(SAFE_REQUEST)).status === 503);
  const before = desk.requests.length;
  await deployment.send(SAFE_REQUEST);
  t.is(desk.requests.length, before);
});

test("memory for a prompt beyond one engine is reserved on another and released", async (t) => {
  const deployment = await deploy(t);
  const engines = await Promise.all(
    ["e1", "e2", "e3"].map((id) =>
      deployment.addUpstream("engines", id, () => ({ kind: "stream", to: 3 }))
    ),
  );
  await untilUpstreamsListed(deployment, 3);
  const result = await deployment.send({
    ...STREAM_REQUEST,
    headers: { "X-Token-Counts": "150000,50" },
  });
  t.true(result.isWhole);
  const orders = () => engines.flatMap((engine) => engine.orders);
  const ordersOf = (name: string) =>
    orders().filter(({ Operation }) => Operation === name);
  t.true(ordersOf("reserve").length > 0);
  await until(() => ordersOf("release").length === ordersOf("reserve").length);
  const [primary] = engines.filter((engine) => engine.requests.length > 0);
  const helpers = String(primary!.requests[0]!.headers["x-helpers"]);
  t.true(helpers.includes(`/${String(ordersOf("reserve")[0]!["Id"])}`));
});

test("a prompt beyond the memory of all engines is refused at once", async (t) => {
  const deployment = await deploy(t);
  const engine = await deployment.addUpstream(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 3 }),
  );
  await untilUpstreamsListed(deployment, 1);
  const result = await deployment.send({
    ...STREAM_REQUEST,
    headers: { "X-Token-Counts": "700000,50" },
  });
  t.is(result.status, 503);
  t.is(engine.requests.length, 0);
});

test("a VM that the store refuses receives changes from another VM", async (t) => {
  const deployment = await deploy(t, { gateways: 2 });
  await until(() => deployment.isReady(1));
  await until(async () =>
    (await deployment.readMetrics(1)).includes("sequoiaturn_gateway_peers 1\n")
  );
  deployment.storeEndpoints[1]!.setMode("busy");
  await until(async () =>
    (await deployment.readMetrics(1))
      .includes("sequoiaturn_gateway_store_connected 0\n")
  );
  await addDesk(deployment);
  deployment.store.put(
    "op/config",
    sampleConfiguration(9, {
      Tenants: [{ Name: CUSTOMER, ApiKeys: [API_KEY, "added"] }],
    }),
  );
  await until(async () => {
    const headers = { Authorization: "Token added" };
    const result = await deployment.send({
      ...SAFE_REQUEST,
      headers,
      gateway: 1,
    });
    return result.status === 200;
  });
  t.pass();
});

test("a gateway without a configuration is not ready and responds with 503", async (t) => {
  const deployment = await startPlatformDeployment({ configuration: {} });
  t.teardown(deployment.close);
  const result = await deployment.send(SAFE_REQUEST);
  t.is(result.status, 503);
  t.false(await deployment.isReady());
});

test("a draining gateway ends running requests and closes connections", async (t) => {
  const deployment = await deploy(t);
  await deployment.addUpstream(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 30, pauseMilliseconds: 10 }),
  );
  await untilUpstreamsListed(deployment, 1);
  const running = deployment.send(STREAM_REQUEST);
  await new Promise((resolve) => setTimeout(resolve, 50));
  const drained = deployment.gateways[0]!.drain();
  t.false(await deployment.isReady());
  const later = await deployment.send({
    ...STREAM_REQUEST,
    headers: STREAM_REQUEST.headers,
  });
  t.is(later.headers["connection"], "close");
  t.true((await running).isWhole);
  await drained;
  t.is((await deployment.send(SAFE_REQUEST)).status, undefined);
});

test("a key of the configuration in force is accepted", async (t) => {
  const { deployment } = await deployWithDesk(t);
  const headers = { Authorization: `Token ${API_KEY}` };
  t.is((await deployment.send({ ...SAFE_REQUEST, headers })).status, 200);
});
