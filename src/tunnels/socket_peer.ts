import type { Socket } from "node:net";

/// Whether a socket whose other end has ended still has a peer: it has one after a
/// close, and none after a reset. Called at the "end" event, before the socket is
/// closed here; Node.js keeps the address that it has read once.
export function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}
