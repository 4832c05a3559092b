import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/// Starts the pipelined requests of a connection one after the other. Node.js
/// hands them over at once, but only the first response has a connection: if that
/// closes, the others neither get an answer nor learn that their caller is gone.
/// It also hands over what it reads on a connection that this VM has ended, until
/// that is closed: its caller takes such a request for one that isn't run.

export interface RequestSequence {
  /// Calls `start` when the responses before this one have ended, unless the
  /// connection has been ended by then.
  add(
    message: IncomingMessage,
    response: ServerResponse,
    start: () => void,
  ): void;
  /// The response to the request of a connection that has been started and not
  /// ended.
  current(socket: Socket): ServerResponse | undefined;
  /// The response to the last request of a connection.
  last(socket: Socket): ServerResponse | undefined;
}

export function createRequestSequence(): RequestSequence {
  const current = new WeakMap<Socket, ServerResponse>();
  const last = new WeakMap<Socket, ServerResponse>();
  return {
    add({ socket }, response, start) {
      const run = () => {
        if (!socket.writable) return;
        current.set(socket, response);
        response.once("close", () => {
          // The next request may have been started by then.
          if (current.get(socket) === response) current.delete(socket);
        });
        start();
      };
      const previous = last.get(socket);
      last.set(socket, response);
      if (!previous || previous.destroyed) return run();
      previous.once("close", run);
    },
    current: (socket) => current.get(socket),
    last: (socket) => last.get(socket),
  };
}
