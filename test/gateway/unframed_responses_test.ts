import test, { type ExecutionContext } from "ava";
import {
  type CallerRequest,
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";
import { unframedFields } from "../../stand_ins/platform/unframed_fields.ts";

/// Responses without a length, which end when their connection closes.

const STREAM: CallerRequest = {
  path: "/ask/2f",
  headers: { "X-Token-Counts": "1460,80" },
  body: "a prompt",
};
const SAFE: CallerRequest = { path: "/look/2f", method: "GET" };
const ONCE: CallerRequest = { path: "/once/2f", body: "an order" };

const EVENTS = 4;
const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;
const events = (from: number, to: number) =>
  Array.from({ length: to - from + 1 }, (_, index) => event(from + index))
    .join("");

/// A response without a length whose connection ends as soon as it is written.
const respond = (
  request: CallerRequest,
  { text, isReset }: { text: string; isReset: boolean },
): UpstreamAction => ({
  kind: "raw",
  write(socket, head) {
    const fields = unframedFields(request === STREAM);
    socket.write(`${head(fields)}\r\n${text}`);
    if (isReset) socket.resetAndDestroy();
    else socket.end();
  },
});

async function deploy(
  t: ExecutionContext,
  request: CallerRequest,
  act: (count: number, lastId: number) => UpstreamAction,
) {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  let count = 0;
  const service = request === STREAM ? "engines" : "desk";
  for (const id of ["u1", "u2"]) {
    await deployment.addUpstream(service, id, ({ headers }) => {
      count += 1;
      return act(count, Number(headers["last-event-id"] ?? 0));
    });
  }
  await until(() => isConnected(deployment, 2));
  return { deployment, runs: () => count };
}

const wholeOf = (request: CallerRequest) =>
  request === STREAM ? events(1, EVENTS) : "a whole response";

// Guards against a reset that arrives with the last bytes and counts as the end.
for (const request of [STREAM, SAFE]) {
  test(`a response to ${request.path} without a length that is reset with its last bytes is replaced`, async (t) => {
    const { deployment, runs } = await deploy(t, request, (count, lastId) => {
      if (request !== STREAM) {
        return count === 1
          ? respond(request, { text: "a whole", isReset: true })
          : { kind: "answer", body: wholeOf(request) };
      }
      return count === 1
        ? respond(request, { text: events(1, 2), isReset: true })
        : { kind: "stream", from: lastId + 1, to: EVENTS };
    });
    const { status, body, isWhole } = await deployment.send(request);
    t.deepEqual([status, body, isWhole], [200, wholeOf(request), true]);
    t.is(runs(), 2);
  });
}

test("an at-most-once response without a length that is reset with its last bytes fails", async (t) => {
  const { deployment, runs } = await deploy(
    t,
    ONCE,
    () => respond(ONCE, { text: "a whole", isReset: true }),
  );
  const { status } = await deployment.send(ONCE);
  t.true(status === 502 || status === 504, `${status}`);
  t.is(runs(), 1);
});

for (const request of [STREAM, SAFE, ONCE]) {
  test(`a response to ${request.path} without a length that ends with a close is whole`, async (t) => {
    const text = wholeOf(request);
    const { deployment, runs } = await deploy(
      t,
      request,
      () => respond(request, { text, isReset: false }),
    );
    const { status, body, isWhole } = await deployment.send(request);
    t.deepEqual([status, body, isWhole], [200, text, true]);
    t.is(runs(), 1);
  });
}

// Guards against a response to HEAD that counts as cut since it has no length.
for (const path of [SAFE.path, ONCE.path, STREAM.path]) {
  test(`a response to HEAD ${path} without a length is forwarded`, async (t) => {
    const request = { ...STREAM, path, method: "HEAD" };
    const { deployment, runs } = await deploy(
      t,
      path === STREAM.path ? STREAM : request,
      () => ({
        kind: "raw",
        write: (socket, head) => void socket.write(`${head()}\r\n`),
      }),
    );
    const { status, isWhole } = await deployment.send(request);
    t.deepEqual([status, isWhole], [200, true]);
    t.is(runs(), 1);
  });
}

/// Starts a response without a length through another VM. `end` ends it.
async function respondThroughVm(t: ExecutionContext, request: CallerRequest) {
  const deployment = await startPlatformDeployment({ gateways: 2 });
  t.teardown(deployment.close);
  let end = () => {};
  const service = request === STREAM ? "engines" : "desk";
  const upstream = await deployment.addUpstream(service, "u1", () => ({
    kind: "raw",
    write(socket, head) {
      const fields = unframedFields(request === STREAM);
      socket.write(`${head(fields)}\r\n`);
      end = () => void socket.end(wholeOf(request));
    },
  }));
  await until(() => isConnected(deployment, 1));
  deployment.upstreamNetworks[0]!.partition("refuse");
  const answer = deployment.send(request);
  await until(() => upstream.requests.length === 1);
  return { deployment, answer, end: () => end() };
}

for (const request of [STREAM, SAFE, ONCE]) {
  test(`a response to ${request.path} without a length is whole although no VM can tell at once whether its upstream is there`, async (t) => {
    const { deployment, answer, end } = await respondThroughVm(t, request);
    // It opens no connection for others any more.
    void deployment.gateways[1]!.drain();
    end();
    await new Promise((resolve) => setTimeout(resolve, 500));
    deployment.upstreamNetworks[0]!.heal();
    const { status, body, isWhole } = await answer;
    t.deepEqual([status, body, isWhole], [200, wholeOf(request), true]);
  });

  test(`a response to ${request.path} without a length is whole although the entry of its upstream was removed`, async (t) => {
    const { deployment, answer, end } = await respondThroughVm(t, request);
    deployment.store.remove("servers/u1");
    await until(() => isConnected(deployment, 0));
    end();
    const { status, body, isWhole } = await answer;
    t.deepEqual([status, body, isWhole], [200, wholeOf(request), true]);
  });
}
