import type { Socket } from "node:net";
import test from "ava";
import {
  type CallerRequest,
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ReceivedRequest } from "../../stand_ins/platform/scripted_upstream.ts";

/// An upstream that starts at the address of one that is still listed, with an id
/// of its own.

const ONCE: CallerRequest = { path: "/once/2f", body: "an order" };

const attemptIdOf = ({ headers }: ReceivedRequest) =>
  String(headers["x-attempt-id"]);

const refusalOf = (request: ReceivedRequest) =>
  "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" +
  `X-Attempt-Id: ${attemptIdOf(request)}\r\nContent-Length: 0\r\n\r\n`;

const answerTo = (request: ReceivedRequest) =>
  "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n" +
  `X-Attempt-Id: ${attemptIdOf(request)}\r\nContent-Length: 4\r\n\r\ndone`;

test("a refusal that is repeated for its retry at the address of another id isn't taken for one of the retry", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const refused = new Set<Socket>();
  const executed: string[] = [];

  const refuseOnceListed = async (one: ReceivedRequest) => {
    deployment.store.put("servers/successor", upstream.entry("desk"));
    await until(() => isConnected(deployment, 2));
    refused.add(one.connection);
    one.connection.write(refusalOf(one));
  };
  const upstream = await deployment.addUpstream("desk", "former", (one) => {
    const { connection } = one;
    if (one.headers["x-expected-instance"] === "former") {
      void refuseOnceListed(one);
    } else {
      executed.push(attemptIdOf(one));
      if (refused.has(connection)) connection.write(refusalOf(one));
      connection.write(answerTo(one));
    }
    // The bytes are written above.
    return { kind: "silence" };
  });
  await until(() => isConnected(deployment, 1));
  const { status, body } = await deployment.send(ONCE);
  t.is(executed.length, 1);
  t.deepEqual([status, body], [200, "done"]);
});
