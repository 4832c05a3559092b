import { Socket } from "node:net";
import type { Duplex } from "node:stream";

/// Watches how a connection ends. Returns a function that tells whether its other
/// end has closed it in order, which ends a response without a length.
///
/// A reset may arrive together with the last bytes, and then Node.js reports the
/// same end as for a close. The socket has no peer after it.
export function watchClose(connection: Duplex): () => boolean {
  let hasError = false;
  let wasClosed = false;
  connection.on("error", () => void (hasError = true));
  // Node.js keeps the address of a peer once it was read, so that it isn't read
  // before.
  connection.once(
    "end",
    () =>
      void (wasClosed = !(connection instanceof Socket) ||
        connection.remoteAddress !== undefined),
  );
  return () => wasClosed && !hasError;
}
