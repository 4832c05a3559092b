import {
  type CallerConnection,
  formatPatientRequest,
  openCallerConnection,
} from "./caller_connection.ts";
import {
  isConnected,
  type PlatformDeployment,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "./platform_deployment.ts";
import type {
  ReceivedRequest,
  ScriptedUpstream,
  UpstreamAction,
} from "./scripted_upstream.ts";

/// A deployment with one request in each phase of its life. Upstreams hold their
/// responses until they are released.

export const GATEWAYS = 3;
const ENGINE_SLOTS = 4;
/// Requests that an upstream allows, and more than that which are sent.
const LIMIT_PER_SECOND = 2;
const LIMITED_REQUESTS = 3;
/// More than the buffers of a connection hold.
const LONG_EVENT = `data: ${"x".repeat(65_000)}\n\n`;
const LONG_EVENTS = 120;
/// Targets of the requests that get a particular response.
const LONG = "/flow/long";
const UNFRAMED = "/flow/unframed";
const ANSWERED = "/limited/0";

/// A request, or several on the same connection, in one phase.
export interface PhasedRequest {
  readonly title: string;
  readonly connection: CallerConnection;
  /// Number of its requests.
  readonly count: number;
  /// Whether the caller has sent its head in full.
  readonly hasHead: boolean;
  /// Whether an upstream runs it.
  readonly isRunning: boolean;
  /// What the caller does once the responses are released.
  readonly finish: () => void;
}

export interface PhasedDeployment {
  readonly deployment: PlatformDeployment;
  readonly upstreams: readonly ScriptedUpstream[];
  readonly requests: readonly PhasedRequest[];
  /// Lets the upstreams respond and the callers go on.
  release(): void;
}

export interface PhasedDeploymentOptions {
  /// Whether the gateway reaches upstreams only through another VM.
  readonly isTunnelled: boolean;
}

/// The configuration of the deployment, with changes.
export function buildConfiguration(version: number, overrides: object = {}) {
  const { Routes, Services, ...rest } = sampleConfiguration(version);
  const [stream, , safe] = Routes;
  const timed = [
    ...Routes,
    { ...stream, Name: "large", Prefix: "/large/", Service: "readers" },
    { ...safe, Name: "limited", Prefix: "/limited/", Service: "limited" },
    {
      ...stream,
      Name: "flow",
      Prefix: "/flow/",
      Service: "flows",
      Resumable: false,
    },
  ].map((route) => ({
    ...route,
    TimeoutMs: 20_000,
    TargetLatencyMs: 5_000,
  }));
  return {
    ...rest,
    Routes: timed,
    Services: [
      ...Services,
      { ...Services[0], Name: "readers" },
      { Name: "limited", MaxConnections: 100 },
      { Name: "flows", MaxConnections: 100 },
    ],
    ...overrides,
  };
}

/// A text as an HTTP chunk.
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const STREAM = "Content-Type: text/event-stream\r\nConnection: close";
const CHUNKED_STREAM = `${STREAM}\r\nTransfer-Encoding: chunked`;
const CALL = "Content-Length: 4\r\nConnection: close";

/// How the upstreams respond: `first` at once, and the rest when released. Without
/// `first`, the head is held too.
function createActs(released: Promise<void>) {
  const hold = (
    fields: string,
    { first = "", rest }: { first?: string; rest: string },
  ): UpstreamAction => ({
    kind: "raw",
    write(socket, head) {
      const start = `${head(fields.split("\r\n"))}\r\n${first}`;
      if (first) socket.write(start);
      void released.then(() => socket.end(first ? rest : start + rest));
    },
  });
  const call = () => hold(CALL, { rest: "done" });
  return {
    call,
    engine: () =>
      hold(CHUNKED_STREAM, {
        first: chunk("data: one\n\n"),
        rest: "0\r\n\r\n",
      }),
    limited: ({ target }: ReceivedRequest): UpstreamAction =>
      target === ANSWERED ? { kind: "answer", body: "done" } : call(),
    flow({ target }: ReceivedRequest): UpstreamAction {
      if (target === LONG) {
        const formatEvent = () => LONG_EVENT;
        return { kind: "stream", to: LONG_EVENTS, formatEvent };
      }
      const [first, rest] = ["data: one\n\ndata: t", "wo\n\n"];
      return target === UNFRAMED ? hold(STREAM, { first, rest }) : hold(
        CHUNKED_STREAM,
        { first: chunk(first), rest: `${chunk(rest)}0\r\n\r\n` },
      );
    },
  };
}

async function addUpstreams(
  { addUpstream }: PlatformDeployment,
  acts: ReturnType<typeof createActs>,
) {
  const [desk, engine, flow, limited] = [
    await addUpstream("desk", "d1", acts.call),
    await addUpstream("engines", "e1", acts.engine),
    await addUpstream("flows", "f1", acts.flow),
    await addUpstream("limited", "l1", acts.limited, {
      requestLimit: () => LIMIT_PER_SECOND,
    }),
  ];
  const readers: ScriptedUpstream[] = [];
  for (const id of ["r1", "r2", "r3"]) {
    const options = { firstOrderDelayMilliseconds: 900 };
    readers.push(await addUpstream("readers", id, acts.engine, options));
  }
  const all = [desk, engine, flow, limited, ...readers];
  return { engine, flow, readers, all };
}

type Begin = (
  title: string,
  sent: string,
  options?: {
    /// What the caller sends later.
    readonly unsent?: string;
    readonly count?: number;
    readonly readsLate?: boolean;
  },
) => CallerConnection;

/// Brings requests into the phases that need no other requests.
function beginAlone(begin: Begin) {
  const split = (title: string, text: string, at: number) =>
    begin(title, text.slice(0, at), { unsent: text.slice(at) });
  split("head partly sent", formatPatientRequest("/once/1"), 60);
  split("body partly sent", formatPatientRequest("/once/2"), -3);
  const chunked = formatPatientRequest("/once/3", { body: "" })
    .replace("Content-Length: 0", "Transfer-Encoding: chunked");
  begin("body partly sent in chunks", `${chunked}5\r\nan or`, {
    unsent: "\r\n3\r\nder\r\n0\r\n\r\n",
  });
  const next = formatPatientRequest("/look/4");
  begin("pipelined", formatPatientRequest("/once/4") + next, { count: 2 });
  begin("running a call", formatPatientRequest("/once/5"));
  begin("within a chunked stream", formatPatientRequest("/flow/chunked"));
  begin("within a stream without a length", formatPatientRequest(UNFRAMED));
  begin("paused stream", formatPatientRequest(LONG), { readsLate: true });
}

/// Brings requests into the phases in which they wait for others or for memory.
async function beginWaiting(
  begin: Begin,
  { engine, readers }: Awaited<ReturnType<typeof addUpstreams>>,
) {
  const prompt = (path: string, tokens: number) =>
    formatPatientRequest(path, { lines: [`X-Token-Counts: ${tokens},10`] });
  for (let index = 0; index < ENGINE_SLOTS; index++) {
    begin("running at an engine", prompt("/ask/1", 100));
  }
  // Its answer states the limit.
  const answered = begin("answered before", formatPatientRequest(ANSWERED));
  await until(() => answered.statuses().length === 1);
  for (let index = 0; index < LIMITED_REQUESTS; index++) {
    begin("at a limit", formatPatientRequest("/limited/1"));
  }
  await until(() => engine.requests.length === ENGINE_SLOTS);
  begin("waiting for a slot", prompt("/ask/2", 100));
  begin("waiting for memory", prompt("/large/1", 150_000));
  await until(() => readers.some(({ orders }) => orders.length > 0));
}

/// Starts a deployment and brings one request into each phase.
export async function startPhasedDeployment(
  t: { teardown(close: () => void): void },
  { isTunnelled }: PhasedDeploymentOptions,
): Promise<PhasedDeployment> {
  const deployment = await startPlatformDeployment({
    gateways: GATEWAYS,
    configuration: buildConfiguration(1),
  });
  t.teardown(deployment.close);
  let release = () => {};
  const released = new Promise<void>((resolve) => void (release = resolve));
  const upstreams = await addUpstreams(deployment, createActs(released));
  await until(() => isConnected(deployment, upstreams.all.length));
  await until(() => deployment.isReady());
  if (isTunnelled) deployment.upstreamNetworks[0]!.partition("refuse");

  const requests: PhasedRequest[] = [];
  const begin: Begin = (title, sent, options = {}) => {
    const { unsent = "", count = 1, readsLate = false } = options;
    const { callers } = deployment.gateways[0]!.addresses;
    const connection = openCallerConnection(callers);
    const { socket } = connection;
    t.teardown(() => socket.destroy());
    if (readsLate) socket.pause();
    connection.send(sent);
    requests.push({
      title,
      connection,
      count,
      hasHead: sent.includes("\r\n\r\n"),
      isRunning: /^(running|within|paused)/.test(title),
      finish() {
        socket.resume();
        if (unsent) connection.send(unsent);
      },
    });
    return connection;
  };
  beginAlone(begin);
  await beginWaiting(begin, upstreams);
  await until(() => upstreams.flow.requests.length === 3);

  return {
    deployment,
    upstreams: upstreams.all,
    requests,
    release() {
      release();
      for (const { finish } of requests) finish();
    },
  };
}
