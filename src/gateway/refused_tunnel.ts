import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RequestSequence } from "./request_sequence.ts";

/// Requests of callers for tunnels, which a gateway doesn't open.

/// Time in which the caller reads the response and closes the connection.
const CLOSE_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

/// Answers a request for a tunnel when those that were read before it have been
/// answered. Node.js has given up its connection by then, so nothing else handles
/// its events or closes it.
export function refuseTunnel(
  connection: Socket,
  { clock, sequence }: {
    readonly clock: Clock;
    readonly sequence: RequestSequence;
  },
): void {
  connection.on("error", () => {
    // The caller reset the connection; its "close" event follows.
  });
  connection.resume();

  const refuse = () => {
    if (!connection.writable) return;
    const timer = clock.schedule(
      CLOSE_TIMEOUT_MILLISECONDS,
      () => connection.destroy(),
    );
    connection.on("close", () => timer.cancel());
    connection.end(
      "HTTP/1.1 405 Method Not Allowed\r\n" +
        "Connection: close\r\nContent-Length: 0\r\n\r\n",
    );
  };

  const last = sequence.last(connection);
  if (!last || last.destroyed) return refuse();
  // A caller that has closed its connection reads no response.
  const leave = () => void connection.destroy();
  connection.once("end", leave);
  connection.on("drain", () => sequence.current(connection)?.emit("drain"));
  last.once("close", () => {
    connection.off("end", leave);
    refuse();
  });
}
