import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { RequestSequence } from "./request_sequence.ts";

/// Ends callers' connections on which something arrives that isn't a request, or
/// not in time. Node.js would do so at once, although requests that arrived before
/// it are under way.

const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
const PARSER_CODE_PREFIX = "HPE_";
/// Status lines by error code; the same as those of Node.js.
const STATUS_LINES: Readonly<Record<string, string>> = {
  [TIMEOUT_CODE]: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
};
const OTHER_STATUS_LINE = "400 Bad Request";

/// Handles the errors that a server reports for its connections.
export function handleCallerFaults(
  server: Server,
  sequence: RequestSequence,
): void {
  /// Connections that end once the requests before the fault have.
  const ending = new WeakSet<Socket>();

  /// Refuses the request with the fault, unless its response has begun.
  const refuse = (socket: Socket, code: string) => {
    if (socket.writable && !sequence.current(socket)?.headersSent) {
      const line = STATUS_LINES[code] ?? OTHER_STATUS_LINE;
      socket.write(`HTTP/1.1 ${line}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroySoon();
  };

  const refuseAfterOthers = (socket: Socket, code: string) => {
    const last = sequence.last(socket);
    const isWhole = last?.req.complete;
    // The rest of a late request has arrived.
    const isOver = () =>
      code === TIMEOUT_CODE &&
      (sequence.last(socket) !== last || last?.req.complete !== isWhole);

    const refuseUnlessOver = () => {
      if (socket.destroyed || isOver()) return;
      const current = sequence.current(socket);
      if (!current?.req.complete) return refuse(socket, code);
      current.once("close", refuseWhenRead);
    };
    // Timers run first after a pause of the process: what has arrived is read
    // before callbacks of setImmediate run.
    const refuseWhenRead = () =>
      code === TIMEOUT_CODE
        ? void setImmediate(refuseUnlessOver)
        : refuseUnlessOver();
    refuseWhenRead();
  };

  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const { code = "" } = error;
    const isFault = code === TIMEOUT_CODE ||
      code.startsWith(PARSER_CODE_PREFIX);
    // A caller that has closed its connection reads no response.
    if (!isFault || socket.readableEnded) return void socket.destroy();
    // Node.js counts the time for a head from the start of the connection, which
    // may have been opened before there was a request. It is idle until then.
    if (code === TIMEOUT_CODE && socket.bytesRead === 0) return;
    // What follows a fault in the bytes is one too.
    if (ending.has(socket)) return;
    if (code !== TIMEOUT_CODE) ending.add(socket);
    refuseAfterOthers(socket, code);
  });
}
