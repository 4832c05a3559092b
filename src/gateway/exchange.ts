import type { Milliseconds } from "../support/clock.ts";
import type {
  UpstreamConnection,
  UpstreamConnections,
} from "./upstream_connections.ts";

/// One HTTP request to one upstream and what comes back, as bytes.

/// Header fields by lower-case name.
export type HeaderFields = Readonly<
  Record<string, string | string[] | undefined>
>;

export interface OutgoingRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /// Names and values by turns.
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /// Longest idle time of a kept connection that may carry the request.
  readonly maximumIdle?: Milliseconds;
}

/// Why an exchange ended without a whole answer.
export interface ExchangeFailure {
  /// Whether the upstream may have got the request.
  readonly wasSent: boolean;
  /// Whether it was sent on a kept connection.
  readonly wasReused: boolean;
  readonly reason: string;
}

export interface ExchangeHandler {
  /// `isFramed` is false for an answer without length, which ends with its
  /// connection.
  onHead(status: number, headers: HeaderFields, isFramed: boolean): void;
  onData(chunk: Buffer): void;
  /// The answer is whole, as far as its framing tells.
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

export interface Exchange {
  /// Ends the exchange by closing the connection; the handler hears no more.
  abort(): void;
  pause(): void;
  resume(): void;
}

function hasFraming(headers: HeaderFields): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/// Sends a request. The connection is kept for others when the answer is
/// whole.
export function startExchange(
  connections: UpstreamConnections,
  request: OutgoingRequest,
  handler: ExchangeHandler,
): Exchange {
  const connection: UpstreamConnection = connections.acquire(
    request.address,
    request.maximumIdle,
  );
  let isOver = false;
  let wasSent = false;
  let isFramed = true;
  let control: { pause(): void; resume(): void } | undefined;

  const fail = (reason: string) => {
    if (isOver) return;
    isOver = true;
    connection.discard();
    handler.onFailure({ wasSent, wasReused: connection.isReused(), reason });
  };

  try {
    connection.client.dispatch({
      path: request.target,
      method: request.method as "GET",
      headers: [...request.headers],
      body: request.body,
    }, {
      onRequestStart(controller) {
        control = controller;
        // A second start would mean a second sending by the library.
        if (wasSent || isOver) controller.abort(new Error("sent before"));
        wasSent = true;
      },
      onRequestUpgrade() {
        fail("the upstream switched protocols");
      },
      onResponseStart(_controller, status, headers) {
        if (isOver || status < 200) return;
        isFramed = hasFraming(headers) || status === 204 || status === 304;
        handler.onHead(status, headers, isFramed);
      },
      onResponseData(_controller, chunk) {
        if (!isOver) handler.onData(chunk);
      },
      onResponseEnd() {
        if (isOver) return;
        // The library takes a reset for the end of an answer without length.
        const error = connection.socketError();
        if (!isFramed && error) return fail(error.message);
        isOver = true;
        if (isFramed) connection.release();
        else connection.discard();
        handler.onEnd();
      },
      onResponseError(_controller, error) {
        fail(error.message);
      },
    });
  } catch (error) {
    // The library rejects a request that it can't write before sending it.
    const reason = error instanceof Error ? error.message : String(error);
    queueMicrotask(() => fail(reason));
  }

  return {
    abort() {
      if (isOver) return;
      isOver = true;
      connection.discard();
    },
    pause: () => control?.pause(),
    resume: () => control?.resume(),
  };
}
