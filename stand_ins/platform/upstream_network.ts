import { connect, Socket } from "node:net";
import { type OpenSocket, openTcpSocket } from "../../src/tunnels/dial.ts";

/// The network between one gateway and all upstreams, which can be partitioned.

/// What happens to connections in a partition. `reset` closes them and refuses
/// new ones, `refuse` only refuses new ones, in `hang` new ones get no response,
/// and in a `silent` one neither existing nor new connections do.
export type Partition = "reset" | "refuse" | "hang" | "silent";

/// The network of one gateway.
export interface UpstreamNetwork {
  readonly open: OpenSocket;
  /// Begins a partition from all upstreams, or from that at `address` for new
  /// connections.
  partition(kind: Partition, address?: string): void;
  /// Ends the partition. Connections that were silent stay so.
  heal(): void;
}

/// Nothing listens on this port.
const CLOSED_PORT = 1;

/// Makes a socket lose all bytes in both directions.
export function silence(socket: Socket): void {
  socket.push = () => true;
  socket.read = () => null;
  socket.write = () => true;
}

export function createUpstreamNetwork(): UpstreamNetwork {
  const sockets = new Set<Socket>();
  let current: Partition | undefined;
  let partitioned: string | undefined;

  const openPartitioned = () =>
    current === "silent" || current === "hang"
      ? new Socket()
      : connect({ host: "127.0.0.1", port: CLOSED_PORT });

  return {
    open(address) {
      if (current && (partitioned ?? address) === address) {
        return openPartitioned();
      }
      const socket = openTcpSocket(address);
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      return socket;
    },
    partition(kind, address) {
      current = kind;
      partitioned = address;
      if (kind === "refuse" || kind === "hang") return;
      for (const socket of sockets) {
        if (kind === "silent") silence(socket);
        else socket.destroy(new Error("read ECONNRESET"));
      }
    },
    heal: () => void (current = undefined),
  };
}
