import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/// A loopback proxy that simulates faults of a network.

/// `silent` keeps connections open and forwards no data in either direction.
/// `deaf` drops data to the target, `mute` drops data from it.
export type ProxyMode = "pass" | "slow" | "reset" | "silent" | "deaf" | "mute";

export interface FaultProxy {
  readonly address: string;
  /// Sets the mode of open and future connections.
  setMode(mode: ProxyMode): void;
  /// Resets every open connection.
  resetAll(): void;
  close(): void;
}

const SLOW_DELAY_MILLISECONDS = 120;

export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const [host, port] = target.split(":");
  const sockets = new Set<Socket>();
  let mode: ProxyMode = "pass";

  const forward = (from: Socket, to: Socket, blocked: readonly ProxyMode[]) => {
    const isBlocked = () => mode === "silent" || blocked.includes(mode);
    const runDelayed = (action: () => void) => {
      if (mode === "slow") setTimeout(action, SLOW_DELAY_MILLISECONDS);
      else action();
    };
    from.on("data", (chunk: Buffer) => {
      // Data lost while the network is partitioned is not delivered later.
      if (!isBlocked()) runDelayed(() => to.writable && to.write(chunk));
    });
    from.on("end", () => {
      if (!isBlocked()) runDelayed(() => to.end());
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      sockets.delete(from);
      if (!isBlocked()) runDelayed(() => to.destroy());
    });
  };

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    if (mode === "reset") return void incoming.resetAndDestroy();
    const outgoing = connect({
      host: host!,
      port: Number(port),
      allowHalfOpen: true,
    });
    sockets.add(incoming).add(outgoing);
    forward(incoming, outgoing, ["deaf"]);
    forward(outgoing, incoming, ["mute"]);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const resetAll = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode(next) {
      mode = next;
      if (next === "reset") resetAll();
    },
    resetAll,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
