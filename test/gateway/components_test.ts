import test from "ava";
import { createEventSplitter } from "../../src/gateway/event_splitter.ts";
import { createFleetView } from "../../src/gateway/fleet_view.ts";
import {
  GatewaySettingsError,
  readGatewaySettings,
} from "../../src/gateway/gateway_settings.ts";
import { createInFlightWork } from "../../src/gateway/in_flight_work.ts";
import { createPlacementOwners } from "../../src/gateway/placement_owners.ts";
import { createRetryBudget } from "../../src/gateway/retry_budget.ts";
import { createUpstreamHealth } from "../../src/gateway/upstream_health.ts";
import { createLineSink, createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { sampleUpstream } from "../../stand_ins/platform/sample_upstream.ts";

const SINGLE_VM = { vm: "vm-1", incarnation: "1", dataCentre: "north" };
const STORE = { kind: "store" as const, revision: 1 };

test("retries stay within their ratio and an even part of the allowance", async (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget({
    clock,
    random: createSeededRandom(1),
    links: createLocalNetwork(clock).join(SINGLE_VM),
    limits: { ratio: 0.2, allowance: 50, window: 10_000 },
    vmCount: () => 5,
  });
  for (let count = 0; count < 100; count++) budget.recordRequest("desk");
  const takeAll = () => {
    let taken = 0;
    while (budget.take("desk")) taken += 1;
    return taken;
  };
  const first = takeAll();
  t.true(first > 0 && first <= 0.2 * 100 + 50 / 5);
  t.is(takeAll(), 0);
  await clock.advance(10_000);
  t.true(takeAll() <= 50 / 5);
});

test("an unreachable upstream is suspended for longer each time", async (t) => {
  const clock = createFakeClock();
  const health = createUpstreamHealth({
    clock,
    random: createSeededRandom(1),
    log: createSilentLogger(),
    links: createLocalNetwork(clock).join(SINGLE_VM),
  });
  health.recordUnreachable("e1");
  health.recordUnreachable("e1");
  t.true(health.isSuspended("e1"));
  await clock.advance(1_000);
  t.false(health.isSuspended("e1"));
  health.recordSent("e1");
  t.true(health.isSuspended("e1"), "one probe at a time");
  health.recordSuccess("e1");
  t.false(health.isSuspended("e1"));
  health.recordUnreachable("e1");
  await clock.advance(1_000);
  health.recordUnreachable("e1");
  await clock.advance(1_500);
  t.true(health.isSuspended("e1"));
});

test("events are forwarded complete, however the stream is chunked", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata";
  for (let size = 1; size < text.length; size++) {
    const splitter = createEventSplitter();
    let forwarded = "";
    for (let at = 0; at < text.length; at += size) {
      const chunk = Buffer.from(text.slice(at, at + size));
      forwarded += splitter.push(chunk)?.toString() ?? "";
    }
    t.is(forwarded, text.slice(0, text.indexOf("id: 3")));
    t.is(splitter.lastId(), "2");
    t.is(splitter.count(), 2);
    t.is(splitter.remainder().toString(), "id: 3\ndata");
  }
});

test("an upstream that is draining or removed gets no requests", (t) => {
  const view = createFleetView(createFakeClock());
  for (const id of ["e1", "e2"]) view.setUpstream(sampleUpstream(id), STORE);
  view.setUpstream(sampleUpstream("e2", { isLeaving: true }), STORE);
  t.deepEqual(view.available("engines").map(({ id }) => id), ["e1"]);
  view.removeUpstream("e1", STORE);
  t.deepEqual(view.available("engines"), []);
});

test("upstreams have two seconds to list themselves again after an outage", async (t) => {
  const clock = createFakeClock();
  const view = createFleetView(clock);
  for (const id of ["e1", "e2"]) view.setUpstream(sampleUpstream(id), STORE);
  view.recordStoreReconnected();
  for (const id of ["e1", "e2"]) view.removeUpstream(id, STORE);
  t.is(view.available("engines").length, 2);
  await clock.advance(500);
  view.setUpstream(sampleUpstream("e2"), STORE);
  await clock.advance(1_500);
  t.deepEqual(view.available("engines").map(({ id }) => id), ["e2"]);
});

test("VMs receive reports of each other's in-flight work", async (t) => {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const join = (vm: string) =>
    network.join({ vm, incarnation: "1", dataCentre: "north" });
  const create = (vm: string) => {
    const links = join(vm);
    const owners = createPlacementOwners({
      clock,
      links,
      log: createSilentLogger(),
    });
    const dataCentreOf = () => "north";
    return createInFlightWork({ clock, links, owners, dataCentreOf });
  };
  const first = create("vm-1");
  const second = create("vm-2");
  await clock.advance(100);
  const work = {
    requests: 1,
    shortRequests: 1,
    memoryTokens: 500,
    spans: 0,
    prefillMilliseconds: 300,
  };
  const item = first.start("e1", work);
  await clock.advance(100);
  t.is(second.workAt("e1").requests, 1);
  t.true(second.workAt("e1").prefillMilliseconds <= 300);
  item.prefillDone();
  await clock.advance(100);
  t.is(second.workAt("e1").prefillMilliseconds, 0);
  item.end();
  await clock.advance(100);
  t.deepEqual(second.workAt("e1"), {
    requests: 0,
    shortRequests: 0,
    memoryTokens: 0,
    spans: 0,
    prefillMilliseconds: 0,
  });
});

test("log lines are dropped while the reader of the log is slow", (t) => {
  const written: string[] = [];
  let fail: (error: Error) => void = () => {};
  const stream = {
    writableLength: 0,
    write: (text: string) => written.push(text) > 0,
    on: (_event: "error", listener: (error: Error) => void) =>
      void (fail = listener),
  };
  const sink = createLineSink(stream);
  sink.write("one");
  stream.writableLength = 10_000_000;
  sink.write("two");
  sink.write("three");
  stream.writableLength = 0;
  sink.write("four");
  t.is(sink.dropped(), 2);
  t.is(written.length, 3);
  t.true(written[1]!.includes('"missing":2'));
  t.is(written[2], "four\n");
  fail(new Error("write EPIPE"));
  sink.write("five");
  t.is(written.length, 3, "nothing is written after the reader has failed");
  t.is(sink.dropped(), 3);
});

test("all invalid settings are reported at once", (t) => {
  const error = t.throws(
    () => readGatewaySettings('{"vm": "", "unknown": 1}'),
    { instanceOf: GatewaySettingsError },
  );
  t.true(error!.message.includes("/vm"));
  t.true(error!.message.includes("/storeAddress"));
  t.throws(() => readGatewaySettings("vm: a"), {
    instanceOf: GatewaySettingsError,
  });
});
