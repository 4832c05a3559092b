import test, { type ExecutionContext } from "ava";
import {
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type {
  ReceivedRequest,
  UpstreamAction,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// What follows the silence or the failure of an upstream: how many further
/// attempts, and how soon.

const EVENTS = 6;

type Act = (request: ReceivedRequest) => UpstreamAction;

async function deploy(
  t: ExecutionContext,
  service: string,
  acts: readonly Act[],
  retryAllowance = 100,
) {
  const configuration = sampleConfiguration(1);
  for (const route of configuration.Routes) {
    if (route.Kind !== "non_idempotent") route.MaxAttempts = 3;
  }
  const deployment = await startPlatformDeployment({
    configuration,
    retryAllowance,
  });
  t.teardown(deployment.close);
  const upstreams = await Promise.all(
    acts.map((act, index) => deployment.addUpstream(service, `u${index}`, act)),
  );
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, acts.length));
  return { deployment, upstreams };
}

const streamFrom = (request: ReceivedRequest): UpstreamAction => {
  const last = request.headers["last-event-id"];
  return {
    kind: "stream",
    from: last === undefined ? 1 : Number(last) + 1,
    to: EVENTS,
  };
};

/// The first upstreams that get a request act alike.
const inOrder = (actions: readonly Act[]): Act => {
  let arrivals = 0;
  return (request) =>
    actions[Math.min(arrivals++, actions.length - 1)]!(request);
};

const silentForGood: Act = (request) => ({
  ...streamFrom(request) as UpstreamAction & { kind: "stream" },
  silence: { after: 3, milliseconds: 20_000 },
});

const STREAM = {
  path: "/ask/2f",
  headers: { "X-Deadline-Ms": "3000", "X-Token-Counts": "100,20" },
};

for (
  const [name, act] of [
    ["answers 500", () => ({ kind: "answer", status: 500, body: "failed" })],
    ["resets", () => ({ kind: "reset" })],
  ] as readonly [string, Act][]
) {
  test(`a request isn't repeated without end at an upstream that ${name}`, async (t) => {
    const { deployment, upstreams } = await deploy(t, "desk", [act]);
    await deployment.send({ path: "/look/2f" });
    t.true(
      upstreams[0]!.requests.length <= 3,
      `${upstreams[0]!.requests.length}`,
    );
  });
}

test("a refusal by a silent upstream's replacement doesn't delay the next one", async (t) => {
  const act = inOrder([silentForGood, () => ({ kind: "refuse" }), streamFrom]);
  const { deployment } = await deploy(t, "engines", [act, act, act]);
  const startedAt = performance.now();
  const { isWhole, body } = await deployment.send(STREAM);
  t.true(isWhole, body);
  const took = performance.now() - startedAt;
  t.true(took < 1_500, `${took} ms`);
});

test("two silent upstreams don't keep a third one from the request", async (t) => {
  const silent: Act = () => ({ kind: "silence" });
  const act = inOrder([silentForGood, silent, streamFrom]);
  const { deployment } = await deploy(t, "engines", [act, act, act]);
  const { isWhole, body } = await deployment.send(STREAM);
  t.true(isWhole, body);
});

test("one silent request doesn't suspend its upstream", async (t) => {
  const { deployment } = await deploy(t, "engines", [silentForGood], 0);
  await deployment.send(STREAM);
  const metrics = await deployment.readMetrics();
  t.regex(metrics, /suspended_upstreams 0\n/);
});

test("a refused new connection doesn't end a stream whose connection goes on", async (t) => {
  const act: Act = (request) => ({
    ...streamFrom(request) as UpstreamAction & { kind: "stream" },
    silence: { after: 3, milliseconds: 1_300 },
  });
  const { deployment } = await deploy(t, "engines", [act, act]);
  const running = deployment.send(STREAM);
  setTimeout(() => deployment.upstreamNetworks[0]!.partition("refuse"), 300);
  const { isWhole, body } = await running;
  t.true(isWhole, body);
});
