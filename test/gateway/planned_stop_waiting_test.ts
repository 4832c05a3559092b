import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  API_KEY,
  type CallerRequest,
  HOST,
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import {
  formatRefusal,
  type ReceivedRequest,
  type ScriptedUpstreamOptions,
  type UpstreamAction,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Requests that have no upstream yet when a planned stop begins. Their
/// deadline is after the grace period.

const STOP_SECONDS = 3;
const TIMEOUT_MILLISECONDS = 15_000;

const wait = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

interface Fleet {
  readonly stopSeconds?: number;
  readonly upstreams?: number;
  readonly act?: (request: ReceivedRequest, number: number) => UpstreamAction;
  readonly options?: Partial<ScriptedUpstreamOptions>;
}

/// Starts a gateway and upstreams, of which `act` gets the number of the request.
async function deploy(t: ExecutionContext, fleet: Fleet) {
  const { stopSeconds = STOP_SECONDS, act, upstreams = 1 } = fleet;
  const sample = sampleConfiguration(1);
  const routes = sample.Routes.map((route) => ({
    ...route,
    TimeoutMs: TIMEOUT_MILLISECONDS,
    Resumable: false,
  }));
  const deployment = await startPlatformDeployment({
    stopSeconds,
    configuration: { ...sample, Routes: routes },
  });
  t.teardown(deployment.close);
  let received = 0;
  const started = [];
  for (const service of ["engines", "desk"]) {
    for (let index = 0; index < upstreams; index++) {
      const id = `${service}-${index}`;
      const upstream = await deployment.addUpstream(
        service,
        id,
        (request) => act?.(request, received++) ?? { kind: "silence" },
        fleet.options,
      );
      started.push(upstream);
    }
  }
  await until(() => isConnected(deployment, started.length));
  return { deployment, upstreams: started };
}

const refuseLate = (request: ReceivedRequest): UpstreamAction => ({
  kind: "raw",
  write: (socket) => {
    const id = String(request.headers["x-attempt-id"]);
    setTimeout(() => socket.write(formatRefusal(id)), 500);
  },
});

const headers = { "X-Deadline-Ms": String(TIMEOUT_MILLISECONDS) };
const stream = (tokens: string): CallerRequest => ({
  path: "/ask/1",
  headers: { ...headers, "X-Token-Counts": tokens },
});

const CASES: readonly (Fleet & {
  readonly name: string;
  readonly request: CallerRequest;
  /// Requests that are sent before it.
  readonly earlier: number;
  /// Requests that upstreams get.
  readonly received: number;
})[] = [
  {
    name: "a slot",
    request: stream("100,10"),
    earlier: 4,
    received: 4,
    act: () => ({ kind: "stream", to: 12, pauseMilliseconds: 50 }),
  },
  {
    name: "a retry",
    request: { path: "/once/1", body: "an order", headers },
    earlier: 0,
    received: 1,
    upstreams: 2,
    act: (request, number) =>
      number === 0 ? refuseLate(request) : { kind: "silence" },
  },
  {
    name: "a reservation",
    request: stream("150000,10"),
    earlier: 0,
    received: 0,
    upstreams: 3,
    options: { firstOrderDelayMilliseconds: 350 },
  },
];

for (const { name, request, earlier, received, ...fleet } of CASES) {
  test(`a request that waits for ${name} when the stop begins isn't sent`, async (t) => {
    const { deployment, upstreams } = await deploy(t, fleet);
    const running = Array.from(
      { length: earlier },
      () => deployment.send(request),
    );
    await wait(100);
    const sent = deployment.send(request);
    await wait(150);
    const startedAt = performance.now();
    const drained = deployment.gateways[0]!.drain();
    const { status, body } = await sent;
    t.is(status, 503, body);
    t.regex(body, /not run: this VM is stopping/);
    t.true(performance.now() - startedAt < 1_500);
    t.is(upstreams.flatMap(({ requests }) => requests).length, received);
    for (const { isWhole } of await Promise.all(running)) t.true(isWhole);
    const orders = upstreams.flatMap(({ orders }) => orders);
    const count = (operation: string) =>
      orders.filter(({ Operation }) => Operation === operation).length;
    await until(() => count("release") === count("reserve"));
    await drained;
  });
}

test("a request whose body doesn't end is answered while bytes still arrive", async (t) => {
  const { deployment } = await deploy(t, { stopSeconds: 1 });
  const { callers } = deployment.gateways[0]!.addresses;
  const [host, port] = callers.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {
    // The test sees the missing response.
  });
  let text = "";
  socket.on("data", (chunk) => void (text += chunk.toString("latin1")));
  const closed = new Promise((resolve) => socket.on("close", resolve));
  socket.write([
    "POST /once/1 HTTP/1.1",
    `Host: ${HOST}`,
    `Authorization: Token ${API_KEY}`,
    "X-Attempt-Id: a1",
    "Content-Length: 99999",
    "",
    "",
  ].join("\r\n"));
  const sender = setInterval(() => socket.write("x"), 1);
  t.teardown(() => clearInterval(sender));
  await wait(100);
  await deployment.gateways[0]!.drain();
  await closed;
  t.regex(text, /^HTTP\/1.1 503 .*not run: this VM is stopping/s);
});

test("the grace period begins with the signal, not with the end of the start", async (t) => {
  const { deployment } = await deploy(t, {});
  const sent = deployment.send({ path: "/once/1", headers });
  await wait(100);
  const now = performance.now();
  await deployment.gateways[0]!.drain(now - 2_000);
  t.true(performance.now() - now < 1_000);
  t.is((await sent).status, 504);
});
