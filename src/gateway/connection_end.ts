import type { Socket } from "node:net";

/// Tells who ended the connection of a caller.

/// Which end closed a connection first.
export type ConnectionEnd = "caller" | "gateway";

/// Errors that show that the other end closed or reset a connection.
const CALLER_ERROR_CODES = new Set(["ECONNRESET", "EPIPE", "ETIMEDOUT"]);

/// Finds out which end closed a connection that is closed.
export function endOfConnection(
  { errored, readableEnded }: Pick<Socket, "errored" | "readableEnded">,
): ConnectionEnd {
  const { code } = (errored ?? {}) as NodeJS.ErrnoException;
  const isFromCaller = readableEnded || CALLER_ERROR_CODES.has(code ?? "");
  return isFromCaller ? "caller" : "gateway";
}
