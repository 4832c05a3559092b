import test, { type ExecutionContext } from "ava";
import {
  type CallerRequest,
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";
import { unframedFields } from "../../stand_ins/platform/unframed_fields.ts";

/// Responses without a length whose upstreams accept no connection at their end.

const headers = { "X-Deadline-Ms": "10000", "X-Token-Counts": "1460,80" };
const STREAM: CallerRequest = { path: "/ask/2f", headers };
const SAFE: CallerRequest = { path: "/look/2f", method: "GET", headers };
const ONCE: CallerRequest = { path: "/once/2f", body: "an order", headers };

/// Shorter than the gap after which callers leave a stream.
const SILENCE_MILLISECONDS = 1_300;
const EVENTS = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const wholeOf = (request: CallerRequest) =>
  request === STREAM ? EVENTS : "a whole response";

/// Deploys upstreams of which the first to get the request responds without a
/// length and gets no new connections from then on; the others respond as `act`
/// says. `heal` ends that.
async function deploy(
  t: ExecutionContext,
  request: CallerRequest,
  { gateways = 1, retryAllowance = 0, upstreams = 1, heals = false, act }: {
    gateways?: number;
    retryAllowance?: number;
    upstreams?: number;
    heals?: boolean;
    act?: () => UpstreamAction;
  },
) {
  const { Routes, ...rest } = sampleConfiguration(1);
  const deployment = await startPlatformDeployment({
    configuration: {
      ...rest,
      Routes: Routes.map((route) => ({ ...route, TimeoutMs: 10_000 })),
    },
    gateways,
    retryAllowance,
  });
  t.teardown(deployment.close);
  const networks = deployment.upstreamNetworks;
  let runs = 0;
  for (let index = 0; index < upstreams; index++) {
    const upstream = await deployment.addUpstream(
      request === STREAM ? "engines" : "desk",
      `u${index}`,
      () => {
        runs += 1;
        if (runs > 1 && act) return act();
        return {
          kind: "raw",
          write(socket, head) {
            const fields = unframedFields(request === STREAM);
            socket.write(`${head(fields)}\r\n${wholeOf(request)}`);
            for (const { partition } of networks) {
              partition("hang", upstream.address);
            }
            if (heals) {
              setTimeout(() => {
                for (const { heal } of networks) heal();
              }, SILENCE_MILLISECONDS);
            }
            socket.end();
          },
        };
      },
    );
  }
  await until(() => isConnected(deployment, upstreams));
  return { deployment, runs: () => runs };
}

// Guards against whole responses that are dropped since their upstream is silent.
for (const request of [STREAM, SAFE, ONCE]) {
  for (const gateways of [1, 2]) {
    test(`a response to ${request.path} that ends with a close is whole although ${gateways} VMs can't reach its upstream for a second`, async (t) => {
      const { deployment, runs } = await deploy(t, request, {
        gateways,
        heals: true,
      });
      const { status, body, isWhole } = await deployment.send(request);
      t.deepEqual([status, body, isWhole], [200, wholeOf(request), true]);
      t.is(runs(), 1);
    });
  }
}

for (const request of [STREAM, SAFE]) {
  test(`a response to ${request.path} that ends with a close is replaced if its upstream stays silent`, async (t) => {
    const { deployment, runs } = await deploy(t, request, {
      retryAllowance: 100,
      upstreams: 2,
      act: () =>
        request === STREAM
          ? { kind: "stream", from: 3, to: 2 }
          : { kind: "answer", body: wholeOf(request) },
    });
    const { status, body, isWhole } = await deployment.send(request);
    t.deepEqual([status, body, isWhole], [200, wholeOf(request), true]);
    t.is(runs(), 2);
  });
}

test("an at-most-once response that ends with a close isn't taken for whole if its upstream stays silent", async (t) => {
  const { deployment, runs } = await deploy(t, ONCE, { upstreams: 2 });
  const { status } = await deployment.send({
    ...ONCE,
    headers: { "X-Deadline-Ms": "2500" },
  });
  t.true(status === 502 || status === 504, `${status}`);
  t.is(runs(), 1);
});
