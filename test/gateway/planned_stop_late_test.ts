import test, { type ExecutionContext } from "ava";
import {
  type CallerRequest,
  type CallerResult,
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ReceivedRequest } from "../../stand_ins/platform/scripted_upstream.ts";

/// Requests that arrive shortly before and during a planned stop, with grace
/// periods of all lengths. The last part of a request's path is the time that
/// it runs at its upstream, in milliseconds.

const EVENT_GAP_MILLISECONDS = 50;
const STEP_MILLISECONDS = 10;
/// More than run at the same time, so that no request waits.
const SLOTS = 400;
const ROUTE_TIMEOUT_MILLISECONDS = 20_000;
/// Requests start before the stop, and one of each kind is sent at each interval.
const LEAD_MILLISECONDS = 500;
const INTERVAL_MILLISECONDS = 250;
/// Time after which a second signal and a new configuration arrive.
const CHANGE_MILLISECONDS = 200;

const wait = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const timeOf = ({ target }: ReceivedRequest) =>
  Number(target.split("/").at(-1));

const configuration = () => {
  const sample = sampleConfiguration(1);
  const routes = sample.Routes.map((route) => ({
    ...route,
    TimeoutMs: ROUTE_TIMEOUT_MILLISECONDS,
  }));
  const [engines, desk] = sample.Services;
  const profile = {
    ...engines!.Engine!,
    step_ms: STEP_MILLISECONDS,
    Slots: SLOTS,
  };
  const plain = {
    ...routes[0]!,
    Name: "say",
    Prefix: "/say/",
    Resumable: false,
  };
  return {
    ...sample,
    Routes: [...routes, plain],
    Services: [
      { ...engines, Engine: profile, MaxConnections: 2 * SLOTS },
      { ...desk, MaxConnections: 2 * SLOTS },
    ],
  };
};

const KINDS: readonly Omit<CallerRequest, "gateway">[] = [1_000, 15_000]
  .flatMap((deadline) => {
    const timeout = { "X-Deadline-Ms": String(deadline) };
    return [50, 700, 30_000].flatMap((work) => {
      const tokens = `100,${work / STEP_MILLISECONDS}`;
      const stream = { "X-Token-Counts": tokens, "X-Model": "m" };
      return [
        { path: `/look/${work}`, method: "GET", headers: timeout },
        { path: `/once/${work}`, body: "an order", headers: timeout },
        { path: `/once/${work}`, headers: timeout },
        { path: `/ask/${work}`, headers: { ...stream, ...timeout } },
        { path: `/say/${work}`, headers: { ...stream, ...timeout } },
      ];
    });
  });

interface SentRequest {
  readonly request: CallerRequest;
  readonly result: CallerResult;
  /// Relative to the stop signal.
  readonly sentAt: number;
  readonly endedAt: number;
  /// What upstreams received of it.
  readonly runs: readonly ReceivedRequest[];
}

async function deploy(t: ExecutionContext, stopSeconds: number) {
  const deployment = await startPlatformDeployment({
    stopSeconds,
    configuration: configuration(),
  });
  t.teardown(deployment.close);
  const desk = await deployment.addUpstream(
    "desk",
    "d1",
    (request) => ({
      kind: "answer",
      body: "done",
      workMilliseconds: timeOf(request),
    }),
  );
  const engines = await deployment.addUpstream(
    "engines",
    "e1",
    (request) => ({
      kind: "stream",
      to: Math.ceil(timeOf(request) / EVENT_GAP_MILLISECONDS),
      pauseMilliseconds: EVENT_GAP_MILLISECONDS,
    }),
  );
  for (
    const [service, upstream] of [["desk", desk], ["engines", engines]] as const
  ) {
    const entry = { ...upstream.entry(service, "ready", 2), Slots: SLOTS };
    deployment.store.put(`servers/${upstream.id}`, entry);
  }
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, 2));
  return { deployment, upstreams: [desk, engines] };
}

