import test, { type ExecutionContext } from "ava";
import {
  configurationOf,
  CUSTOMER,
  KEY,
  type PlatformDeployment,
  type PlatformDeploymentOptions,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { RunnerAction } from "../../stand_ins/platform/platform_runner.ts";

/// What callers and runners see of a gateway over real connections.

const ASK = {
  path: "/ask/2f",
  headers: { "X-Token-Counts": "1460,80", "X-Model": "m" },
  body: "a prompt",
};
const ONCE = { path: "/once/2f", body: "an order" };
const LOOK = { path: "/look/2f", method: "GET" };

const eventIds = (body: string) =>
  [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
const numbers = (to: number) => Array.from({ length: to }, (_, n) => n + 1);

async function deploy(
  t: ExecutionContext,
  options: PlatformDeploymentOptions = {},
): Promise<PlatformDeployment> {
  const deployment = await startPlatformDeployment(options);
  t.teardown(deployment.close);
  await until(() => deployment.isReady());
  return deployment;
}

/// Adds a service whose calls succeed.
function addDesk(deployment: PlatformDeployment, id = "d1") {
  return deployment.addRunner(
    "desk",
    id,
    () => ({ kind: "answer", body: "done" }),
  );
}

/// Waits until the gateway knows as many upstreams.
function knowsUpstreams(deployment: PlatformDeployment, count: number) {
  return until(async () =>
    (await deployment.readMetrics())
      .includes(`sequoiaturn_gateway_upstreams ${count}\n`)
  );
}

/// A deployment whose gateway knows one such service.
async function deployWithDesk(t: ExecutionContext) {
  const deployment = await deploy(t);
  const desk = await addDesk(deployment);
  await knowsUpstreams(deployment, 1);
  return { deployment, desk };
}

test("a stream and a call pass unchanged, with the gateway's headers", async (t) => {
  const deployment = await deploy(t);
  const engine = await deployment.addRunner(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 5 }),
  );
  const desk = await addDesk(deployment);
  await knowsUpstreams(deployment, 2);
  const stream = await deployment.send({
    ...ASK,
    headers: { ...ASK.headers, "X-Tenant": "forged", "X-Helpers": "1.2.3.4:5" },
  });
  t.is(stream.status, 200);
  t.true(stream.isWhole);
  t.deepEqual(eventIds(stream.body), numbers(5));
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
  const call = await deployment.send(ONCE);
  t.is(call.body, "done");
  t.is(desk.requests[0]!.method, "POST");
});

test("a stream that breaks goes on at another engine in the same answer", async (t) => {
  const deployment = await deploy(t);
  const first = await deployment.addRunner(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 9, cutAt: 4 }),
  );
  const second = await deployment.addRunner("engines", "e2", (request) => ({
    kind: "stream",
    from: Number(request.headers["last-event-id"] ?? 0) + 1,
    to: 9,
  }));
  await knowsUpstreams(deployment, 2);
  const result = await deployment.send(ASK);
  t.true(result.isWhole);
  t.deepEqual(eventIds(result.body), numbers(9));
  t.is(result.headers["x-response-signature"], "signed by e1");
  t.is(first.requests.length, 1);
  t.is(second.requests.length, 1);
});

test("a broken stream that no engine continues doesn't look whole", async (t) => {
  const deployment = await deploy(t);
  await deployment.addRunner(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 9, cutAt: 4 }),
  );
  await knowsUpstreams(deployment, 1);
  const result = await deployment.send(ASK);
  t.is(result.status, 200);
  t.false(result.isWhole);
});

interface RepeatCase {
  readonly title: string;
  readonly request: typeof ONCE | typeof LOOK;
  readonly first: RunnerAction;
  readonly status: number;
  /// Runs at the second upstream.
  readonly runs: number;
}

const repeatCases: readonly RepeatCase[] = [
  {
    title: "a refused one-time call goes to another upstream",
    request: ONCE,
    first: { kind: "refuse" },
    status: 200,
    runs: 1,
  },
  {
    title: "a one-time call at a reused address goes to another upstream",
    request: ONCE,
    first: { kind: "refuse", status: 421 },
    status: 200,
    runs: 1,
  },
  {
    title: "a one-time call whose answer is lost is not sent again",
    request: ONCE,
    first: { kind: "reset" },
    status: 502,
    runs: 0,
  },
  {
    title: "a one-time call that gets another's answer is not sent again",
    request: ONCE,
    first: { kind: "foreign", body: "not yours" },
    status: 502,
    runs: 0,
  },
  {
    title: "a one-time call whose upstream crashes at the end of an answer",
    request: ONCE,
    first: { kind: "crash_unframed", body: "half an ans" },
    status: 502,
    runs: 0,
  },
  {
    title: "a safe call whose answer is lost is sent again",
    request: LOOK,
    first: { kind: "reset" },
    status: 200,
    runs: 1,
  },
  {
    title: "a safe call that failed is sent again",
    request: LOOK,
    first: { kind: "answer", status: 500, body: "failed" },
    status: 200,
    runs: 1,
  },
  {
    title: "a safe call without an answer is sent again",
    request: LOOK,
    first: { kind: "silence" },
    status: 200,
    runs: 1,
  },
];

