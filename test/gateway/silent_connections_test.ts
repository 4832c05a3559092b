import test, { type ExecutionContext } from "ava";
import {
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Connections to upstreams that fall silent for good, without a reset, while new
/// ones work.

/// Time after which the silence is no longer a disruption.
const CALM_MILLISECONDS = 3_100;
/// More than a gateway keeps connections for.
const SENT_TOGETHER = 12;
const UPSTREAMS_PER_SERVICE = 2;
const DEADLINE = { "X-Deadline-Ms": "2500" };

const REQUESTS = {
  stream: { path: "/ask/1", headers: { ...DEADLINE, "X-Token-Counts": "9,9" } },
  call: { path: "/look/1", headers: DEADLINE },
};

interface Options {
  readonly maxAttempts?: number;
  readonly isResumable?: boolean;
  readonly retryAllowance?: number;
}

/// Sends requests of a kind together, and again `delay` after all connections
/// that are open then have fallen silent. Returns their last statuses; undefined
/// for an incomplete response.
async function sendAroundSilence(
  t: ExecutionContext,
  kind: keyof typeof REQUESTS,
  { delay, count, ...options }: Options & { delay: number; count: number },
) {
  const { maxAttempts = 2, isResumable = true, retryAllowance } = options;
  const configuration = sampleConfiguration(1);
  for (const route of configuration.Routes) {
    Object.assign(route, { MaxAttempts: maxAttempts, Resumable: isResumable });
  }
  const deployment = await startPlatformDeployment({
    configuration,
    retryAllowance,
  });
  t.teardown(deployment.close);
  const service = kind === "stream" ? "engines" : "desk";
  for (let index = 0; index < UPSTREAMS_PER_SERVICE; index++) {
    await deployment.addUpstream(
      service,
      `u${index}`,
      () =>
        kind === "stream"
          ? { kind: "stream", to: 3, pauseMilliseconds: 30 }
          : { kind: "answer", body: "done", workMilliseconds: 100 },
    );
  }
  await until(() => isConnected(deployment, UPSTREAMS_PER_SERVICE));
  const send = async (count: number) => {
    const results = await Promise.all(
      Array.from({ length: count }, () => deployment.send(REQUESTS[kind])),
    );
    return results.map(({ status, isWhole }) => isWhole ? status : undefined);
  };
  await send(SENT_TOGETHER);
  const [network] = deployment.upstreamNetworks;
  network!.partition("silent");
  network!.heal();
  await new Promise((resolve) => setTimeout(resolve, delay));
  return await send(count);
}

const CASES: readonly (readonly [string, Options])[] = [
  ["with retries left", {}],
  ["without retries left", { retryAllowance: 0 }],
  ["that runs only once", { maxAttempts: 1, isResumable: false }],
];

for (const kind of ["stream", "call"] as const) {
  for (const [title, options] of CASES) {
    test(`a ${kind} ${title} isn't sent on a connection that fell silent long before`, async (t) => {
      const statuses = await sendAroundSilence(t, kind, {
        ...options,
        delay: CALM_MILLISECONDS,
        count: SENT_TOGETHER,
      });
      t.deepEqual([...new Set(statuses)], [200]);
    });
  }

  test(`a ${kind} that a kept connection has lost isn't repeated on another one`, async (t) => {
    const statuses = await sendAroundSilence(t, kind, { delay: 0, count: 2 });
    t.deepEqual(statuses, [200, 200]);
  });
}

test("a stream that may not be resumed isn't sent on a connection that was idle", async (t) => {
  const options = { isResumable: false, delay: 400, count: 1 };
  t.deepEqual(await sendAroundSilence(t, "stream", options), [200]);
});
