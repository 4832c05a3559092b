import test from "ava";
import {
  type CallerRequest,
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Statuses by which callers take a request for one that hasn't run, from an
/// upstream that doesn't say so.

const REQUESTS: readonly CallerRequest[] = [
  { path: "/once/2f", body: "an order" },
  { path: "/ask/2f", headers: { "X-Token-Counts": "2000,50" } },
];

for (const request of REQUESTS) {
  for (const status of [408, 429, 503]) {
    test(`a ${status} of an upstream that may have run ${request.path} isn't passed on as a refusal`, async (t) => {
      const configuration = sampleConfiguration(1);
      for (const route of configuration.Routes) {
        Object.assign(route, { Resumable: false });
      }
      const deployment = await startPlatformDeployment({ configuration });
      t.teardown(deployment.close);
      const upstreams = [
        await deployment.addUpstream("desk", "d1", () => ({
          kind: "answer",
          status,
          body: "placed, and then failed",
        })),
        await deployment.addUpstream("engines", "e1", () => ({
          kind: "answer",
          status,
          body: "started, and then failed",
        })),
      ];
      await until(() => isConnected(deployment, upstreams.length));
      const result = await deployment.send(request);
      t.is(result.status, 502);
      t.is(result.headers["x-response-signature"], undefined);
      t.is(upstreams.flatMap(({ requests }) => requests).length, 1);
    });
  }
}