for (const { title, request, first, status, runs } of repeatCases) {
  test(title, async (t) => {
    const deployment = await deploy(t);
    const failing = await deployment.addRunner("desk", "d1", () => first);
    const working = await addDesk(deployment, "d2");
    await knowsUpstreams(deployment, 2);
    const result = await deployment.send(request);
    t.is(result.status, status);
    t.is(failing.requests.length, 1);
    t.is(working.requests.length, runs);
  });
}

test("an answer without length is passed on without one", async (t) => {
  const deployment = await deploy(t);
  await deployment.addRunner(
    "desk",
    "d1",
    () => ({ kind: "answer_unframed", body: "maybe whole" }),
  );
  await knowsUpstreams(deployment, 1);
  const result = await deployment.send(ONCE);
  t.is(result.body, "maybe whole");
  t.is(result.headers["content-length"], undefined);
  t.is(result.headers["transfer-encoding"], undefined);
});

test("a one-time call without an answer ends at its deadline as unknown", async (t) => {
  const deployment = await deploy(t);
  const desk = await deployment.addRunner(
    "desk",
    "d1",
    () => ({ kind: "silence" }),
  );
  await knowsUpstreams(deployment, 1);
  const result = await deployment.send({
    ...ONCE,
    headers: { "X-Deadline-Ms": "300" },
  });
  t.is(result.status, 504);
  t.is(desk.requests.length, 1);
});

test("a refusal says that it can be repeated and when", async (t) => {
  const deployment = await deploy(t);
  await deployment.addRunner("desk", "d1", () => ({ kind: "refuse" }));
  await knowsUpstreams(deployment, 1);
  const result = await deployment.send(ONCE);
  t.is(result.status, 503);
  t.true(Number(result.headers["retry-after"]) > 0);
});

test("no upstream gets more requests than it accepts connections", async (t) => {
  const base = configurationOf(1);
  const services = base.Services.map((service) => ({
    ...service,
    MaxConnections: 10,
  }));
  // No request ends while others arrive, however slow the machine is.
  const routes = base.Routes.map((route) => ({ ...route, TimeoutMs: 60_000 }));
  const deployment = await deploy(t, {
    configuration: { ...base, Services: services, Routes: routes },
  });
  const desk = await deployment.addRunner(
    "desk",
    "d1",
    () => ({ kind: "silence" }),
  );
  await knowsUpstreams(deployment, 1);
  let refused = 0;
  for (let count = 0; count < 20; count++) {
    void deployment.send(ONCE).then(({ status }) => {
      if (status === 503) refused += 1;
    });
  }
  await until(() => refused + desk.requests.length >= 20);
  t.is(desk.requests.length, 7);
  t.is(refused, 13);
});

test("the engine stops when the caller leaves", async (t) => {
  const deployment = await deploy(t);
  const engine = await deployment.addRunner(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 1_000, pauseMilliseconds: 10 }),
  );
  await knowsUpstreams(deployment, 1);
  await deployment.send({ ...ASK, leaveAfter: 100 });
  await until(() => engine.requests[0]?.wasCut === true);
  t.pass();
});

test("hosts, paths and keys that the configuration lacks are refused", async (t) => {
  const { deployment, desk } = await deployWithDesk(t);
  const statusOf = async (path: string, headers: Record<string, string>) =>
    (await deployment.send({ path, method: "GET", headers })).status;
  t.is(await statusOf("/none/2f", {}), 404);
  t.is(await statusOf("/look/2f", { Host: "other.example" }), 404);
  t.is(await statusOf("/look/2f", { Authorization: "Token wrong" }), 401);
  t.is(await statusOf("/open/2f", { Authorization: "Token wrong" }), 200);
  t.is(desk.requests[0]!.headers["x-tenant"], undefined);
  const large = await deployment.send({ ...ONCE, body: "x".repeat(100_001) });
  t.is(large.status, 413);
});

test("a new configuration takes effect and an older one doesn't", async (t) => {
  const { deployment } = await deployWithDesk(t);
  const tenants = [{ Name: CUSTOMER, ApiKeys: ["another"] }];
  deployment.store.put("op/config", configurationOf(7, { Tenants: tenants }));
  await until(async () => (await deployment.send(LOOK)).status === 401);
  deployment.store.put("op/config", configurationOf(3));
  deployment.store.put("servers/d2", { not: "an entry" });
  await knowsUpstreams(deployment, 1);
  t.is((await deployment.send(LOOK)).status, 401);
});

