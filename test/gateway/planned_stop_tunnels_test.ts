import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// A planned stop of a VM through which another one reaches upstreams.

const WORK_MILLISECONDS = 900;

const wait = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

test("no tunnel of another VM is opened that ends with the stop", async (t) => {
  const deployment = await startPlatformDeployment({
    gateways: 3,
    stopSeconds: 3,
  });
  t.teardown(deployment.close);
  const desk = await deployment.addUpstream("desk", "d1", () => ({
    kind: "answer",
    body: "done",
    workMilliseconds: WORK_MILLISECONDS,
  }));
  await until(() => isConnected(deployment, 1));
  deployment.upstreamNetworks[0]!.partition("refuse");
  const send = () => deployment.send({ path: "/once/1", body: "an order" });
  t.is((await send()).status, 200);
  let isDrained = false;
  void deployment.gateways[1]!.drain().then(() => void (isDrained = true));
  const sent: ReturnType<typeof send>[] = [];
  while (!isDrained) {
    sent.push(send());
    await wait(100);
  }
  const results = await Promise.all(sent);
  t.true(results.length > 20);
  const failed = results.filter(({ status }) => status !== 200);
  t.deepEqual(failed.map(({ status, body }) => ({ status, body })), []);
  t.false(desk.requests.some(({ wasAborted }) => wasAborted));
});
