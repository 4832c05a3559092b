import diagnostics from "node:diagnostics_channel";
import type { Socket } from "node:net";

/// Connections that this process has opened.

const opened = new Set<Socket>();
diagnostics.subscribe("net.client.socket", (message) => {
  const { socket } = message as { socket: Socket };
  opened.add(socket);
  socket.on("close", () => opened.delete(socket));
});

/// Returns the open connections to any of the addresses (`host:port`).
export function openedTo(addresses: readonly string[]): readonly Socket[] {
  return [...opened].filter(({ remoteAddress, remotePort }) =>
    addresses.includes(`${remoteAddress}:${remotePort}`)
  );
}
