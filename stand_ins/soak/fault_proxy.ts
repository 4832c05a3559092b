import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/// A loopback proxy that simulates faults of a network.

/// `silent` keeps connections open and forwards no data in either direction.
/// `deaf` drops data to the target, `mute` drops data from it. `held` delivers
/// everything once the mode changes, as after a short network partition.
export type ProxyMode =
  | "pass"
  | "slow"
  | "reset"
  | "silent"
  | "deaf"
  | "mute"
  | "held";

export interface FaultProxy {
  readonly address: string;
  /// Sets the mode of open and future connections, from the IP address `source`
  /// only if one is given.
  setMode(mode: ProxyMode, source?: string): void;
  /// Resets every open connection, from `source` only if one is given.
  resetAll(source?: string): void;
  close(): void;
}

const SLOW_DELAY_MILLISECONDS = 120;

export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const [host, port] = target.split(":");
  /// Open connections, with the IP address of their client.
  const sockets = new Map<Socket, string>();
  const modes = new Map<string, ProxyMode>();
  /// What waits for the end of the mode `held`, by client.
  const held = new Map<string, (() => void)[]>();
  let mode: ProxyMode = "pass";

  const modeOf = (source: string) => modes.get(source) ?? mode;

  const releaseHeld = () => {
    for (const [source, actions] of [...held]) {
      if (modeOf(source) === "held") continue;
      held.delete(source);
      for (const action of actions) action();
    }
  };

  const forward = (
    [from, to]: readonly [Socket, Socket],
    source: string,
    blocked: readonly ProxyMode[],
  ) => {
    const isBlocked = () =>
      modeOf(source) === "silent" || blocked.includes(modeOf(source));
    const runDelayed = (action: () => void) => {
      const current = modeOf(source);
      if (current === "slow") setTimeout(action, SLOW_DELAY_MILLISECONDS);
      else if (current !== "held") action();
      else held.set(source, [...held.get(source) ?? [], action]);
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
    const source = incoming.remoteAddress ?? "";
    if (modeOf(source) === "reset") return void incoming.resetAndDestroy();
    const outgoing = connect({
      host: host!,
      port: Number(port),
      allowHalfOpen: true,
    });
    sockets.set(incoming, source).set(outgoing, source);
    forward([incoming, outgoing], source, ["deaf"]);
    forward([outgoing, incoming], source, ["mute"]);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const resetAll = (source?: string) => {
    for (const [socket, client] of sockets) {
      if (source === undefined || client === source) socket.resetAndDestroy();
    }
  };
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode(next, source) {
      if (source === undefined) mode = next;
      else modes.set(source, next);
      if (next === "reset") resetAll(source);
      releaseHeld();
    },
    resetAll,
    close() {
      server.close();
      for (const socket of sockets.keys()) socket.destroy();
    },
  };
}
