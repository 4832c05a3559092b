import test from "ava";
import { formatPatientRequest } from "../../stand_ins/platform/caller_connection.ts";
import { deployForCaller } from "../../stand_ins/platform/caller_deployment.ts";
import {
  sampleConfiguration,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

/// Connections that callers open before they have a request.

const HEADER_TIMEOUT_MILLISECONDS = 200;
/// Longer than the time for a head and the interval of its checks.
const UNUSED_MILLISECONDS = 1_200;
/// Longer than the short idle timeout and its margin.
const WORK_MILLISECONDS = 2_000;

const deploy = (
  t: Parameters<typeof deployForCaller>[0],
  { idleMilliseconds = 15_000, workMilliseconds = 0 } = {},
) => {
  const { Limits } = sampleConfiguration(1);
  return deployForCaller(t, {
    configuration: {
      Limits: {
        ...Limits,
        HeaderTimeoutMs: HEADER_TIMEOUT_MILLISECONDS,
        IdleTimeoutMs: idleMilliseconds,
      },
    },
    act: () => ({ kind: "answer", body: "done", workMilliseconds }),
  });
};

test("a connection may stay unused for longer than a head may take", async (t) => {
  const { desk, connection } = await deploy(t);
  await new Promise((resolve) => setTimeout(resolve, UNUSED_MILLISECONDS));
  connection.send(formatPatientRequest("/once/1"));
  await until(() => connection.statuses().length > 0);
  t.deepEqual(connection.statuses(), [200]);
  t.is(desk.requests.length, 1);
});

test("a head that doesn't arrive is late although its connection was unused before", async (t) => {
  const { connection } = await deploy(t);
  await new Promise((resolve) => setTimeout(resolve, UNUSED_MILLISECONDS));
  connection.send("POST /once/1");
  await until(connection.isClosed);
  t.deepEqual(connection.statuses(), [408]);
});

test("an unused connection is closed after the idle timeout, without a response", async (t) => {
  const { connection } = await deploy(t, { idleMilliseconds: 500 });
  await until(connection.isClosed);
  t.is(connection.received(), "");
});

test("a request may run for longer than the idle timeout on a new connection", async (t) => {
  const { connection } = await deploy(t, {
    idleMilliseconds: 300,
    workMilliseconds: WORK_MILLISECONDS,
  });
  connection.send(formatPatientRequest("/once/1"));
  await until(() => connection.statuses().length > 0);
  t.deepEqual(connection.statuses(), [200]);
});
