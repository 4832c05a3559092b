import test from "ava";
import { startAttempt } from "../../src/gateway/attempt.ts";
import type {
  GatewayRequest,
  RequestContext,
} from "../../src/gateway/request_context.ts";
import { createSystemClock } from "../../src/support/clock.ts";

/// What an upstream's response calls, as undici does.
interface ResponseCalls {
  onRequestStart(controller: object): void;
  onResponseStart(controller: object, status: number, headers: object): void;
  onResponseEnd(controller: object): void;
}

test("an attempt that is aborted during its last check writes nothing into the response of another one", async (t) => {
  let calls: ResponseCalls | undefined;
  let finishCheck = (_reachability: "accepts") => {};
  const connection = {
    client: {
      dispatch: (_: object, handler: ResponseCalls) => calls = handler,
    },
    wasClosedByUpstream: () => true,
    setSlices() {},
    onClosed() {},
    bytesReceived: () => 0,
    isReused: () => false,
    tunnelVm: () => undefined,
    openingFailure: () => undefined,
    discard() {},
  };
  const context = {
    clock: createSystemClock(),
    dialect: {
      buildUpstreamHeaders: () => [],
      parseUpstreamResponse: () => ({ isAuthentic: true }),
    },
    connections: {
      acquire: () => connection,
      check: () => new Promise((resolve) => finishCheck = resolve),
    },
    responseBytes: { release() {} },
    unfinishedHeadBytes: { release() {} },
  } as unknown as RequestContext;
  const request = {
    metadata: {},
    route: {},
    body: Buffer.alloc(0),
  } as unknown as GatewayRequest;
  let written = 0;
  const attempt = startAttempt(
    context,
    request,
    {
      upstream: { address: "127.0.0.1:1" },
      firstEventTimeout: 60_000,
      silence: { mayRetry: () => false },
      onResponse() {},
      onEvents: () => ++written > 0,
    } as unknown as Parameters<typeof startAttempt>[2],
  );
  calls!.onRequestStart({});
  calls!.onResponseStart({}, 200, { "content-type": "text/event-stream" });
  calls!.onResponseEnd({});
  attempt.abort();
  finishCheck("accepts");
  t.is((await attempt.result).kind, "aborted");
  await new Promise((resolve) => setImmediate(resolve));
  t.is(written, 0);
});
