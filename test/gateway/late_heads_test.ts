import test from "ava";
import {
  formatPatientRequest,
  openCallerConnection,
} from "../../stand_ins/platform/caller_connection.ts";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { buildConfiguration } from "../../stand_ins/platform/request_phases.ts";
import type { ReceivedRequest } from "../../stand_ins/platform/scripted_upstream.ts";

/// A head that is late behind a running request, and whose rest arrives together
/// with the response to that one.

const HEAD_MILLISECONDS = 300;
/// Time until the gateway has noticed that the head is late.
const NOTICE_MILLISECONDS = 1_500;

const formatResponse = ({ headers }: ReceivedRequest) =>
  "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n" +
  `X-Attempt-Id: ${String(headers["x-attempt-id"])}\r\n` +
  "Content-Length: 4\r\n\r\ndone";

for (const [service, path] of [["desk", "/once/2f"], ["flows", "/flow/2f"]]) {
  test(`a request to ${path} whose head is answered with 408 doesn't run`, async (t) => {
    const { Limits, ...rest } = buildConfiguration(1) as { Limits: object };
    const limits = { ...Limits, HeaderTimeoutMs: HEAD_MILLISECONDS };
    const configuration = { ...rest, Limits: limits };
    const deployment = await startPlatformDeployment({ configuration });
    t.teardown(deployment.close);
    const responses: (() => void)[] = [];
    const upstream = await deployment.addUpstream(service!, "u1", (one) => {
      const respond = () => void one.connection.write(formatResponse(one));
      responses.push(respond);
      if (responses.length > 1) respond();
      // The bytes are written above.
      return { kind: "silence" };
    });
    await until(() => isConnected(deployment, 1));
    const { callers } = deployment.gateways[0]!.addresses;
    const connection = openCallerConnection(callers);
    t.teardown(() => connection.socket.destroy());
    const late = formatPatientRequest(path!);
    connection.send(formatPatientRequest(path!) + late.slice(0, 60));
    await until(() => responses.length === 1);
    await new Promise((resolve) => setTimeout(resolve, NOTICE_MILLISECONDS));
    responses[0]!();
    connection.send(late.slice(60));
    await until(() => connection.statuses().length === 2);
    await new Promise((resolve) => setTimeout(resolve, HEAD_MILLISECONDS));
    const statuses = connection.statuses();
    const served = statuses.filter((status) => status === 200);
    t.is(upstream.requests.length, served.length, `${statuses}`);
  });
}
