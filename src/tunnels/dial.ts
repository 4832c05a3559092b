import { connect, Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { parseSocketAddress } from "../support/socket_address.ts";

/// Opening of one TCP connection to an upstream.

/// Why no connection was opened. `refused`: the VM of the address responds that
/// no process listens there. `silent`: it doesn't respond. `unavailable`: the VM
/// that was asked for a tunnel can't tell.
export type DialFailure = "refused" | "silent" | "unavailable";

/// A connection to an upstream, or a tunnel to it.
export type UpstreamSocket = Duplex & {
  /// Number of bytes received so far.
  readonly bytesRead: number;
};

/// How opening a connection ended.
export type DialResult<Connection extends UpstreamSocket = UpstreamSocket> =
  | { readonly kind: "connected"; readonly socket: Connection }
  | {
    readonly kind: "failed";
    readonly failure: DialFailure;
    readonly reason: string;
  };

/// A connection that is being opened.
export interface Dial {
  /// Gives up; the result isn't reported. Has no effect after the result.
  cancel(): void;
}

/// Starts a connection to an address and returns its socket. It doesn't throw:
/// the socket emits an error if there is no such address.
export type OpenSocket = (address: string) => Socket;

/// Starts a TCP connection to `host:port`.
export const openTcpSocket: OpenSocket = (address) => {
  const target = parseSocketAddress(address);
  if (!target) return new Socket().destroy(new Error(`no address: ${address}`));
  return connect({ ...target, noDelay: true, keepAlive: false });
};

export interface DirectDialOptions {
  readonly clock: Clock;
  readonly openSocket: OpenSocket;
  readonly address: string;
  readonly timeout: Milliseconds;
}

/// Opens a connection from this VM. Calls `onResult` once, unless cancelled.
export function dialDirectly(
  { clock, openSocket, address, timeout }: DirectDialOptions,
  onResult: (result: DialResult<Socket>) => void,
): Dial {
  const socket = openSocket(address);
  let isSettled = false;
  const settle = (result?: DialResult<Socket>) => {
    if (isSettled) return;
    isSettled = true;
    timer.cancel();
    if (result?.kind !== "connected") socket.destroy();
    if (result) onResult(result);
  };
  const timer = clock.schedule(timeout, () =>
    settle({
      kind: "failed",
      failure: "silent",
      reason: `no connection to ${address} in time`,
    }));
  socket.on("error", (error: NodeJS.ErrnoException) =>
    settle({
      kind: "failed",
      failure: error.code === "ECONNREFUSED" ? "refused" : "silent",
      reason: error.message,
    }));
  socket.once("connect", () => settle({ kind: "connected", socket }));
  return { cancel: () => settle() };
}
