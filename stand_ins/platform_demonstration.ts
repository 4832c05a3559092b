import {
  API_KEY,
  HOST,
  startPlatformDeployment,
  until,
} from "./platform/platform_deployment.ts";
import type { UpstreamAction } from "./platform/scripted_upstream.ts";

/// Two gateways in front of stand-ins for the platform's store and runners.
/// Sends one request of each kind, then goes on serving until it is ended, or
/// ends by itself with `--once`.

const EVENTS = 5;

const deployment = await startPlatformDeployment({ gateways: 2 });
const answer = (body: string) => (): UpstreamAction => ({
  kind: "answer",
  body,
});
for (const id of ["engine-1", "engine-2", "engine-3"]) {
  await deployment.addUpstream("engines", id, (request) => ({
    kind: "stream",
    from: Number(request.headers["last-event-id"] ?? 0) + 1,
    to: EVENTS,
    pauseMilliseconds: 50,
  }));
}
await deployment.addUpstream("desk", "desk-1", answer("order 17 is placed\n"));
await until(async () =>
  (await deployment.readMetrics(1)).includes(
    "sequoiaturn_gateway_upstreams 4\n",
  )
);

const requests = [
  { path: "/ask/caption", headers: { "X-Token-Counts": "1460,80" } },
  { path: "/once/order", body: "48 pages" },
  { path: "/look/order/17", method: "GET" },
];
for (const request of requests) {
  const result = await deployment.send(request);
  console.log(`${request.path} → ${result.status}\n${result.body}`);
}

if (process.argv.includes("--once")) deployment.close();
else {
  for (const { addresses } of deployment.gateways) {
    console.log(`callers: ${addresses.callers}, metrics: ${addresses.metrics}`);
  }
  const { callers } = deployment.gateways[0]!.addresses;
  console.log(
    `curl -N http://${callers}/ask/caption -H 'Host: ${HOST}' ` +
      `-H 'Authorization: Token ${API_KEY}' -H 'X-Attempt-Id: a1' ` +
      `-H 'X-Token-Counts: 1460,80' -d 'a prompt'`,
  );
}
