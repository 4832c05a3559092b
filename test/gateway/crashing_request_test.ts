import test, { type ExecutionContext } from "ava";
import {
  type CallerRequest,
  countRecordedCrashes,
  isConnected,
  type PlatformDeployment,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";

/// Requests that crash the upstreams that run them, at several gateways.

const GATEWAYS = 3;
const UPSTREAMS = 8;
const SAFE = { path: "/look/crash", method: "GET" };
const ONCE = { path: "/once/crash", body: "an order" };
const STREAM = {
  path: "/ask/crash",
  headers: { "X-Token-Counts": "1460,80", "X-Model": "m" },
  body: "a prompt",
};

/// Starts linked gateways with upstreams that run `action` for requests to
/// paths that end with `/crash`, and serve all others.
async function deploy(
  t: ExecutionContext,
  service: string,
  action: UpstreamAction,
) {
  const deployment = await startPlatformDeployment({ gateways: GATEWAYS });
  t.teardown(deployment.close);
  const upstreams = await Promise.all(
    Array.from({ length: UPSTREAMS }, (_, index) =>
      deployment.addUpstream(
        service,
        `u${index}`,
        ({ target }) =>
          target.endsWith("/crash")
            ? action
            : service === "engines"
            ? { kind: "stream", to: 3 }
            : { kind: "answer", body: "done" },
      )),
  );
  await until(() => isConnected(deployment, UPSTREAMS));
  const executions = () =>
    upstreams.reduce(
      (total, { requests }) =>
        total +
        requests.filter(({ target, wasExecuted }) =>
          wasExecuted && target.endsWith("/crash")
        ).length,
      0,
    );
  /// Removes the entries of crashed upstreams, as the end of their lease does.
  const removeCrashed = async () => {
    const crashed = upstreams.filter(({ requests }) => requests.length > 0);
    for (const { id } of crashed) deployment.store.remove(`servers/${id}`);
    await until(() => isConnected(deployment, UPSTREAMS - crashed.length));
  };
  return { deployment, upstreams, executions, removeCrashed };
}

/// Sends a request to the gateways in turn, and waits after each until
/// `isSettled` holds.
async function sendInTurn(
  deployment: PlatformDeployment,
  { request, times, isSettled }: {
    request: CallerRequest;
    times: number;
    isSettled: () => Promise<boolean>;
  },
) {
  const results = [];
  for (let count = 0; count < times; count++) {
    const gateway = count % GATEWAYS;
    results.push(await deployment.send({ ...request, gateway }));
    await until(isSettled);
  }
  return results;
}

interface CrashCase {
  readonly title: string;
  readonly service: string;
  readonly request: CallerRequest;
  readonly action: UpstreamAction;
}

const CRASH_CASES: readonly CrashCase[] = [
  {
    title: "a safe request that crashes services without a response",
    service: "desk",
    request: SAFE,
    action: { kind: "crash" },
  },
  {
    title: "an at-most-once request that crashes services without a response",
    service: "desk",
    request: ONCE,
    action: { kind: "crash" },
  },
  {
    title: "a stream that crashes engines before its first event",
    service: "engines",
    request: STREAM,
    action: { kind: "crash" },
  },
  {
    title: "a stream that crashes engines after an event",
    service: "engines",
    request: STREAM,
    action: { kind: "stream", to: 9, crashAfter: 1 },
  },
];

for (const { title, service, request, action } of CRASH_CASES) {
  test(`${title} is refused by all VMs after three crashes`, async (t) => {
    const { deployment, executions, removeCrashed } = await deploy(
      t,
      service,
      action,
    );
    const results = await sendInTurn(deployment, {
      request,
      times: 8,
      isSettled: async () =>
        (await countRecordedCrashes(deployment))
          .every((count) => count === executions()),
    });
    t.is(executions(), 3);
    t.is(results.at(-1)!.status, 503);
    t.true(Number(results.at(-1)!.headers["retry-after"]) > 20);
    await removeCrashed();
    const path = request.path.replace("crash", "sound");
    const sound = await deployment.send({ ...request, path });
    t.is(sound.status, 200);
    t.true(sound.isWhole);
  });
}

test("a request whose responses are lost by running upstreams stays allowed", async (t) => {
  const { deployment, executions } = await deploy(t, "desk", { kind: "reset" });
  await sendInTurn(deployment, {
    request: ONCE,
    times: 5,
    isSettled: () => Promise.resolve(true),
  });
  t.is(executions(), 5);
});

test("equal requests on upstreams that crash at the same moment stay allowed", async (t) => {
  const { deployment, upstreams, removeCrashed } = await deploy(t, "desk", {
    kind: "silence",
  });
  const running = Array.from(
    { length: UPSTREAMS },
    (_, index) => deployment.send({ ...SAFE, gateway: index % GATEWAYS }),
  );
  const busy = () => upstreams.filter(({ requests }) => requests.length > 0);
  await until(() => busy().length >= 3);
  for (const upstream of busy()) upstream.close();
  await Promise.all(running);
  await removeCrashed();
  await deployment.addUpstream(
    "desk",
    "new",
    () => ({ kind: "answer", body: "done" }),
  );
  for (const { id } of upstreams) deployment.store.remove(`servers/${id}`);
  await until(() => isConnected(deployment, 1));
  for (let gateway = 0; gateway < GATEWAYS; gateway++) {
    t.is((await deployment.send({ ...SAFE, gateway })).status, 200);
  }
});
