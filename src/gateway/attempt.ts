import { createByteCollector } from "../support/byte_collector.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { Reachability } from "../tunnels/upstream_dialler.ts";
import {
  type AttemptConnection,
  type AttemptResult,
  failedResult,
} from "./attempt_result.ts";
import type { HelperEngine, UpstreamResponseMetadata } from "./dialect.ts";
import { createEventSplitter, isEventStream } from "./event_splitter.ts";
import { type Exchange, startExchange } from "./exchange.ts";
import {
  createInactivityWatch,
  type SilenceConditions,
} from "./inactivity_watch.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { ResponseHead } from "./response_writer.ts";
import { findUnframedEnd } from "./unframed_end.ts";
import type { Upstream } from "./upstream.ts";

/// One attempt: a request that is sent to one upstream once.

/// Limit for a response that is buffered before it is forwarded. A longer one
/// is treated as corrupt; services respond with some kilobytes.
const MAXIMUM_RESPONSE_BYTES = 2_097_152;
/// The upstream may have closed a connection that was idle for longer, or it may
/// have fallen silent, so a request that may not be sent again isn't sent on it.
/// The platform states 300 ms as the shortest time after which upstreams drop
/// idle connections.
const MAXIMUM_LAST_ATTEMPT_IDLE_MILLISECONDS: Milliseconds = 250;

export interface AttemptPlan {
  readonly upstream: Upstream;
  readonly helpers: readonly HelperEngine[];
  /// Set if the request has been sent to the address before, or may have run
  /// elsewhere: a late copy of an earlier response would have the same ID, and
  /// what silenced one kept connection may have silenced the others.
  readonly needsNewConnection: boolean;
  /// 0 is the highest; undefined for calls.
  readonly priority: number | undefined;
  readonly remaining: Milliseconds;
  /// ID of the last event received of a stream that is to be resumed.
  readonly resumeAfterEventId: string | undefined;
  /// Time without progress, before the first event, after which the upstream
  /// counts as silent if `silence` allows it. Progress is a complete event.
  readonly firstEventTimeout: Milliseconds;
  /// The same after the first event.
  readonly idleTimeout: Milliseconds;
  /// What decides how long silence is expected.
  readonly silence: SilenceConditions;
  /// Receives what the head of the upstream's response to this request states,
  /// and the name of the VM through which it came, if any.
  readonly onResponse: (
    metadata: UpstreamResponseMetadata,
    tunnelVm: string | undefined,
  ) => void;
  /// Called when the upstream has sent nothing for longer than expected, with
  /// what a failure at this moment would show, and again each time that as much
  /// time has passed. The attempt goes on.
  readonly onSilence: (shown: AttemptResult) => void;
  /// Receives complete events. Returns false to pause the response.
  readonly onEvents: (
    bytes: Buffer,
    head: ResponseHead,
    lastId: string | undefined,
  ) => boolean;
}

export interface Attempt {
  readonly result: Promise<AttemptResult>;
  connection(): AttemptConnection;
  abort(): void;
  resume(): void;
}

