import { connect, type Socket } from "node:net";
import type { Milliseconds } from "../../src/support/clock.ts";
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

const PATIENT_MILLISECONDS: Milliseconds = 14_000;

/// What a request has beside its path.
export interface RequestFormat {
  /// Further header fields.
  readonly lines?: readonly string[];
  readonly body?: string;
  readonly version?: string;
  readonly key?: string;
  /// Time from its arrival.
  readonly deadline?: Milliseconds;
}

/// The bytes of a request.
export function formatRequest(
  path: string,
  {
    lines = [],
    body = "an order",
    version = "1.1",
    key = API_KEY,
    deadline = 2_500,
  }: RequestFormat = {},
): string {
  return [
    `POST ${path} HTTP/${version}`,
    `Host: ${HOST}`,
    `X-Attempt-Id: bytes-${nextAttempt++}`,
    `X-Deadline-Ms: ${deadline}`,
    `Authorization: Token ${key}`,
    `Content-Length: ${body.length}`,
    ...lines,
    "",
    body,
  ].join("\r\n");
}

/// The same with a deadline that a busy processor doesn't reach.
export function formatPatientRequest(
  path: string,
  format: RequestFormat = {},
): string {
  return formatRequest(path, { deadline: PATIENT_MILLISECONDS, ...format });
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
