import type { Milliseconds, Timer } from "../support/clock.ts";
import type { HelperEngine } from "./dialect.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { type Exchange, type HeaderFields, startExchange } from "./exchange.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { Upstream } from "./upstream.ts";

/// One try of a request at one upstream.

const EVENT_STREAM = "text/event-stream";
/// An answer that is collected before it is passed on; longer ones are taken
/// for wrong bytes. Services answer with some kilobytes.
const LARGEST_ANSWER_BYTES = 16_777_216;
/// A kept connection that has been idle for longer may have been closed by
/// the upstream; a request that must run once isn't risked on it. The platform
/// names 300 ms as the shortest time after which upstreams forget connections.
const ONCE_IDLE_MILLISECONDS: Milliseconds = 250;

/// Time after expected reading within which streams go on.
const EXPECTED_MARGIN_MILLISECONDS: Milliseconds = 200;
/// Further silence that a long prompt bears at an engine that can be reached:
/// about the longest pass that other prompts cause.
const EXTENDED_MILLISECONDS: Milliseconds = 2_000;

/// How a try ended.
export type AttemptResult =
  /// The upstream's own whole answer.
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: HeaderFields;
    readonly isFramed: boolean;
    readonly body: Buffer;
  }
  /// Every event was passed on.
  | { readonly kind: "streamed" }
  /// The request has certainly not run.
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly isUnreachable: boolean;
    /// Address of another engine that was at fault.
    readonly faultAddress?: string;
  }
  /// The request may have run.
  | {
    readonly kind: "failed";
    readonly reason: string;
    /// Whether the upstream takes no connections either.
    readonly isUnreachable: boolean;
    /// Whether it may have been a kept connection that the upstream had closed
    /// meanwhile, which says nothing of its health.
    readonly mayBeStale?: boolean;
  }
  /// The run was ended from here.
  | { readonly kind: "aborted" };

export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderFields;
  /// Whether its framing tells where it ends.
  readonly isFramed: boolean;
}

export interface AttemptPlan {
  readonly upstream: Upstream;
  readonly helpers: readonly HelperEngine[];
  readonly urgency: number | undefined;
  readonly remaining: Milliseconds;
  readonly resumeAfter: string | undefined;
  /// Silence after which the try is given up, if `mayGiveUp` allows it.
  readonly firstEventTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
  readonly mayRetry: () => boolean;
  /// Whether starting anew elsewhere costs more than waiting somewhat longer.
  readonly extendsTimeout: boolean;
  /// Silence that the upstream's other work explains from now on.
  readonly remainingPrefill: () => Milliseconds;
  /// Takes whole events. Returns false to be paused.
  readonly onEvents: (
    bytes: Buffer,
    head: ResponseHead,
    lastId: string | undefined,
  ) => boolean;
}

export interface Attempt {
  readonly result: Promise<AttemptResult>;
  abort(): void;
  resume(): void;
}

function isEventStream(headers: HeaderFields): boolean {
  return String(headers["content-type"] ?? "").startsWith(EVENT_STREAM);
}