export function startAttempt(
  context: RequestContext,
  request: GatewayRequest,
  plan: AttemptPlan,
): Attempt {
  const { clock, dialect } = context;
  const { attemptId } = request.metadata;
  const splitter = createEventSplitter();
  const collected = createByteCollector();
  /// Part of the shared memory for responses that this one uses.
  let held = 0;
  let head: ResponseHead | undefined;
  let isStream = false;
  let isPaused = false;
  let isSettled = false;
  let settle: (result: AttemptResult) => void = () => {};
  const result = new Promise<AttemptResult>((resolve) => {
    settle = (value) => {
      isSettled = true;
      inactivity.stop();
      context.responseBytes.release(held);
      held = 0;
      resolve(value);
    };
  });

  const isTunnel = () => exchange.tunnelVm() !== undefined;

  /// `reachability` is left out for faults of the response itself.
  const settleFailed = (
    reason: string,
    options: { reachability?: Reachability; mayBeStale?: boolean } = {},
  ) =>
    settle(failedResult(reason, {
      ...options,
      wasSent: exchange.wasSent(),
      isTunnel: isTunnel(),
    }));

  const fail = (reason: string, reachability?: Reachability) => {
    exchange.abort();
    settleFailed(reason, { reachability });
  };

  /// Finds out whether the upstream still accepts connections after it has
  /// closed one: a process that crashes closes all of them, and so does one that
  /// only loses a response or drops a connection.
  const checkReachable = (onResult: (result: Reachability) => void) => {
    inactivity.stop();
    context.connections.check(plan.upstream.address)
      // The attempt may have been aborted meanwhile.
      .then((reachability) => isSettled || onResult(reachability))
      .catch((error: Error) => fail(`not checked: ${error.message}`));
  };

  /// Handles the silence of the upstream. A request that it hasn't received gets
  /// no response. Any other may, also if new connections are refused: that
  /// happens in partitions too, and a process that ends closes its connections.
  const endOrReport = (reason: string, reachability: Reachability) => {
    if (!exchange.wasSent()) return fail(reason, reachability);
    const shown = { wasSent: true, isTunnel: isTunnel(), reachability };
    plan.onSilence(failedResult(reason, shown));
  };

  const finish = () => {
    if (!head) return fail("an answer without a head");
    if (head.metadata.wasNotExecuted) {
      const { isWrongUpstream, faultAddress } = head.metadata;
      const reason = isWrongUpstream
        ? "another upstream has the address"
        : `refused with ${head.status}`;
      const isUnreachable = false;
      return settle({ kind: "not_run", reason, isUnreachable, faultAddress });
    }
    if (!isStream) {
      const { status, headers } = head;
      const body = collected.bytes();
      return settle({ kind: "answered", status, headers, body });
    }
    if (splitter.remainder().length > 0) return fail("ended within an event");
    // The head is forwarded even if the stream has no event.
    if (splitter.count() === 0) {
      plan.onEvents(Buffer.alloc(0), head, undefined);
    }
    settle({ kind: "streamed" });
  };

  /// Finishes a response without a length unless its upstream is gone.
  const finishUnlessGone = async () => {
    inactivity.stop();
    const end = await findUnframedEnd(context, {
      upstream: plan.upstream,
      service: request.service,
      isSettled: () => isSettled,
      onSilent(reachability) {
        const reason = "silent at the end of its answer";
        if (plan.silence.mayRetry()) endOrReport(reason, reachability);
      },
    });
    if (isSettled) return;
    if (end === "whole") return finish();
    if (end === "gone") return fail("gone at the end of its answer", "refuses");
    fail("replaced at the end of its answer", "silent");
  };

  const exchange: Exchange = startExchange(context, {
    address: plan.upstream.address,
    method: request.method,
    target: request.target,
    headers: dialect.buildUpstreamHeaders(request.headers, {
      upstream: plan.upstream,
      remaining: plan.remaining,
      customer: request.customer,
      removesCallerKey: request.removesCallerKey,
      priority: plan.priority,
      resumeAfterEventId: plan.resumeAfterEventId,
      helpers: plan.helpers,
    }),
    body: request.body.length > 0 ? request.body : undefined,
    reuse: {
      maximumIdle: plan.silence.mayRetry()
        ? undefined
        : MAXIMUM_LAST_ATTEMPT_IDLE_MILLISECONDS,
      isNew: plan.needsNewConnection || attemptId === undefined,
    },
  }, {
    onHead(status, headers, isFramed) {
      const isReused = exchange.isReused();
      const metadata = dialect.parseUpstreamResponse(status, headers, {
        attemptId,
        isReused,
      });
      if (metadata.isForOtherRequest) {
        return fail("an answer to another request");
      }
      const { wasNotExecuted } = metadata;
      if (!wasNotExecuted && !metadata.isAuthentic) {
        return fail(`an answer ${status} that the upstream didn't sign`);
      }
      if (!metadata.isWrongUpstream) {
        plan.onResponse(metadata, exchange.tunnelVm());
      }
      head = { status, headers, isFramed, metadata };
      isStream = !wasNotExecuted && status < 300 &&
        isEventStream(headers);
    },
    onData(chunk) {
      if (!head) return;
      if (!isStream) {
        if (collected.size() + chunk.length > MAXIMUM_RESPONSE_BYTES) {
          return fail("an answer without end");
        }
        if (!context.responseBytes.take(chunk.length)) {
          return fail("too many bytes of answers are in memory");
        }
        held += chunk.length;
        collected.add(chunk);
        return;
      }
      const eventsBefore = splitter.count();
      const events = splitter.push(chunk);
      if (splitter.count() > eventsBefore) inactivity.restart(plan.idleTimeout);
      if (splitter.isTooLong()) return fail("an event without end");
      if (!events) return;
      if (plan.onEvents(events, head, splitter.lastId())) return;
      isPaused = true;
      exchange.pause();
    },
    onEnd() {
      if (head?.isFramed !== false) return finish();
      finishUnlessGone().catch((error: Error) =>
        fail(`not checked: ${error.message}`)
      );
    },
    onFailure({ wasSent, wasReused, wasClosed, hadNoPath, reason }) {
      if (!wasSent) {
        const detail = `not connected: ${reason}`;
        return settle({
          kind: "not_run",
          reason: detail,
          isUnreachable: true,
          hadNoPath,
        });
      }
      const mayBeStale = wasReused && !head;
      if (!wasClosed) return settleFailed(reason, { mayBeStale });
      checkReachable((reachability) =>
        settleFailed(reason, { reachability, mayBeStale })
      );
    },
  });
  const inactivity = createInactivityWatch({
    clock,
    ...plan.silence,
    bytesReceived: exchange.bytesReceived,
    phase: () => !head ? "head" : isStream ? "stream" : "body",
    isPaused: () => isPaused,
    isTunnel,
    check: () => context.connections.check(plan.upstream.address),
    onUnproductive: fail,
    onSilence: endOrReport,
  });
  inactivity.restart(plan.firstEventTimeout);

  return {
    result,
    connection: () => ({
      isReused: exchange.isReused(),
      tunnelVm: exchange.tunnelVm(),
      wasSent: exchange.wasSent(),
    }),
    abort() {
      exchange.abort();
      settle({ kind: "aborted", wasSent: exchange.wasSent() });
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      exchange.resume();
    },
  };
}
