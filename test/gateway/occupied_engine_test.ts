import test from "ava";
import {
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Engines that prefill a long prompt of another request.

const CALLER_LEAVES_AFTER_MILLISECONDS = 4_000;
/// About 10 s at the rate below.
const LONG_PROMPT_TOKENS = 50_000;

const [ask] = sampleConfiguration(1).Routes;

/// Engines that read slowly, and a further route whose callers wait for long.
const slowEngines = sampleConfiguration(1, {
  Routes: [
    {
      ...ask,
      TimeoutMs: 15_000,
      GapAimMs: CALLER_LEAVES_AFTER_MILLISECONDS / 8,
    },
    {
      ...ask,
      Name: "patient",
      Prefix: "/patient/",
      TimeoutMs: 30_000,
      TargetLatencyMs: 5_000,
    },
  ],
  Services: sampleConfiguration(1).Services.map((service) =>
    "Engine" in service
      ? { ...service, Engine: { ...service.Engine, read_per_s: 5_000 } }
      : service
  ),
});

// Guards against a wait for the long prompt that ends after the caller has left.
test("a stream at an engine that is occupied for long is continued elsewhere before its caller leaves", async (t) => {
  const deployment = await startPlatformDeployment({
    configuration: slowEngines,
  });
  t.teardown(deployment.close);
  const engine = await deployment.addUpstream(
    "engines",
    "occupied",
    () => ({ kind: "silence" }),
  );
  await until(() => isConnected(deployment, 1));
  const send = (path: string, promptTokens: number) =>
    deployment.send({
      path,
      headers: {
        "X-Token-Counts": `${promptTokens},20`,
        "X-Deadline-Ms": "15000",
      },
      body: `a prompt of ${promptTokens}`,
      abortAfterMilliseconds: CALLER_LEAVES_AFTER_MILLISECONDS,
    });
  const short = send("/ask/2f", 100);
  await until(() => engine.requests.length === 1);
  const long = send("/patient/2f", LONG_PROMPT_TOKENS);
  await until(() => engine.requests.length === 2);
  await deployment.addUpstream(
    "engines",
    "free",
    () => ({ kind: "stream", to: 3 }),
  );
  const { status, isWhole } = await short;
  t.deepEqual([status, isWhole], [200, true]);
  await long;
});