export function startAttempt(
  context: RequestContext,
  request: GatewayRequest,
  plan: AttemptPlan,
): Attempt {
  const { clock, dialect } = context;
  const { attemptId } = request.facts;
  const cutter = createEventSplitter();
  const pieces: Buffer[] = [];
  let size = 0;
  let head: ResponseHead | undefined;
  let isStream = false;
  let isPaused = false;
  let timer: Timer | undefined;
  let wasExtended = false;
  let settle: (result: AttemptResult) => void = () => {};
  const result = new Promise<AttemptResult>((resolve) => {
    settle = (value) => {
      timer?.cancel();
      resolve(value);
    };
  });

  const fail = (reason: string, isUnreachable = false) => {
    exchange.abort();
    settle({ kind: "failed", reason, isUnreachable });
  };

  const watchSilence = (limit: Milliseconds) => {
    timer?.cancel();
    const watched = clock.schedule(limit, () => {
      if (isPaused || !plan.mayRetry()) return watchSilence(limit);
      const expected = plan.remainingPrefill();
      if (expected > 0) {
        return watchSilence(expected + EXPECTED_MARGIN_MILLISECONDS);
      }
      const { address } = plan.upstream;
      context.connections.acceptsConnections(address).then((accepts) => {
        // The answer may have gone on meanwhile.
        if (timer !== watched) return;
        const reason = `silent for ${Math.round(limit)} ms`;
        if (!accepts) return fail(`${reason} and unreachable`, true);
        // A busy engine comes back to a long prompt sooner than another one
        // would have read it again.
        if (plan.extendsTimeout && !wasExtended) {
          wasExtended = true;
          return watchSilence(EXTENDED_MILLISECONDS);
        }
        fail(reason);
      });
    });
    timer = watched;
  };

  const finish = () => {
    if (!head) return fail("an answer without a head");
    const facts = dialect.parseUpstreamResponse(
      head.status,
      head.headers,
      attemptId,
    );
    if (facts.wasNotExecuted) {
      const reason = facts.isWrongUpstream
        ? "another upstream has the address"
        : `refused with ${head.status}`;
      const { faultAddress } = facts;
      const isUnreachable = false;
      return settle({ kind: "not_run", reason, isUnreachable, faultAddress });
    }
    if (!isStream) {
      const body = Buffer.concat(pieces);
      return settle({ kind: "answered", ...head, body });
    }
    if (cutter.remainder().length > 0) return fail("ended within an event");
    // A stream without any event still has a head to pass on.
    if (cutter.count() === 0) {
      plan.onEvents(Buffer.alloc(0), head, undefined);
    }
    settle({ kind: "streamed" });
  };

  const exchange: Exchange = startExchange(context.connections, {
    address: plan.upstream.address,
    method: request.method,
    target: request.target,
    headers: dialect.buildUpstreamHeaders(request.headers, {
      upstream: plan.upstream,
      remaining: plan.remaining,
      customer: request.customer,
      removesCallerKey: request.hidesKey,
      priority: plan.urgency,
      resumeAfterEventId: plan.resumeAfter,
      helpers: plan.helpers,
    }),
    body: request.body.length > 0 ? request.body : undefined,
    maximumIdle: request.route.kind === "once"
      ? ONCE_IDLE_MILLISECONDS
      : undefined,
  }, {
    onHead(status, headers, isFramed) {
      const facts = dialect.parseUpstreamResponse(status, headers, attemptId);
      if (facts.isForOtherRequest) return fail("an answer to another request");
      if (!facts.wasNotExecuted && !facts.isAuthentic) {
        return fail(`an answer ${status} that the upstream didn't sign`);
      }
      head = { status, headers, isFramed };
      isStream = !facts.wasNotExecuted && status < 300 &&
        isEventStream(headers);
    },
    onData(chunk) {
      if (!head) return;
      if (!isStream) {
        pieces.push(chunk);
        size += chunk.length;
        if (size > LARGEST_ANSWER_BYTES) fail("an answer without end");
        return;
      }
      watchSilence(plan.idleTimeout);
      const events = cutter.push(chunk);
      if (!events) return;
      if (plan.onEvents(events, head, cutter.lastId())) return;
      isPaused = true;
      exchange.pause();
    },
    onEnd() {
      if (head?.isFramed !== false) return finish();
      // A process that crashes closes its connections too. Only one that is
      // still there has ended its answer on purpose.
      context.connections.acceptsConnections(plan.upstream.address).then(
        (accepts) => {
          if (accepts) finish();
          else fail("the upstream went away at the end of its answer", true);
        },
      );
    },
    onFailure({ wasSent, wasReused: wasKept, reason }) {
      if (wasSent) {
        const mayBeStale = wasKept && !head;
        const isUnreachable = false;
        return settle({ kind: "failed", reason, isUnreachable, mayBeStale });
      }
      const detail = `not connected: ${reason}`;
      settle({ kind: "not_run", reason: detail, isUnreachable: true });
    },
  });
  watchSilence(plan.firstEventTimeout);

  return {
    result,
    abort() {
      exchange.abort();
      settle({ kind: "aborted" });
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      exchange.resume();
    },
  };
}