/// Stops a gateway while callers send requests of each kind, and returns all
/// requests.
async function stopUnderLoad(t: ExecutionContext, stopSeconds: number) {
  const { deployment, upstreams } = await deploy(t, stopSeconds);
  const stopAt = performance.now() + LEAD_MILLISECONDS;
  let isStopped = false;
  let nextId = 0;
  const sent: Promise<SentRequest>[] = [];
  const sendOne = async (kind: CallerRequest): Promise<SentRequest> => {
    const id = `late-${nextId++}`;
    const sentAt = performance.now() - stopAt;
    const headers = { ...kind.headers, "X-Attempt-Id": id };
    const result = await deployment.send({ ...kind, headers });
    const endedAt = performance.now() - stopAt;
    const runs = upstreams.flatMap(({ requests }) =>
      requests.filter(({ headers }) => headers["x-attempt-id"] === id)
    );
    return { request: kind, result, sentAt, endedAt, runs };
  };
  const load = (async () => {
    while (!isStopped) {
      sent.push(...KINDS.map(sendOne));
      await wait(INTERVAL_MILLISECONDS);
    }
  })();
  await wait(stopAt - performance.now());
  const drained = deployment.gateways[0]!.drain();
  await wait(CHANGE_MILLISECONDS);
  void deployment.gateways[0]!.drain();
  deployment.store.put("op/config", { ...configuration(), Version: 2 });
  await drained;
  isStopped = true;
  await load;
  return await Promise.all(sent);
}

const describe = ({ request, result, sentAt, endedAt }: SentRequest) => {
  const deadline = request.headers?.["X-Deadline-Ms"];
  const times = `sent at ${Math.round(sentAt)}, ended at ${
    Math.round(endedAt)
  }`;
  return `${request.path} within ${deadline}: ${result.status}, ${times}, ${
    result.body.slice(0, 80)
  }`;
};

for (const stopSeconds of [1, 2, 3, 4, 8]) {
  test.serial(`no request is cut at the end of a grace period of ${stopSeconds} s`, async (t) => {
    const requests = await stopUnderLoad(t, stopSeconds);
    const grace = stopSeconds * 1_000;
    const list = (requests: readonly SentRequest[]) => requests.map(describe);
    const late = requests.filter(({ sentAt }) => sentAt > 0);

    const isCut = ({ result, runs }: SentRequest) =>
      result.status === undefined && runs.length > 0;
    t.deepEqual(list(requests.filter(isCut)), [], "no answer");
    const isUntrue = ({ result, runs }: SentRequest) =>
      result.status === 503 && runs.some(({ wasExecuted }) => wasExecuted);
    t.deepEqual(list(requests.filter(isUntrue)), [], "503 after a run");
    const seemsWhole = ({ request, result }: SentRequest) =>
      result.status === 200 && result.isWhole &&
      request.path.endsWith("/30000");
    t.deepEqual(list(requests.filter(seemsWhole)), [], "seems complete");
    const isBroken = ({ request, result, sentAt, endedAt }: SentRequest) =>
      result.status === 200 && !result.isWhole &&
      endedAt - sentAt < Number(request.headers?.["X-Deadline-Ms"]);
    t.deepEqual(list(late.filter(isBroken)), [], "broken streams");
    const isTooLong = ({ runs, sentAt }: SentRequest) =>
      runs.some(({ headers }) =>
        Number(headers["x-deadline-ms"]) > grace - sentAt
      );
    t.deepEqual(list(late.filter(isTooLong)), [], "deadline after the grace");
    const isWrong = ({ request, result }: SentRequest) =>
      /^.(once|say)/.test(request.path) && result.status! > 503;
    const neverInTime = late.filter(({ request }) =>
      Number(request.headers?.["X-Deadline-Ms"]) > grace
    );
    t.deepEqual(list(neverInTime.filter(isWrong)), [], "run for nothing");
    const isKept = ({ request, sentAt }: SentRequest) =>
      stopSeconds >= 4 && request.path === "/look/50" && sentAt < grace / 4;
    const isRefused = ({ result }: SentRequest) => result.status !== 200;
    const kept = requests.filter(isKept);
    t.deepEqual(list(kept.filter(isRefused)), [], "not served");
    const isUndated = ({ result }: SentRequest) =>
      result.status === 503 && result.headers["retry-after"] === undefined;
    t.deepEqual(list(requests.filter(isUndated)), [], "no Retry-After");
  });
}
