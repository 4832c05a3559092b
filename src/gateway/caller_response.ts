import type { IncomingMessage, ServerResponse } from "node:http";
import { type ConnectionEnd, endOfConnection } from "./connection_end.ts";

/// The response to a caller's request; each request gets exactly one.

type ResponseHeaders = readonly [string, string | string[]][];

interface ResponseStart {
  readonly status: number;
  readonly headers: ResponseHeaders;
}

export interface CallerResponse {
  /// Whether the connection was closed before the end of the response.
  isClosed(): boolean;
  /// Which end has closed it.
  closedBy(): ConnectionEnd;
  /// Whether bytes of the response have been sent.
  isStarted(): boolean;
  /// Forwards an upstream's response with its complete body, and with its length
  /// also if the upstream stated none.
  forward(head: ResponseStart, body: Buffer): void;
  /// Sends a response that the gateway itself produced.
  sendText(status: number, text: string, retryAfterSeconds?: number): void;
  /// Starts a response of unknown length. It is sent in chunks, so that the end of
  /// this process doesn't look like its end; without them to callers that don't
  /// know chunks.
  startStream(head: ResponseStart): void;
  /// Returns false if the caller reads more slowly than the gateway writes.
  write(bytes: Buffer): boolean;
  endStream(): void;
  /// Closes the connection, so that the partial response doesn't appear
  /// complete. One that isn't framed ends with a plain close, so its connection is
  /// reset. A response that has ended is left alone.
  abort(): void;
  onDrain(listener: () => void): void;
  /// Calls `listener` if the caller disconnects before the response has ended.
  onDisconnect(listener: () => void): void;
  /// Calls `listener` when the response has been sent or its connection closed.
  onClose(listener: () => void): void;
}

export interface CallerResponseOptions {
  /// Whether the connection is to be closed after the response.
  readonly closesConnection: () => boolean;
  /// Reads and discards the rest of a request.
  readonly discardRequest: (message: IncomingMessage) => void;
}

export function createCallerResponse(
  response: ServerResponse,
  { closesConnection, discardRequest }: CallerResponseOptions,
): CallerResponse {
  const { socket } = response.req;
  let isDisconnected = false;
  /// Whether the whole response has been written before the request was read.
  let isWritten = false;
  const disconnectListeners: (() => void)[] = [];
  response.on("close", () => {
    if (response.writableFinished) return;
    isDisconnected = true;
    for (const listener of disconnectListeners) listener();
  });
  response.on("error", () => {
    // The connection failed; the "close" event follows and is handled above.
  });
  const writeHead = (status: number, headers: ResponseHeaders) => {
    // An earlier response may have failed before it was sent.
    for (const name of response.getHeaderNames()) response.removeHeader(name);
    if (closesConnection()) response.setHeader("Connection", "close");
    for (const [name, value] of headers) response.setHeader(name, value);
    response.writeHead(status);
  };
  /// Ends the response once the caller has sent the rest of its request: a
  /// connection that is closed with unread bytes is reset, and what it has not
  /// delivered is lost.
  const endAfterRequest = (text: string) => {
    if (response.req.complete) return void response.end(text);
    isWritten = true;
    response.write(text);
    response.req.once("end", () => response.end());
    discardRequest(response.req);
  };
  return {
    isClosed: () => isDisconnected,
    closedBy: () => endOfConnection(socket),
    isStarted: () => response.headersSent,
    forward({ status, headers }, body) {
      if (isDisconnected || response.headersSent) return;
      writeHead(status, [...headers, ["Content-Length", String(body.length)]]);
      // Node.js adds no Content-Length to a body that is written before end().
      response.write(body);
      response.end();
    },
    sendText(status, text, retryAfterSeconds) {
      if (isDisconnected || response.headersSent) return;
      const headers: [string, string][] = [
        ["Content-Type", "text/plain"],
        ["Content-Length", String(Buffer.byteLength(text))],
      ];
      if (retryAfterSeconds !== undefined) {
        headers.push(["Retry-After", retryAfterSeconds.toFixed(2)]);
      }
      writeHead(status, headers);
      endAfterRequest(text);
    },
    startStream({ status, headers }) {
      if (isDisconnected || response.headersSent) return;
      writeHead(status, headers);
    },
    write: (bytes) => isDisconnected || response.write(bytes),
    endStream: () => void response.end(),
    abort() {
      if (response.writableEnded || isWritten) return;
      const isFramed = response.chunkedEncoding ||
        response.hasHeader("Content-Length");
      if (response.headersSent && !isFramed) {
        response.socket?.resetAndDestroy();
      }
      response.destroy();
    },
    onDrain: (listener) => void response.on("drain", listener),
    onDisconnect: (listener) => void disconnectListeners.push(listener),
    onClose: (listener) => void response.on("close", listener),
  };
}
