import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Closes callers' connections that have been idle for the idle timeout in force.
/// Node.js would close each after the timeout that was in force at its last
/// request, and when its timer is due, although a request may have arrived during
/// a pause of the process.

/// Time beyond the idle timeout: a request may be on its way. It is the same as
/// that of Node.js.
const MARGIN_MILLISECONDS: Milliseconds = 1_000;

export interface IdleConnections {
  /// Records a response after whose end its connection is idle.
  track(response: ServerResponse): void;
}

/// Takes over the idle timeouts of a server, whose `keepAliveTimeout` may change.
export function startIdleConnections(
  server: Server,
  clock: Clock,
): IdleConnections {
  const idleSince = new WeakMap<Socket, Milliseconds>();

  const close = (socket: Socket) => {
    const { bytesRead } = socket;
    // What has arrived is read before callbacks of setImmediate run.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  };

  server.on("timeout", (socket) => {
    // 0 stands for no timeout.
    if (server.keepAliveTimeout === 0) return;
    const since = idleSince.get(socket) ?? -Infinity;
    const end = since + server.keepAliveTimeout + MARGIN_MILLISECONDS;
    const remaining = Math.ceil(end - clock.now());
    if (remaining > 0) socket.setTimeout(remaining);
    else close(socket);
  });

  return {
    track(response) {
      const { socket } = response;
      if (!socket) return;
      response.once("close", () => idleSince.set(socket, clock.now()));
    },
  };
}
