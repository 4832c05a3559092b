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

type Act = (request: ReceivedRequest) => UpstreamAction;

async function deploy(
  t: ExecutionContext,
  service: string,
  acts: readonly Act[],
) {
  const configuration = sampleConfiguration(1);
  for (const route of configuration.Routes) {
    if (route.Kind !== "non_idempotent") route.MaxAttempts = 3;
  }
  const deployment = await startPlatformDeployment({
    configuration,
  });
  t.teardown(deployment.close);
  const upstreams = await Promise.all(
    acts.map((act, index) => deployment.addUpstream(service, `u${index}`, act)),
  );
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, acts.length));
  return { deployment, upstreams };
}

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
