import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/// Starts the pipelined requests of a connection one after the other. Node.js
/// hands them over at once, but only the first response has a connection: if that
/// closes, the others neither get an answer nor learn that their caller is gone.

/// Calls `start` when the responses before this one have ended, unless the
/// connection closes by then.
export type RequestSequence = (
  message: IncomingMessage,
  response: ServerResponse,
  start: () => void,
) => void;

export function createRequestSequence(): RequestSequence {
  const lastResponses = new WeakMap<Socket, ServerResponse>();
  return ({ socket }, response, start) => {
    const previous = lastResponses.get(socket);
    lastResponses.set(socket, response);
    if (!previous || previous.destroyed) return start();
    previous.once("close", () => {
      if (socket.writable) start();
    });
  };
}
