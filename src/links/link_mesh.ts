import type { Server } from "node:http";
import { type WebSocket, WebSocketServer } from "ws";
import type { VmList } from "../infrastructure/vm_list.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";
import { SOCKET_OPTIONS, startDialler } from "./dialler.ts";
import { createDirectPeers, type DirectPeer } from "./direct_peers.ts";
import {
  type Frame,
  LINK_PROTOCOL_VERSIONS,
  type PayloadFrame,
  type VersionRange,
} from "./frame.ts";
import type { LinkRole } from "./handshake.ts";
import { type LinkConnection, startLinkConnection } from "./link_connection.ts";
import { type Links, LinkUnreachableError } from "./links.ts";
import type { MessageType } from "./message.ts";
import { createMessageRouter } from "./message_router.ts";
import { createPendingCalls } from "./pending_calls.ts";
import { createPresenceAnnouncer } from "./presence_announcer.ts";
import { createPresenceTable } from "./presence_table.ts";
import { createRelay } from "./relay.ts";
import {
  BridgeTopology,
  type LinkTopology,
  MAXIMUM_FULL_MESH_VMS,
} from "./topology.ts";

/// This VM's links: its direct connections, and relaying to VMs without one.

const CALL_TIMEOUT_MILLISECONDS = 1_000;

export interface LinkMeshOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly identity: VmIdentity;
  readonly secrets: readonly string[];
  readonly vmList: VmList;
  /// The HTTP server that accepts links.
  readonly server: Server;
  /// Supported protocol versions; by default `LINK_PROTOCOL_VERSIONS`.
  readonly versions?: VersionRange;
  /// Number of VMs up to which all connect to each other.
  readonly maximumFullMeshVms?: number;
  /// Selects the links above that number; by default `BridgeTopology`.
  readonly topology?: LinkTopology;
  /// Called with the name of each frame or message that a link receives, whether
  /// it is for this VM or passed on.
  readonly onReceived?: (name: string) => void;
}

export interface LinkMesh extends Links {
  close(): void;
}

function replaceKeyFor(type: MessageType<never>, value: unknown) {
  const key = type.replaceKey?.(value as never);
  return key === undefined ? undefined : `${type.name} ${key}`;
}

function nameOfFrame(frame: Frame): string {
  if (frame.kind === "relay") return nameOfFrame(frame.payload);
  return "name" in frame ? frame.name : frame.kind;
}

