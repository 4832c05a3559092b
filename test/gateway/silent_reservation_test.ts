import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

const ENGINES = 5;
const PROMPTS = 4;

test("an engine that doesn't respond to orders doesn't keep a prompt from the others' memory", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  let silent: number | undefined;
  for (let index = 0; index < ENGINES; index++) {
    await deployment.addUpstream(
      "engines",
      `e${index}`,
      () => ({ kind: "stream", to: 3 }),
      // The first engine that is asked is silent.
      { losesOrder: () => (silent ??= index) === index },
    );
  }
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, ENGINES));
  for (let prompt = 0; prompt < PROMPTS; prompt++) {
    const { status } = await deployment.send({
      path: "/ask/2f",
      headers: { "X-Token-Counts": "150000,50" },
      body: "a prompt",
    });
    t.is(status, 200);
  }
});
