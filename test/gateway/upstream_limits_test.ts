import test, { type ExecutionContext } from "ava";
import {
  type CallerRequest,
  type CallerResult,
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type {
  ReceivedRequest,
  ScriptedUpstream,
  UpstreamAction,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Upstreams that state how many requests a second they accept from all VMs.

const GATEWAYS = 3;
const WINDOW_MILLISECONDS = 4_000;
/// Time after the first response with a limit in which VMs learn of it.
const LEARNING_MILLISECONDS = 500;
const REQUEST_INTERVAL_MILLISECONDS = 25;

const SAFE = { path: "/look/1", method: "GET" };
const ONCE = { path: "/once/1", body: "an order" };
const STREAM = {
  path: "/ask/1",
  headers: { "X-Token-Counts": "1460,80", "X-Model": "m" },
  body: "a prompt",
};
const ANSWER: UpstreamAction = { kind: "answer", body: "done" };
const EVENTS: UpstreamAction = { kind: "stream", to: 3 };

/// Largest number of requests that an upstream may receive in a window.
const allowedInWindow = (limit: number) =>
  1.5 * limit * WINDOW_MILLISECONDS / 1_000 + 5;

/// Largest number of requests in a window, from `since` on.
function mostInWindow({ requests }: ScriptedUpstream, since: number): number {
  const times = requests.map(({ receivedAt }) => receivedAt)
    .filter((time) => time >= since);
  return Math.max(
    0,
    ...times.map((start) =>
      times.filter((time) =>
        time >= start && time < start + WINDOW_MILLISECONDS
      ).length
    ),
  );
}

interface UpstreamScript {
  readonly requestLimit?: () => number | undefined;
  readonly action:
    | UpstreamAction
    | ((request: ReceivedRequest) => UpstreamAction);
}

async function deploy(
  t: ExecutionContext,
  service: string,
  scripts: readonly UpstreamScript[],
) {
  const deployment = await startPlatformDeployment({ gateways: GATEWAYS });
  t.teardown(deployment.close);
  const upstreams = await Promise.all(
    scripts.map(({ requestLimit, action }, index) =>
      deployment.addUpstream(
        service,
        `u${index}`,
        typeof action === "function" ? action : () => action,
        { requestLimit },
      )
    ),
  );
  await until(() => isConnected(deployment, scripts.length));
  /// Sends requests to the gateways in turn.
  const sendFor = async (duration: number, request: CallerRequest) => {
    const results: Promise<CallerResult & { took: number }>[] = [];
    const endsAt = performance.now() + duration;
    while (performance.now() < endsAt) {
      const gateway = results.length % GATEWAYS;
      const sentAt = performance.now();
      results.push(
        deployment.send({ ...request, gateway }).then((result) => ({
          ...result,
          took: performance.now() - sentAt,
        })),
      );
      await new Promise((resolve) =>
        setTimeout(resolve, REQUEST_INTERVAL_MILLISECONDS)
      );
    }
    return await Promise.all(results);
  };
  return { upstreams, sendFor };
}

interface LimitCase {
  readonly title: string;
  readonly service: string;
  readonly request: CallerRequest;
  readonly limit: number;
  readonly limited: UpstreamAction;
  readonly other: UpstreamAction;
}

const LIMIT_CASES: readonly LimitCase[] = [
  {
    title: "safe calls",
    service: "desk",
    request: SAFE,
    limit: 1,
    limited: ANSWER,
    other: ANSWER,
  },
  {
    title: "calls that run at most once",
    service: "desk",
    request: ONCE,
    limit: 1.6,
    limited: ANSWER,
    other: ANSWER,
  },
  {
    title: "streams",
    service: "engines",
    request: STREAM,
    limit: 1,
    limited: EVENTS,
    other: EVENTS,
  },
  {
    title: "retries after failures of other upstreams",
    service: "desk",
    request: SAFE,
    limit: 2,
    limited: ANSWER,
    other: { kind: "answer", status: 500, body: "failed" },
  },
];

for (const { title, service, request, limit, ...actions } of LIMIT_CASES) {
  test(`an upstream that states a limit gets no more ${title} from all VMs together`, async (t) => {
    const { upstreams, sendFor } = await deploy(t, service, [
      { requestLimit: () => limit, action: actions.limited },
      { action: actions.other },
    ]);
    const [limited, other] = upstreams;
    await sendFor(6_000, request);
    const since = limited!.requests[0]!.receivedAt + LEARNING_MILLISECONDS;
    const most = mostInWindow(limited!, since);
    t.true(most <= allowedInWindow(limit), `${most} requests`);
    t.true(most >= 2, `${most} requests: its capacity is used`);
    t.true(other!.requests.length > 0);
  });
}

test("requests beyond the limits of all upstreams are refused at once", async (t) => {
  const { upstreams, sendFor } = await deploy(t, "desk", [
    { requestLimit: () => 2, action: ANSWER },
    { requestLimit: () => 2, action: ANSWER },
  ]);
  const results = await sendFor(6_000, SAFE);
  for (const upstream of upstreams) {
    const since = upstream.requests[0]!.receivedAt + LEARNING_MILLISECONDS;
    const most = mostInWindow(upstream, since);
    t.true(most <= allowedInWindow(2), `${most} requests`);
  }
  const refused = results.filter(({ status }) => status === 503);
  t.true(refused.length > results.length / 2, `${refused.length}`);
  t.true(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
  // The objective is 300 ms.
  const slow = refused.filter(({ took }) => took > 600);
  t.is(slow.length, 0);
  const served = results.filter(({ status }) => status === 200).length;
  t.is(served + refused.length, results.length);
  t.true(served >= 16, `${served} served: the limits allow about 24`);
});

test("streams that break off at engines with limits are resumed", async (t) => {
  const act = ({ headers }: ReceivedRequest): UpstreamAction =>
    headers["last-event-id"] === undefined
      ? { kind: "stream", to: 4, resetAfter: 2 }
      : { kind: "stream", from: 3, to: 4 };
  const { sendFor } = await deploy(t, "engines", [
    { requestLimit: () => 2, action: act },
    { requestLimit: () => 2, action: act },
  ]);
  const results = await sendFor(6_000, STREAM);
  const started = results.filter(({ status }) => status === 200);
  const broken = started.filter(({ isWhole }) => !isWhole);
  t.true(started.length >= 8, `${started.length} started`);
  t.is(broken.length, 0, `of ${started.length} streams`);
});

test("an upstream whose responses state no limit any more is used again", async (t) => {
  let limit: number | undefined = 1;
  const { upstreams, sendFor } = await deploy(t, "desk", [
    { requestLimit: () => limit, action: ANSWER },
  ]);
  await sendFor(1_000, SAFE);
  limit = undefined;
  await sendFor(3_000, SAFE);
  const before = upstreams[0]!.requests.length;
  const results = await sendFor(500, SAFE);
  t.true(results.every(({ status }) => status === 200));
  t.is(upstreams[0]!.requests.length, before + results.length);
});
