import { connect, type Socket } from "node:net";
import { API_KEY, HOST } from "./platform_deployment.ts";

/// A caller's connection to a gateway as bytes, for requests that an HTTP client
/// doesn't send.

export interface CallerConnection {
  readonly socket: Socket;
  /// Writes `text`, one byte for each character.
  send(text: string): void;
  /// Number of status lines received so far, and what they state.
  statuses(): number[];
  /// Everything received so far, one character for each byte.
  received(): string;
  /// Whether the gateway has closed or reset the connection.
  isClosed(): boolean;
}

let nextAttempt = 1;

/// The bytes of a request; `lines` are further header fields.
export function formatRequest(
  path: string,
  { lines = [], body = "an order", version = "1.1", key = API_KEY }: {
    readonly lines?: readonly string[];
    readonly body?: string;
    readonly version?: string;
    readonly key?: string;
  } = {},
): string {
  return [
    `POST ${path} HTTP/${version}`,
    `Host: ${HOST}`,
    `X-Attempt-Id: bytes-${nextAttempt++}`,
    "X-Deadline-Ms: 2500",
    `Authorization: Token ${key}`,
    `Content-Length: ${body.length}`,
    ...lines,
    "",
    body,
  ].join("\r\n");
}

/// The same with a deadline that a busy processor doesn't reach.
export function formatPatientRequest(
  ...parameters: Parameters<typeof formatRequest>
): string {
  return formatRequest(...parameters)
    .replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 14000");
}

export function openCallerConnection(address: string): CallerConnection {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  const chunks: Buffer[] = [];
  let isClosed = false;
  socket.on("data", (chunk: Buffer) => void chunks.push(chunk));
  socket.on("close", () => void (isClosed = true));
  socket.on("error", () => {
    // The gateway reset the connection; the "close" event follows.
  });
  const received = () => Buffer.concat(chunks).toString("latin1");
  return {
    socket,
    send: (text) => void socket.write(Buffer.from(text, "latin1")),
    statuses: () =>
      [...received().matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) =>
        Number(status)
      ),
    received,
    isClosed: () => isClosed,
  };
}
