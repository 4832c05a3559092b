import test from "ava";
import { endOfConnection } from "../../src/gateway/connection_end.ts";
import { formatRequest } from "../../stand_ins/platform/caller_connection.ts";
import { deployForCaller } from "../../stand_ins/platform/caller_deployment.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";

interface EndCase {
  readonly title: string;
  readonly code?: string;
  readonly readableEnded?: boolean;
  readonly end: "caller" | "gateway";
}

const ENDS: readonly EndCase[] = [
  { title: "that the caller ended", readableEnded: true, end: "caller" },
  { title: "that was reset", code: "ECONNRESET", end: "caller" },
  { title: "to a caller that is gone", code: "EPIPE", end: "caller" },
  { title: "that was destroyed", end: "gateway" },
  { title: "with invalid bytes", code: "HPE_INVALID_METHOD", end: "gateway" },
];

for (const { title, code, readableEnded = false, end } of ENDS) {
  test(`a connection ${title} was closed by the ${end}`, (t) => {
    const errored = code ? Object.assign(new Error(code), { code }) : null;
    t.is(endOfConnection({ errored, readableEnded }), end);
  });
}

test("a gateway counts which end closed the connections of callers", async (t) => {
  const { deployment, connection, open } = await deployForCaller(t);
  connection.send(formatRequest("/once/2f"));
  await until(() => connection.statuses().length === 1);
  connection.socket.end();
  const other = open();
  other.send("no request\r\n\r\n");
  await until(other.isClosed);
  await until(async () => {
    const text = await deployment.readMetrics();
    return text.includes('connections_closed_total{closed_by="caller"} 1') &&
      text.includes('connections_closed_total{closed_by="gateway"} 1');
  });
  t.pass();
});
