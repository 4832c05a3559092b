import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Closes connections of callers that send bytes without end that belong to no
/// request or body: blank lines, sizes of chunks. Node.js parses them without a
/// limit and reports nothing.

const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 250;
/// What a connection may have sent beside requests and bodies. Bytes that wait to
/// be read count too.
const MARGIN_BYTES = 524_288;
const HEAD_BYTES = 65_536;
/// Bytes around each piece of a body: the size of a chunk and line breaks.
const BYTES_AROUND_PIECE = 256;

export interface CallerTraffic {
  /// Records the head of a request.
  recordRequest(message: IncomingMessage): void;
  /// Records a piece of a body that has been read.
  recordPiece(message: IncomingMessage, piece: Uint8Array): void;
}

/// Starts to watch the connections of a server until it is closed. `onEndless` is
/// called for each connection that is closed.
export function watchCallerTraffic(
  server: Server,
  { clock, onEndless }: {
    readonly clock: Clock;
    readonly onEndless: () => void;
  },
): CallerTraffic {
  /// Bytes that each connection may have sent.
  const allowed = new Map<Socket, number>();

  const allow = (socket: Socket, bytes: number) => {
    const before = allowed.get(socket);
    if (before !== undefined) allowed.set(socket, before + bytes);
  };

  const check = () => {
    for (const [socket, bytes] of allowed) {
      if (socket.bytesRead <= bytes) continue;
      onEndless();
      socket.destroy();
    }
    if (server.listening || allowed.size > 0) schedule();
  };
  const schedule = () => clock.schedule(CHECK_INTERVAL_MILLISECONDS, check);
  server.once("listening", schedule);
  server.on("connection", (socket: Socket) => {
    allowed.set(socket, MARGIN_BYTES);
    socket.on("close", () => allowed.delete(socket));
  });

  return {
    recordRequest: ({ socket }) => allow(socket, HEAD_BYTES),
    recordPiece: ({ socket }, { length }) =>
      allow(socket, length + BYTES_AROUND_PIECE),
  };
}
