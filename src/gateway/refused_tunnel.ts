import type { Duplex } from "node:stream";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Requests of callers for tunnels, which a gateway doesn't open.

/// Time in which the caller reads the response and closes the connection.
const CLOSE_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

/// Answers a request for a tunnel. Node.js has given up its connection by then, so
/// nothing else handles its errors or closes it.
export function refuseTunnel(connection: Duplex, clock: Clock): void {
  const timer = clock.schedule(
    CLOSE_TIMEOUT_MILLISECONDS,
    () => connection.destroy(),
  );
  connection.on("close", () => timer.cancel());
  connection.on("error", () => {
    // The caller reset the connection; its "close" event follows.
  });
  connection.resume();
  connection.end(
    "HTTP/1.1 405 Method Not Allowed\r\n" +
      "Connection: close\r\nContent-Length: 0\r\n\r\n",
  );
}
