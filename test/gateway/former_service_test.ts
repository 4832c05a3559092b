import test, { type ExecutionContext } from "ava";
import {
  type CallerRequest,
  isConnected,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ReceivedRequest } from "../../stand_ins/platform/scripted_upstream.ts";
import { unframedFields } from "../../stand_ins/platform/unframed_fields.ts";

/// Requests under way whose service a new configuration no longer has.

/// So long that no upstream counts as silent until the change is in force.
const LONG_MILLISECONDS = 10_000;
const DEADLINE = { "X-Deadline-Ms": "20000" };
const EVENTS = 4;
const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

/// Sends a request whose first upstream `begin`s its response. The connection is
/// reset when the service has left the configuration.
async function sendThroughChange(
  t: ExecutionContext,
  request: CallerRequest,
  { service, begin }: {
    readonly service: string;
    readonly begin: (head: () => string) => string;
  },
) {
  const configuration = sampleConfiguration(1);
  for (const route of configuration.Routes) {
    Object.assign(route, {
      TimeoutMs: 2 * LONG_MILLISECONDS,
      TargetLatencyMs: LONG_MILLISECONDS,
      GapAimMs: LONG_MILLISECONDS,
    });
  }
  const deployment = await startPlatformDeployment({ configuration });
  t.teardown(deployment.close);
  const received: ReceivedRequest[] = [];
  for (const id of ["u0", "u1"]) {
    await deployment.addUpstream(service, id, (each) => {
      received.push(each);
      if (received.length === 1) {
        return {
          kind: "raw",
          write: (socket, head) =>
            void socket.write(
              begin(() => head(unframedFields(true))),
            ),
        };
      }
      const last = Number(each.headers["last-event-id"] ?? 0);
      return service === "engines"
        ? { kind: "stream", from: last + 1, to: EVENTS }
        : { kind: "answer", body: "done" };
    });
  }
  await until(() => isConnected(deployment, 2));
  const running = deployment.send(request);
  await until(() => received.length === 1);
  deployment.store.put(
    "op/config",
    sampleConfiguration(2, { Routes: [], Services: [] }),
  );
  await until(async () =>
    (await deployment.readMetrics()).includes("configuration_version 2\n")
  );
  t.is(received.length, 1);
  received[0]!.connection.resetAndDestroy();
  return await running;
}

test("a stream is resumed after its service has left the configuration", async (t) => {
  const request = {
    path: "/ask/1",
    headers: { ...DEADLINE, "X-Token-Counts": "100,20" },
    body: "a prompt",
  };
  const { status, isWhole, body } = await sendThroughChange(t, request, {
    service: "engines",
    begin: (head) => `${head()}\r\n${event(1)}${event(2)}`,
  });
  const expected = Array.from(
    { length: EVENTS },
    (_, index) => event(index + 1),
  );
  t.deepEqual([status, isWhole, body], [200, true, expected.join("")]);
});

test("a call is repeated after its service has left the configuration", async (t) => {
  const request = { path: "/look/1", headers: DEADLINE };
  const { status, body } = await sendThroughChange(t, request, {
    service: "desk",
    begin: () => "",
  });
  t.deepEqual([status, body], [200, "done"]);
});
