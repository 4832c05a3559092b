import test from "ava";
import {
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

const ENGINES = 3;
/// Since the first reservation.
const SILENT_FROM = 900;
const SILENT_UNTIL = 2_900;
/// Lifetime of a reservation.
const LIFETIME = 3_400;

test("memory of a prompt doesn't expire while an engine is silent for two seconds", async (t) => {
  const configuration = sampleConfiguration(1);
  for (const route of configuration.Routes) route.TimeoutMs = 8_000;
  const deployment = await startPlatformDeployment({ configuration });
  t.teardown(deployment.close);
  const renewals: number[][] = [];
  let since: number | undefined;
  for (let index = 0; index < ENGINES; index++) {
    const times: number[] = [];
    renewals.push(times);
    await deployment.addUpstream(
      "engines",
      `e${index}`,
      () => ({ kind: "stream", to: 25, pauseMilliseconds: 160 }),
      {
        losesOrder() {
          const now = performance.now();
          const time = now - (since ??= now);
          if (time >= SILENT_FROM && time <= SILENT_UNTIL) return true;
          times.push(time);
          return false;
        },
      },
    );
  }
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, ENGINES));
  const { isWhole } = await deployment.send({
    path: "/ask/2f",
    headers: { "X-Token-Counts": "150000,50", "X-Deadline-Ms": "8000" },
    body: "a prompt",
  });
  t.true(isWhole);
  const holders = renewals.filter((times) => times.length > 0);
  t.true(holders.length > 0);
  for (const [granted = 0, renewed = Infinity] of holders) {
    t.true(renewed - granted < LIFETIME, `${renewed - granted} ms`);
  }
});
