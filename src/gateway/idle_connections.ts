import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Closes callers' connections that have been idle for the idle timeout in force,
/// or for a longer one that the last response stated, also before their first
/// request. Node.js would close each after the timeout that was in force at the end
/// of that response, and when its timer is due, although a request may have arrived
/// during a pause of the process.

/// Time beyond the idle timeout: a request may be on its way. It is the same as
/// that of Node.js.
const MARGIN_MILLISECONDS: Milliseconds = 1_000;

export interface IdleConnections {
  /// Records a request after whose response its connection is idle.
  track(message: IncomingMessage, response: ServerResponse): void;
}

/// Takes over the idle timeouts of a server, whose `keepAliveTimeout` may change.
export function startIdleConnections(
  server: Server,
  clock: Clock,
): IdleConnections {
  /// When a connection became idle, and the idle timeout that was stated then.
  const idle = new WeakMap<
    Socket,
    { readonly since: Milliseconds; readonly stated: Milliseconds }
  >();

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
    const { since, stated } = idle.get(socket) ?? { since: 0, stated: 0 };
    const timeout = Math.max(server.keepAliveTimeout, stated);
    const end = since + timeout + MARGIN_MILLISECONDS;
    const remaining = Math.ceil(end - clock.now());
    if (remaining > 0) socket.setTimeout(remaining);
    else close(socket);
  });

  server.on("connection", (socket) => {
    const stated = server.keepAliveTimeout;
    idle.set(socket, { since: clock.now(), stated });
    socket.setTimeout(stated && stated + MARGIN_MILLISECONDS);
  });

  return {
    track({ socket }, response) {
      // Node.js does so for further requests.
      if (idle.delete(socket)) socket.setTimeout(0);
      const stated = server.keepAliveTimeout;
      response.once(
        "close",
        () => idle.set(socket, { since: clock.now(), stated }),
      );
    },
  };
}
