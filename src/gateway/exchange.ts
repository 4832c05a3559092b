import type { Clock, Milliseconds } from "../support/clock.ts";
import { isFramedResponse } from "../upstreams/response_framing.ts";
import type { ByteBudget } from "./byte_budget.ts";
import { createPieceMeter, type PieceQuota } from "./piece_quota.ts";
import { createResponseOverhead } from "./response_overhead.ts";
import type {
  ReuseOptions,
  UpstreamConnection,
  UpstreamConnections,
} from "./upstream_connections.ts";

/// One HTTP request to one upstream and its response, as bytes.

/// Header fields by lower-case name.
export type HeaderFields = Readonly<
  Record<string, string | string[] | undefined>
>;

export interface OutgoingRequest {
  /// Host and port of the upstream.
  readonly address: string;
  readonly method: string;
  /// Path and query.
  readonly target: string;
  /// Alternating names and values.
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /// Which idle connections may carry the request.
  readonly reuse?: ReuseOptions;
}

/// Why an exchange ended without a complete response.
export interface ExchangeFailure {
  /// Whether the upstream may have received the request.
  readonly wasSent: boolean;
  /// Whether it was sent on a reused connection.
  readonly wasReused: boolean;
  /// Whether the upstream closed or reset the connection. Otherwise it sent
  /// something that isn't a response, and so is running.
  readonly wasClosed: boolean;
  /// Whether the connection could not be opened although the upstream may accept
  /// connections: no VM could tell.
  readonly hadNoPath: boolean;
  readonly reason: string;
}

/// Callbacks of an exchange. `onEnd` or `onFailure` is the last one, unless the
/// exchange is aborted.
export interface ExchangeHandler {
  /// `isFramed` is false for a response without a length, which ends when its
  /// connection closes.
  onHead(status: number, headers: HeaderFields, isFramed: boolean): void;
  onData(chunk: Buffer): void;
  /// The response is complete, as far as its framing shows.
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/// A request in progress.
export interface Exchange {
  /// Ends the exchange by closing the connection; the handler isn't called
  /// again.
  abort(): void;
  pause(): void;
  resume(): void;
  /// Number of bytes received on the connection so far.
  bytesReceived(): number;
  /// Whether the upstream may have received the request.
  wasSent(): boolean;
  /// Name of the VM through which the connection goes, if it is a tunnel.
  tunnelVm(): string | undefined;
  /// Whether the connection has carried another request before.
  isReused(): boolean;
}

/// Number of informational responses after which an exchange fails. A few may
/// precede a response; an upstream in trouble may send them without end.
const MAXIMUM_INFORMATIONAL_RESPONSES = 16;

/// Codes of errors after which the upstream has closed or reset the connection.
const CLOSED_CONNECTION_CODES = new Set([
  "UND_ERR_SOCKET",
  "ECONNRESET",
  "EPIPE",
]);

/// What all exchanges of a process share.
export interface ExchangeContext {
  readonly clock: Clock;
  readonly connections: UpstreamConnections;
  readonly pieceQuota: PieceQuota;
  /// Bytes of heads and trailers that are not complete yet.
  readonly unfinishedHeadBytes: ByteBudget;
}

/// Sends a request. The connection is kept for other requests when the response
/// is complete and framed.
export function startExchange(
  { clock, connections, pieceQuota, unfinishedHeadBytes }: ExchangeContext,
  request: OutgoingRequest,
  handler: ExchangeHandler,
): Exchange {
  const connection: UpstreamConnection = connections.acquire(
    request.address,
    request.reuse,
  );
  const wasReused = connection.isReused();
  let hasEnded = false;
  let wasSent = false;
  let isFramed = true;
  let informationalResponses = 0;
  let control: { pause(): void; resume(): void } | undefined;
  /// Why reading is paused.
  let isHeldBack = false;
  let isPaced = false;
  const overhead = createResponseOverhead(unfinishedHeadBytes);
  const pieces = createPieceMeter(pieceQuota);
  const receivedBefore = connection.bytesReceived();

  const end = () => {
    hasEnded = true;
    // The parser keeps the fields of an unfinished head for as long.
    connection.onClosed(overhead.release);
  };

  const fail = (reason: string, wasClosed = false) => {
    if (hasEnded) return;
    end();
    connection.discard();
    const hadNoPath = connection.openingFailure() === "unknown";
    handler.onFailure({ wasSent, wasReused, wasClosed, hadNoPath, reason });
  };

  const resumeReading = () => {
    if (!isHeldBack && !isPaced && !hasEnded) control?.resume();
  };

  /// Lets other requests have the processor before the next piece.
  const pace = (delay: Milliseconds) => {
    if (isPaced) return;
    isPaced = true;
    control?.pause();
    clock.schedule(delay, () => {
      isPaced = false;
      resumeReading();
    });
  };

  connection.setSlices(() => {
    const parsed = connection.bytesParsed() - receivedBefore;
    const fault = hasEnded ? undefined : overhead.findFault(parsed);
    if (fault) fail(fault);
    return overhead.nextSlice();
  });

  try {
    connection.client.dispatch({
      path: request.target,
      method: request.method as "GET",
      headers: [...request.headers],
      body: request.body,
    }, {
      onRequestStart(controller) {
        control = controller;
        // A second start would mean that undici sends the request again.
        if (wasSent || hasEnded) controller.abort(new Error("sent before"));
        wasSent = true;
      },
      onRequestUpgrade() {
        fail("the upstream switched protocols");
      },
      onResponseStart(_controller, status, headers) {
        if (hasEnded) return;
        if (status < 200) {
          informationalResponses += 1;
          if (informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) {
            fail("informational responses without end");
          }
          return;
        }
        isFramed = isFramedResponse(request.method, { status, headers });
        overhead.recordHead();
        handler.onHead(status, headers, isFramed);
      },
      onResponseData(_controller, chunk) {
        if (hasEnded) return;
        overhead.recordPiece(chunk);
        handler.onData(chunk);
        const delay = pieces.count(chunk);
        if (delay > 0 && !hasEnded) pace(delay);
      },
      onResponseEnd() {
        if (hasEnded) return;
        // undici treats a reset as the end of a response without a length.
        if (!isFramed && !connection.wasClosedByUpstream()) {
          return fail("reset at the end of a response without a length", true);
        }
        hasEnded = true;
        overhead.release();
        if (isFramed) connection.release();
        else connection.discard();
        handler.onEnd();
      },
      onResponseError(_controller, error) {
        const { code } = error as NodeJS.ErrnoException;
        fail(error.message, CLOSED_CONNECTION_CODES.has(code ?? ""));
      },
    });
  } catch (error) {
    // undici throws for a request that it can't write, before sending it.
    const reason = error instanceof Error ? error.message : String(error);
    queueMicrotask(() => fail(reason));
  }

  return {
    abort() {
      if (hasEnded) return;
      end();
      connection.discard();
    },
    pause() {
      isHeldBack = true;
      control?.pause();
    },
    resume() {
      isHeldBack = false;
      resumeReading();
    },
    bytesReceived: connection.bytesReceived,
    wasSent: () => wasSent,
    tunnelVm: connection.tunnelVm,
    isReused: () => wasReused,
  };
}
