import type { ServerResponse } from "node:http";

/// The one answer to a caller's request.

type AnswerHeaders = readonly [string, string | string[]][];

export interface CallerResponse {
  /// Whether the caller has closed its connection.
  isClosed(): boolean;
  /// Whether bytes of the answer have been sent.
  isStarted(): boolean;
  /// Sends an upstream's answer with its whole body. An answer without a
  /// length (`isFramed` false) is passed on without one, since only its sender
  /// knows whether the end of the connection was its end.
  forward(
    answer: { status: number; headers: AnswerHeaders; isFramed: boolean },
    body: Buffer,
  ): void;
  /// Sends an answer of the gateway's own.
  sendText(status: number, text: string, retryAfterSeconds?: number): void;
  startStream(
    answer: { status: number; headers: AnswerHeaders; isFramed: boolean },
  ): void;
  /// Returns false when the caller reads slower than it is written to.
  write(bytes: Buffer): boolean;
  endStream(): void;
  /// Closes the connection, so that what was sent doesn't look complete.
  abort(): void;
  onDrain(listener: () => void): void;
  /// Calls `listener` if the caller goes away before the answer has ended.
  onDisconnect(listener: () => void): void;
}

export interface CallerResponseOptions {
  /// Whether the connection is to be closed behind the answer.
  readonly closesConnection: () => boolean;
}

export function createCallerResponse(
  response: ServerResponse,
  { closesConnection: closes }: CallerResponseOptions,
): CallerResponse {
  let isGone = false;
  const goneListeners: (() => void)[] = [];
  response.on("close", () => {
    if (response.writableFinished) return;
    isGone = true;
    for (const listener of goneListeners) listener();
  });
  response.on("error", () => {
    // The connection broke; "close" follows and is handled there.
  });
  const writeHead = (status: number, headers: AnswerHeaders) => {
    if (closes()) response.setHeader("Connection", "close");
    for (const [name, value] of headers) response.setHeader(name, value);
    response.writeHead(status);
  };
  return {
    isClosed: () => isGone,
    isStarted: () => response.headersSent,
    forward({ status, headers, isFramed }, body) {
      if (isGone || response.headersSent) return;
      const length = String(body.length);
      response.useChunkedEncodingByDefault = isFramed;
      writeHead(
        status,
        isFramed ? [...headers, ["Content-Length", length]] : headers,
      );
      // A body that is written before the end gets no length of its own.
      response.write(body);
      response.end();
    },
    sendText(status, text, retryAfterSeconds) {
      if (isGone || response.headersSent) return;
      const headers: [string, string][] = [
        ["Content-Type", "text/plain"],
        ["Content-Length", String(Buffer.byteLength(text))],
      ];
      if (retryAfterSeconds !== undefined) {
        headers.push(["Retry-After", retryAfterSeconds.toFixed(2)]);
      }
      writeHead(status, headers);
      response.end(text);
    },
    startStream({ status, headers, isFramed }) {
      if (isGone || response.headersSent) return;
      response.useChunkedEncodingByDefault = isFramed;
      writeHead(status, headers);
    },
    write: (bytes) => isGone || response.write(bytes),
    endStream: () => void response.end(),
    abort: () => void response.destroy(),
    onDrain: (listener) => void response.on("drain", listener),
    onDisconnect: (listener) => void goneListeners.push(listener),
  };
}
