import { Client } from "undici";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  type Reachability,
  REACHABILITY_OF_FAILURES,
  type UpstreamDialler,
} from "../tunnels/upstream_dialler.ts";
import type { UpstreamSocket } from "../tunnels/dial.ts";
import { watchClose } from "../tunnels/socket_peer.ts";
import type { UpstreamPaths } from "../tunnels/upstream_paths.ts";
import { readInSlices } from "./sliced_reads.ts";

/// Connections to upstreams, which are kept for reuse. Each carries one request
/// at a time. The most recently used idle connection is reused first.

/// Time before the upstream's idle timeout at which a connection is closed.
const IDLE_TIMEOUT_MARGIN_MILLISECONDS: Milliseconds = 500;
/// Idle time after which a connection is not reused, whatever the upstream
/// states. Connections may fall silent for good without a reset, which counts as
/// a disruption of three seconds: after these, only connections that have worked
/// since are used.
const MAXIMUM_IDLE_MILLISECONDS: Milliseconds = 2_800;
/// Idle connections that are kept to one upstream. An upstream limits the
/// connections of all VMs together, and one VM sends it only a few requests at
/// a time.
const MAXIMUM_IDLE_CONNECTIONS = 4;
const MAXIMUM_HEADER_BYTES = 65_536;
/// Bytes that are parsed at once on a connection without a request.
const SLICE_BYTES = 4_096;

/// A connection in use by one request.
export interface UpstreamConnection {
  readonly client: Client;
  /// Whether the upstream has closed it in order, which ends a response without a
  /// length.
  wasClosedByUpstream(): boolean;
  /// Number of bytes received on it so far.
  bytesReceived(): number;
  /// Number of these that have been passed to the parser.
  bytesParsed(): number;
  /// Sets how many bytes are parsed at once. `nextSlice` is called before each time
  /// that bytes are parsed, when the earlier ones have been.
  setSlices(nextSlice: () => number): void;
  /// Whether it has carried a request before.
  isReused(): boolean;
  /// Name of the VM through which it goes, if it is a tunnel. Tunnels aren't
  /// kept: that VM could not stop while others keep idle ones through it.
  tunnelVm(): string | undefined;
  /// Why it could not be opened; undefined if it was.
  openingFailure(): Reachability | undefined;
  /// Calls `listener` once the connection is closed and no longer parsed; at once
  /// if it isn't open.
  onClosed(listener: () => void): void;
  /// Returns the connection for reuse by other requests.
  release(): void;
  /// Closes the connection at once.
  discard(): void;
}

/// Which idle connections may be reused.
export interface ReuseOptions {
  /// Maximum idle time.
  readonly maximumIdle?: Milliseconds;
  /// Whether the connection must not have carried any request.
  readonly isNew?: boolean;
}

export interface UpstreamConnections {
  /// Returns a connection to `address`.
  acquire(address: string, options?: ReuseOptions): UpstreamConnection;
  /// Finds out whether `address` accepts connections now. Concurrent calls for
  /// an address share one connection.
  check(address: string): Promise<Reachability>;
  /// Closes idle connections to addresses that are no longer in use.
  prune(addresses: ReadonlySet<string>): void;
  close(): void;
}

interface IdleConnection {
  readonly connection: UpstreamConnection;
  readonly idleSince: Milliseconds;
  isClosed: boolean;
}

export interface UpstreamConnectionsOptions {
  readonly clock: Clock;
  readonly paths: UpstreamPaths;
  readonly dialler: UpstreamDialler;
}

export function createUpstreamConnections(
  { clock, paths, dialler }: UpstreamConnectionsOptions,
): UpstreamConnections {
  const idleByAddress = new Map<string, IdleConnection[]>();
  const idleByClient = new Map<Client, IdleConnection>();
  /// Checks in progress by address.
  const checks = new Map<string, Promise<Reachability>>();

  const open = (address: string): UpstreamConnection => {
    let wasClosed = () => false;
    let nextSlice = () => SLICE_BYTES;
    let wasReleased = false;
    let wasDiscarded = false;
    let tunnelVm: string | undefined;
    let openingFailure: Reachability | undefined;
    let socket: UpstreamSocket | undefined;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: MAXIMUM_IDLE_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MILLISECONDS,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      connect: (_options, callback) => {
        const settle = callback as (
          error: Error | null,
          socket: UpstreamSocket | null,
        ) => void;
        dialler.dial(address, (result) => {
          if (result.kind === "failed") {
            openingFailure = REACHABILITY_OF_FAILURES[result.failure];
            return settle(new Error(result.reason), null);
          }
          ({ socket, tunnelVm } = result);
          wasClosed = watchClose(socket);
          if (wasDiscarded) socket.destroy();
          readInSlices(socket, () => {
            const slice = nextSlice();
            return wasDiscarded ? 0 : slice;
          });
          settle(null, socket);
        });
      },
    });
    // A disconnected client would reconnect by itself. It is marked as closed
    // and replaced by a new client, so that connections are opened only here.
    client.on("disconnect", () => {
      const entry = idleByClient.get(client);
      if (entry) entry.isClosed = true;
    });
    const connection: UpstreamConnection = {
      client,
      wasClosedByUpstream: () => wasClosed(),
      bytesReceived: () => socket?.bytesRead ?? 0,
      bytesParsed: () => socket ? socket.bytesRead - socket.readableLength : 0,
      setSlices: (callback) => void (nextSlice = callback),
      isReused: () => wasReleased,
      tunnelVm: () => tunnelVm,
      openingFailure: () => openingFailure,
      onClosed(listener) {
        if (!socket || socket.closed) listener();
        else socket.once("close", listener);
      },
      release() {
        if (tunnelVm !== undefined) return connection.discard();
        wasReleased = true;
        const entry = { connection, idleSince: clock.now(), isClosed: false };
        const entries = idleByAddress.get(address) ?? [];
        idleByAddress.set(address, entries);
        idleByClient.set(client, entry);
        entries.push(entry);
        if (entries.length > MAXIMUM_IDLE_CONNECTIONS) {
          entries.shift()!.connection.discard();
        }
      },
      discard() {
        wasDiscarded = true;
        idleByClient.delete(client);
        client.destroy().catch(() => {
          // A second destroy() has no further effect.
        });
      },
    };
    return connection;
  };

  return {
    acquire(address, options = {}) {
      if (options.isNew) return open(address);
      const { maximumIdle = MAXIMUM_IDLE_MILLISECONDS } = options;
      const entries = idleByAddress.get(address) ?? [];
      while (entries.length > 0) {
        const entry = entries.pop()!;
        const isFresh = clock.now() - entry.idleSince <= maximumIdle;
        if (!entry.isClosed && isFresh && paths.mayReuse(address)) {
          idleByClient.delete(entry.connection.client);
          return entry.connection;
        }
        entry.connection.discard();
      }
      return open(address);
    },
    check(address) {
      const check = checks.get(address) ??
        dialler.check(address).finally(() => void checks.delete(address));
      checks.set(address, check);
      return check;
    },
    prune(addresses) {
      paths.prune(addresses);
      for (const [address, entries] of idleByAddress) {
        if (addresses.has(address)) continue;
        idleByAddress.delete(address);
        for (const { connection } of entries) connection.discard();
      }
    },
    close() {
      for (const entries of idleByAddress.values()) {
        for (const { connection } of entries) connection.discard();
      }
      idleByAddress.clear();
    },
  };
}