export function createLinkMesh(options: LinkMeshOptions): LinkMesh {
  const { clock, identity, log } = options;
  const router = createMessageRouter();
  const directPeers = createDirectPeers(identity);
  const presence = createPresenceTable();
  const calls = createPendingCalls(clock);
  const connections = new Set<LinkConnection>();
  const listeners: (() => void)[] = [];
  const webSockets = new WebSocketServer({
    server: options.server,
    ...SOCKET_OPTIONS,
  });
  let reachable = new Map<string, VmIdentity>();

  const handleCall = async (
    { id, name, value }: PayloadFrame & { kind: "call" },
    from: VmIdentity,
  ) => {
    const to = from.incarnation;
    try {
      const reply = await router.handleCall(name, value, from);
      relay.send(from.vm, { kind: "reply", id, to, value: reply });
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      relay.send(from.vm, { kind: "reply", id, to, error: text });
    }
  };

  const deliver = (payload: PayloadFrame, from: VmIdentity) => {
    if (payload.kind === "call") return void handleCall(payload, from);
    if (payload.kind === "reply") {
      if (payload.to === identity.incarnation) calls.settle(payload);
      return;
    }
    router.deliver(payload.name, payload.value, from);
  };

  const hubs = (dataCentre = identity.dataCentre) => {
    if (!dialler.isSparse()) return undefined;
    return dialler.selection().hubs?.get(dataCentre)?.filter((vm) =>
      vm === identity.vm || directPeers.get(vm)
    );
  };

  /// Whether this VM forwards messages for others; undefined without hubs.
  const isHub = () => hubs()?.includes(identity.vm);

  const relay = createRelay({
    self: identity,
    peers: directPeers,
    presence,
    isHub,
    deliver,
  });

  /// Updates the reachable VMs, and calls the listeners if they have changed.
  const updateReachable = () => {
    const earlier = reachable;
    reachable = new Map();
    const peers = directPeers.all().map((peer) => peer.identity);
    for (const peer of [...presence.members(), ...peers]) {
      if (peer.vm !== identity.vm) reachable.set(peer.vm, peer);
    }
    relay.updateForwarders();
    announcer.schedule();
    const isSame = earlier.size === reachable.size &&
      [...reachable.values()].every((peer) =>
        earlier.get(peer.vm)?.incarnation === peer.incarnation
      );
    if (isSame) return;
    for (const vm of earlier.keys()) if (!reachable.has(vm)) calls.fail(vm);
    listeners.forEach((listener) => listener());
  };

  const receive = (frame: Frame, from: VmIdentity) => {
    if (frame.kind === "relay") return relay.receive(frame, from);
    if (frame.kind === "presence") {
      presence.set(from, frame.dataCentre, frame.members);
      return updateReachable();
    }
    const isPayload = frame.kind === "message" || frame.kind === "call" ||
      frame.kind === "reply";
    if (isPayload) deliver(frame, from);
  };

  const handleDisconnect = (peer: DirectPeer, reason: string) => {
    if (!directPeers.remove(peer)) return;
    log.warn("link closed", { peer: peer.identity.vm, reason });
    presence.remove(peer.identity.vm);
    calls.fail(peer.identity.vm);
    updateReachable();
  };

  const startConnection = (
    socket: WebSocket,
    role: LinkRole,
    dialled?: { readonly vm: string; readonly onClosed: () => void },
  ) => {
    let peer: DirectPeer | undefined;
    const connection = startLinkConnection(socket, {
      clock,
      random: options.random,
      identity,
      role,
      versions: options.versions ?? LINK_PROTOCOL_VERSIONS,
      secrets: options.secrets,
      onReady: (from) => {
        if (dialled && dialled.vm !== from.vm) {
          return connection.close("another VM answered at the address");
        }
        const candidate = {
          identity: from,
          connection,
          connectedAt: clock.now(),
        };
        if (!directPeers.add(candidate)) return connection.close("superfluous");
        peer = candidate;
        log.info("link established", { peer: from.vm });
        updateReachable();
      },
      onFrame: (frame) => {
        if (!peer) return;
        options.onReceived?.(nameOfFrame(frame));
        receive(frame, peer.identity);
      },
      onClosed: (reason) => {
        connections.delete(connection);
        dialled?.onClosed();
        if (peer) handleDisconnect(peer, reason);
        else log.info("link not made", { reason, vm: dialled?.vm });
      },
    });
    connections.add(connection);
  };

  const dialler = startDialler({
    clock,
    log,
    self: identity,
    vmList: options.vmList,
    peers: directPeers,
    maximumFullMeshVms: options.maximumFullMeshVms ?? MAXIMUM_FULL_MESH_VMS,
    topology: options.topology ?? new BridgeTopology(),
    onOpen: (socket, vm, onClosed) =>
      startConnection(socket, "dialler", { vm, onClosed }),
  });
  const announcer = createPresenceAnnouncer({
    clock,
    self: identity,
    peers: directPeers,
    presence,
    isSparse: dialler.isSparse,
    isHub,
  });
  // The HTTP server's errors are emitted here as well; the code that listens on
  // that server handles them.
  webSockets.on("error", (error) => {
    log.warn("link server failed", { reason: error.message });
  });
  webSockets.on("connection", (socket) => startConnection(socket, "acceptor"));

  return {
    self: identity,
    peers: () => [...reachable.values()],
    neighbours: () => directPeers.all().map((peer) => peer.identity),
    hubs,
    send(vm, type, value) {
      const payload = { kind: "message" as const, name: type.name, value };
      return relay.send(vm, payload, replaceKeyFor(type as never, value));
    },
    broadcast(type, value) {
      const payload = { kind: "message" as const, name: type.name, value };
      const replaceKey = replaceKeyFor(type as never, value);
      if (dialler.isSparse()) return relay.flood(payload, replaceKey);
      relay.sendEach(reachable.keys(), { payload, replaceKey });
    },
    call(vm, type, value, callOptions) {
      if (!reachable.has(vm)) {
        return Promise.reject(new LinkUnreachableError(`no link to ${vm}`));
      }
      const timeout = callOptions?.timeoutMilliseconds ??
        CALL_TIMEOUT_MILLISECONDS;
      return calls.open(vm, timeout, (id) => {
        relay.send(vm, { kind: "call", id, name: type.name, value });
      }) as Promise<never>;
    },
    onMessage: router.onMessage,
    onCall: router.onCall,
    onPeersChange: (listener) => void listeners.push(listener),
    close() {
      dialler.close();
      announcer.close();
      for (const connection of [...connections]) connection.close("closed");
      webSockets.close();
    },
  };
}
