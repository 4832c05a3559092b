import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  dialDirectly,
  type DialFailure,
  type DialResult,
  type OpenSocket,
} from "./dial.ts";
import { watchClose } from "./socket_peer.ts";
import {
  createFrameEncoder,
  TUNNEL_FRAMES,
  TUNNEL_FRAMES_FIELD,
} from "./tunnel_frames.ts";
import { isTunnelAllowed, TUNNEL_VM_FIELD } from "./tunnel_credentials.ts";

/// Opens tunnels to upstreams for VMs that can't reach these. A tunnel is never
/// opened through a third VM, so that there are no loops.

/// A round trip within a region; the VM that asks tries others after it.
const DIAL_TIMEOUT_MILLISECONDS: Milliseconds = 200;
/// Idle time after which a VM that lost its power is noticed by probes.
const KEEP_ALIVE_MILLISECONDS: Milliseconds = 3_000;

const STATUS_LINES = {
  connected: "200 Connection Established",
  forbidden: "403 Forbidden",
  unknown: "404 Not Found",
  refused: "502 Bad Gateway",
  draining: "503 Service Unavailable",
  unavailable: "503 Service Unavailable",
  silent: "504 Gateway Timeout",
} as const satisfies Record<DialFailure | string, string>;

export interface TunnelServerOptions {
  readonly clock: Clock;
  /// The HTTP server that accepts links.
  readonly linkServer: Server;
  readonly openSocket: OpenSocket;
  /// Any of them is accepted.
  readonly secrets: readonly string[];
  /// Whether an upstream has the address and wants requests of this VM.
  readonly mayConnect: (address: string) => boolean;
  /// Whether this VM may be partitioned from upstreams itself, so that failed
  /// connections say nothing about them.
  readonly isPartitioned: () => boolean;
  /// Called for each tunnel that is opened.
  readonly onOpened: () => void;
}

/// The tunnels that other VMs have through this one.
export interface TunnelServer {
  /// Number of open tunnels.
  count(): number;
  /// Opens no tunnel from now on. Whether an upstream refuses connections is still
  /// told: other VMs decide by it whether its process has crashed.
  startDraining(): void;
  /// Closes the tunnels of a VM. One that lost its power closes none itself, and
  /// the connections of its tunnels may stay open for long.
  closeTunnelsOf(vm: string): void;
  /// Closes all tunnels.
  close(): void;
}

interface Tunnel {
  /// Name of the VM that opened it.
  readonly vm: string;
  /// Whether its caller gets frames, and so knows how it ended.
  readonly isFramed: boolean;
}

/// Closes a tunnel so that its end isn't taken for that of the upstream.
function closeTunnel(caller: Socket, { isFramed }: Tunnel) {
  if (isFramed) caller.destroy();
  else caller.resetAndDestroy();
}

/// Copies bytes in both directions until one end closes. A reset of the upstream
/// is passed on as one, since it marks an incomplete response.
function join(caller: Socket, upstream: Socket, isFramed: boolean) {
  const wasClosed = watchClose(upstream);
  const closeUpstream = () => upstream.destroy();
  const resetCaller = () => caller.resetAndDestroy();
  caller.on("end", closeUpstream);
  caller.on("close", closeUpstream);
  upstream.on("error", resetCaller);
  upstream.on("end", () => {
    if (!wasClosed()) resetCaller();
  });
  upstream.on("close", () => {
    if (!wasClosed()) resetCaller();
  });
  caller.pipe(upstream);
  if (!isFramed) return void upstream.pipe(caller);
  const encoder = createFrameEncoder(wasClosed);
  encoder.on("error", resetCaller);
  upstream.pipe(encoder).pipe(caller);
}

/// Starts to accept CONNECT requests on the server of the links.
export function startTunnelServer(options: TunnelServerOptions): TunnelServer {
  const { clock, openSocket, secrets } = options;
  const tunnels = new Map<Socket, Tunnel>();
  let isDraining = false;

  const findRefusal = (address: string, message: IncomingMessage) => {
    const credentials = message.headers["proxy-authorization"];
    if (!isTunnelAllowed(credentials, { secrets, address })) return "forbidden";
    return options.mayConnect(address) ? undefined : "unknown";
  };

  options.linkServer.on("connect", (message: IncomingMessage, stream, head) => {
    const caller = stream as Socket;
    const address = message.url ?? "";
    const isFramed = message.headers[TUNNEL_FRAMES_FIELD] === TUNNEL_FRAMES;
    const fields = isFramed
      ? `${TUNNEL_FRAMES_FIELD}: ${TUNNEL_FRAMES}\r\n`
      : "";
    const respond = (outcome: keyof typeof STATUS_LINES) =>
      caller.write(`HTTP/1.1 ${STATUS_LINES[outcome]}\r\n${fields}\r\n`);
    const vm = String(message.headers[TUNNEL_VM_FIELD] ?? "");
    tunnels.set(caller, { vm, isFramed });
    caller.on("close", () => tunnels.delete(caller));
    caller.on("error", () => {
      // A reset; the close that follows ends the tunnel.
    });
    const refusal = findRefusal(address, message);
    if (refusal) {
      respond(refusal);
      return caller.end();
    }
    const onDialled = (result: DialResult<Socket>) => {
      if (result.kind === "failed") {
        respond(options.isPartitioned() ? "unavailable" : result.failure);
        return caller.end();
      }
      if (isDraining) {
        result.socket.destroy();
        respond("draining");
        return caller.end();
      }
      options.onOpened();
      respond("connected");
      caller.setNoDelay(true);
      caller.setKeepAlive(true, KEEP_ALIVE_MILLISECONDS);
      if (head.length > 0) result.socket.write(head);
      join(caller, result.socket, isFramed);
    };
    const dial = dialDirectly({
      clock,
      openSocket,
      address,
      timeout: DIAL_TIMEOUT_MILLISECONDS,
    }, onDialled);
    caller.on("close", () => dial.cancel());
  });

  return {
    count: () => tunnels.size,
    startDraining: () => void (isDraining = true),
    closeTunnelsOf(vm) {
      for (const [caller, tunnel] of tunnels) {
        if (tunnel.vm === vm) closeTunnel(caller, tunnel);
      }
    },
    close() {
      isDraining = true;
      for (const [caller, tunnel] of tunnels) closeTunnel(caller, tunnel);
    },
  };
}
