import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/// A loopback proxy that treats connections as a bad network would.

/// `silent` keeps connections open and carries nothing; `deaf` carries nothing
/// towards the target, `mute` nothing back from it.
export type ProxyMode = "pass" | "slow" | "reset" | "silent" | "deaf" | "mute";

export interface FaultProxy {
  readonly address: string;
  /// Applies to open connections too.
  setMode(mode: ProxyMode): void;
  /// Resets every open connection.
  resetAll(): void;
  close(): void;
}

const SLOW_MILLISECONDS = 120;

export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const [host, port] = target.split(":");
  const sockets = new Set<Socket>();
  let mode: ProxyMode = "pass";

  const carry = (from: Socket, to: Socket, blocked: readonly ProxyMode[]) => {
    const isBlocked = () => mode === "silent" || blocked.includes(mode);
    const later = (action: () => void) => {
      if (mode === "slow") setTimeout(action, SLOW_MILLISECONDS);
      else action();
    };
    from.on("data", (chunk: Buffer) => {
      // What a cut network loses doesn't come later.
      if (!isBlocked()) later(() => to.writable && to.write(chunk));
    });
    from.on("end", () => {
      if (!isBlocked()) later(() => to.end());
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      sockets.delete(from);
      if (!isBlocked()) later(() => to.destroy());
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
    carry(incoming, outgoing, ["deaf"]);
    carry(outgoing, incoming, ["mute"]);
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
