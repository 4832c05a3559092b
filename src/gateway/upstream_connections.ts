import { connect, type Socket } from "node:net";
import { Client } from "undici";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Connections to upstreams, kept for further requests. Each carries one
/// request at a time, the one used last first.

/// A new connection takes a round trip and the upstream's own setup, a few
/// milliseconds; a lost first packet is sent again after a second, which is
/// later than another upstream would have answered.
const CONNECT_LIMIT_MILLISECONDS: Milliseconds = 500;
/// Idle time after which a connection is not used if the upstream names none.
const IDLE_LIMIT_MILLISECONDS: Milliseconds = 4_000;
/// Time by which a connection is given up before the upstream closes it.
const IDLE_MARGIN_MILLISECONDS: Milliseconds = 500;
const LONGEST_IDLE_MILLISECONDS: Milliseconds = 60_000;
/// Connections that wait idle at one upstream: it bounds those of all VMs
/// together, and what one VM sends it at a time is a few requests.
const IDLE_CONNECTIONS = 4;
const LARGEST_HEADER_BYTES = 65_536;

/// A connection in use by one request.
export interface UpstreamConnection {
  readonly client: Client;
  /// The error of the socket underneath, which tells a reset from a close.
  socketError(): Error | undefined;
  /// Whether it has carried a request before.
  isReused(): boolean;
  /// Returns the connection, for others to use.
  release(): void;
  /// Closes the connection at once.
  discard(): void;
}

export interface UpstreamConnections {
  /// A connection to `address`; one that has been idle for longer than
  /// `maximumIdle` is not taken.
  acquire(address: string, maximumIdle?: Milliseconds): UpstreamConnection;
  /// Whether `address` accepts connections now.
  acceptsConnections(address: string): Promise<boolean>;
  /// Connections made so far.
  opened(): number;
  /// Closes idle connections to addresses that are no longer in use.
  prune(addresses: ReadonlySet<string>): void;
  close(): void;
}

interface Kept {
  readonly connection: UpstreamConnection;
  readonly idleSince: Milliseconds;
  isClosed: boolean;
}

export function createUpstreamConnections(clock: Clock): UpstreamConnections {
  const idle = new Map<string, Kept[]>();
  const live = new Map<Client, Kept>();
  let opened = 0;

  const openSocket = (
    address: string,
    callback: (error: Error | null, socket: Socket | null) => void,
    noteError: (error: Error | undefined) => void,
  ) => {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    opened += 1;
    noteError(undefined);
    const socket = connect({ host, port, noDelay: true, keepAlive: false });
    let isSettled = false;
    const settle = (error: Error | null) => {
      if (isSettled) return;
      isSettled = true;
      timer.cancel();
      if (error) callback(error, null);
      else callback(null, socket);
    };
    const timer = clock.schedule(CONNECT_LIMIT_MILLISECONDS, () => {
      socket.destroy();
      settle(new Error(`no connection to ${address} in time`));
    });
    socket.on("error", (error) => {
      noteError(error);
      settle(error);
    });
    socket.once("connect", () => settle(null));
  };

  const open = (address: string): UpstreamConnection => {
    let error: Error | undefined;
    let wasReleased = false;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_LIMIT_MILLISECONDS,
      keepAliveMaxTimeout: LONGEST_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      maxHeaderSize: LARGEST_HEADER_BYTES,
      connect: (_options, callback) =>
        openSocket(
          address,
          callback as (error: Error | null, socket: Socket | null) => void,
          (found) => void (error = found),
        ),
    });
    // A client that lost its connection would open another one by itself;
    // a new client is made instead, so that every opening is a decision here.
    client.on("disconnect", () => {
      const kept = live.get(client);
      if (kept) kept.isClosed = true;
    });
    const connection: UpstreamConnection = {
      client,
      socketError: () => error,
      isReused: () => wasReleased,
      release() {
        wasReleased = true;
        const kept = { connection, idleSince: clock.now(), isClosed: false };
        const list = idle.get(address) ?? [];
        idle.set(address, list);
        live.set(client, kept);
        list.push(kept);
        if (list.length > IDLE_CONNECTIONS) {
          list.shift()!.connection.discard();
        }
      },
      discard() {
        live.delete(client);
        client.destroy().catch(() => {
          // Destroying twice is the same as once.
        });
      },
    };
    return connection;
  };

  return {
    acquire(address, maximumIdle = LONGEST_IDLE_MILLISECONDS) {
      const list = idle.get(address) ?? [];
      while (list.length > 0) {
        const kept = list.pop()!;
        const isFresh = clock.now() - kept.idleSince <= maximumIdle;
        if (!kept.isClosed && isFresh) {
          live.delete(kept.connection.client);
          return kept.connection;
        }
        kept.connection.discard();
      }
      return open(address);
    },
    acceptsConnections: (address) =>
      new Promise((resolve) => {
        openSocket(address, (error, socket) => {
          socket?.destroy();
          resolve(error === null);
        }, () => {
          // The callback tells of the error too.
        });
      }),
    opened: () => opened,
    prune(addresses) {
      for (const [address, list] of idle) {
        if (addresses.has(address)) continue;
        idle.delete(address);
        for (const { connection } of list) connection.discard();
      }
    },
    close() {
      for (const list of idle.values()) {
        for (const { connection } of list) connection.discard();
      }
      idle.clear();
    },
  };
}
