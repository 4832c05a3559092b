import { connect } from "node:net";
import test from "ava";
import {
  API_KEY,
  HOST,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Numbers of a configuration that no timer can take. An error that nothing
/// catches fails the test by itself.

const { Limits, Routes } = sampleConfiguration(1);
const routesWith = (overrides: object) =>
  Routes.map((route) => ({ ...route, ...overrides }));

const ODD: readonly (readonly [string, object])[] = [
  ["a negative idle timeout", { Limits: { ...Limits, IdleTimeoutMs: -1e6 } }],
  ["a long idle timeout", { Limits: { ...Limits, IdleTimeoutMs: 1e308 } }],
  ["a long header timeout", { Limits: { ...Limits, HeaderTimeoutMs: 1e308 } }],
  ["long timeouts", { Routes: routesWith({ TimeoutMs: 1e308 }) }],
  ["long objectives", { Routes: routesWith({ TargetLatencyMs: 1e308 }) }],
];

const REQUEST = `GET /look/2f HTTP/1.1\r\nHost: ${HOST}\r\n` +
  `X-Attempt-Id: a1\r\nAuthorization: Token ${API_KEY}\r\n\r\n`;

for (const [title, overrides] of ODD) {
  test(`two requests of a connection are served under a configuration with ${title}`, async (t) => {
    const configuration = sampleConfiguration(1, overrides);
    const deployment = await startPlatformDeployment({ configuration });
    t.teardown(deployment.close);
    const act = () => ({ kind: "answer", body: "done" }) as const;
    await deployment.addUpstream("desk", "u1", act);
    await until(async () =>
      (await deployment.readMetrics())
        .includes("sequoiaturn_gateway_upstreams 1\n")
    );
    const { callers } = deployment.gateways[0]!.addresses;
    const [host, port] = callers.split(":");
    const socket = connect(Number(port), host);
    t.teardown(() => socket.destroy());
    let received = "";
    socket.on("data", (chunk) => void (received += chunk));
    for (const responses of [1, 2]) {
      socket.write(REQUEST);
      await until(() => received.split("HTTP/1.1 200 OK").length > responses);
    }
    t.pass();
  });
}