test("a change that the watch missed while history was dropped is found", async (t) => {
  const { deployment } = await deployWithDesk(t);
  deployment.doors[0]!.setMode("deaf_watches");
  const tenants = [{ Name: CUSTOMER, ApiKeys: ["another"] }];
  deployment.store.put("op/config", configurationOf(2, { Tenants: tenants }));
  deployment.store.compact();
  await until(async () => (await deployment.send(LOOK)).status === 401);
  t.pass();
});

test("an upstream that says it leaves gets nothing more", async (t) => {
  const { deployment, desk } = await deployWithDesk(t);
  t.is((await deployment.send(LOOK)).status, 200);
  deployment.store.put("servers/d1", desk.entry("desk", "draining"));
  await until(async () => (await deployment.send(LOOK)).status === 503);
  const before = desk.requests.length;
  await deployment.send(LOOK);
  t.is(desk.requests.length, before);
});

test("a prompt beyond one engine's memory is reserved on another and released", async (t) => {
  const deployment = await deploy(t);
  const engines = await Promise.all(
    ["e1", "e2", "e3"].map((id) =>
      deployment.addRunner("engines", id, () => ({ kind: "stream", to: 3 }))
    ),
  );
  await knowsUpstreams(deployment, 3);
  const result = await deployment.send({
    ...ASK,
    headers: { "X-Token-Counts": "150000,50" },
  });
  t.true(result.isWhole);
  const orders = () => engines.flatMap((engine) => engine.orders);
  const named = (name: string) =>
    orders().filter(({ Operation }) => Operation === name);
  t.true(named("reserve").length > 0);
  await until(() => named("release").length === named("reserve").length);
  const [ran] = engines.filter((engine) => engine.requests.length > 0);
  const helpers = String(ran!.requests[0]!.headers["x-helpers"]);
  t.true(helpers.includes(`/${String(named("reserve")[0]!["Id"])}`));
});

test("a prompt beyond the memory of all engines is refused at once", async (t) => {
  const deployment = await deploy(t);
  const engine = await deployment.addRunner(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 3 }),
  );
  await knowsUpstreams(deployment, 1);
  const result = await deployment.send({
    ...ASK,
    headers: { "X-Token-Counts": "700000,50" },
  });
  t.is(result.status, 503);
  t.is(engine.requests.length, 0);
});

test("a VM that the store turns away learns from another", async (t) => {
  const deployment = await deploy(t, { gateways: 2 });
  await until(() => deployment.isReady(1));
  await until(async () =>
    (await deployment.readMetrics(1)).includes("sequoiaturn_gateway_peers 1\n")
  );
  deployment.doors[1]!.setMode("busy");
  await until(async () =>
    (await deployment.readMetrics(1))
      .includes("sequoiaturn_gateway_store_connected 0\n")
  );
  await addDesk(deployment);
  deployment.store.put(
    "op/config",
    configurationOf(9, {
      Tenants: [{ Name: CUSTOMER, ApiKeys: [KEY, "added"] }],
    }),
  );
  await until(async () => {
    const headers = { Authorization: "Token added" };
    const second = await deployment.send({ ...LOOK, headers, gateway: 1 });
    return second.status === 200;
  });
  t.pass();
});

test("a gateway without a configuration refuses without denying", async (t) => {
  const deployment = await startPlatformDeployment({ configuration: {} });
  t.teardown(deployment.close);
  const result = await deployment.send(LOOK);
  t.is(result.status, 503);
  t.false(await deployment.isReady());
});

test("a stopping gateway ends what it has and says that it closes", async (t) => {
  const deployment = await deploy(t);
  await deployment.addRunner(
    "engines",
    "e1",
    () => ({ kind: "stream", to: 30, pauseMilliseconds: 10 }),
  );
  await knowsUpstreams(deployment, 1);
  const running = deployment.send(ASK);
  await new Promise((resolve) => setTimeout(resolve, 50));
  const drained = deployment.gateways[0]!.drain();
  t.false(await deployment.isReady());
  const later = await deployment.send({ ...ASK, headers: ASK.headers });
  t.is(later.headers["connection"], "close");
  t.true((await running).isWhole);
  await drained;
  t.is((await deployment.send(LOOK)).status, undefined);
});

test("keys are compared with those in force", async (t) => {
  const { deployment } = await deployWithDesk(t);
  const headers = { Authorization: `Token ${KEY}` };
  t.is((await deployment.send({ ...LOOK, headers })).status, 200);
});
