import type { Server } from "node:http";
import { WebSocket, WebSocketServer } from "ws";
import type { VmList } from "../platform/vm_list.ts";
import type { Clock, Timer } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { Frame } from "./frame.ts";
import { type LinkConnection, startLinkConnection } from "./link_connection.ts";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "./links.ts";
import { createMessageRouter } from "./message_router.ts";

const DIAL_INTERVAL_MILLISECONDS = 500;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

export interface LinkMeshOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly identity: VmIdentity;
  readonly secrets: readonly string[];
  readonly vmList: VmList;
  /// The HTTP server whose port accepts links.
  readonly server: Server;
}

export interface LinkMesh extends Links {
  close(): void;
}

interface PendingCall {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timer: Timer;
  readonly vm: string;
}

interface ConnectedPeer {
  readonly identity: VmIdentity;
  readonly connection: LinkConnection;
}

/// Keeps one connection to every listed VM. Of each pair, the VM with the
/// smaller name dials.
export function createLinkMesh(options: LinkMeshOptions): LinkMesh {
  const { clock, identity, log } = options;
  const router = createMessageRouter();
  const peers = new Map<string, ConnectedPeer>();
  const dialling = new Set<string>();
  const pendingCalls = new Map<number, PendingCall>();
  const listeners: (() => void)[] = [];
  const stop = new AbortController();
  const webSockets = new WebSocketServer({ server: options.server });
  let nextCall = 0;

  const notify = () => listeners.forEach((listener) => listener());

  const answerCall = async (
    frame: Frame & { kind: "call" },
    peer: ConnectedPeer,
  ) => {
    const { id } = frame;
    try {
      const value = await router.answer(
        frame.name,
        frame.value,
        peer.identity,
      );
      peer.connection.send({ kind: "reply", id, value });
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      peer.connection.send({ kind: "reply", id, error: text });
    }
  };

  const settleCall = (frame: Frame & { kind: "reply" }) => {
    const pending = pendingCalls.get(frame.id);
    if (!pending) return;
    pendingCalls.delete(frame.id);
    pending.timer.cancel();
    if (frame.error === undefined) return pending.resolve(frame.value);
    pending.reject(new LinkUnansweredError(frame.error));
  };

  const failCalls = (vm: string) => {
    for (const [id, pending] of pendingCalls) {
      if (pending.vm !== vm) continue;
      pendingCalls.delete(id);
      pending.timer.cancel();
      pending.reject(new LinkUnansweredError(`lost the link to ${vm}`));
    }
  };

  const attach = (socket: WebSocket, dialled?: string) => {
    let peer: ConnectedPeer | undefined;
    const connection = startLinkConnection(socket, {
      clock,
      random: options.random,
      identity,
      secrets: options.secrets,
      onReady: (from) => {
        peer = { identity: from, connection };
        const previous = peers.get(from.vm);
        peers.set(from.vm, peer);
        previous?.connection.close();
        log.info("link up", { peer: from.vm });
        notify();
      },
      onFrame: (frame) => {
        if (!peer) return;
        if (frame.kind === "message") {
          router.deliver(frame.name, frame.value, peer.identity);
        }
        if (frame.kind === "call") void answerCall(frame, peer);
        if (frame.kind === "reply") settleCall(frame);
      },
      onClosed: () => {
        if (dialled) dialling.delete(dialled);
        if (!peer || peers.get(peer.identity.vm) !== peer) return;
        peers.delete(peer.identity.vm);
        failCalls(peer.identity.vm);
        log.warn("link lost", { peer: peer.identity.vm });
        notify();
      },
    });
  };

  const dial = (name: string, address: string) => {
    dialling.add(name);
    const socket = new WebSocket(`ws://${address}`, {
      perMessageDeflate: false,
    });
    socket.once("error", () => dialling.delete(name));
    socket.once("open", () => attach(socket, name));
  };

  const dialMissing = async () => {
    const listed = await options.vmList.read();
    for (const vm of listed) {
      const wanted = vm.name > identity.vm && vm.state === "live";
      if (!wanted || peers.has(vm.name) || dialling.has(vm.name)) continue;
      dial(vm.name, vm.linkAddress);
    }
  };

  const keepDialling = async () => {
    while (!stop.signal.aborted) {
      await dialMissing().catch((error: Error) =>
        log.warn("VM list unreadable", { reason: error.message })
      );
      await clock.sleep(DIAL_INTERVAL_MILLISECONDS, stop.signal).catch(
        () => {},
      );
    }
  };

  webSockets.on("connection", (socket) => attach(socket));
  void keepDialling();

  return {
    self: identity,
    peers: () => [...peers.values()].map((peer) => peer.identity),
    send(vm, type, value) {
      const peer = peers.get(vm);
      if (!peer) return false;
      const key = type.replaceKey && `${type.name} ${type.replaceKey(value)}`;
      peer.connection.send({ kind: "message", name: type.name, value }, key);
      return true;
    },
    broadcast(type, value) {
      for (const vm of peers.keys()) this.send(vm, type, value);
    },
    call(vm, type, value, limits) {
      const peer = peers.get(vm);
      if (!peer) {
        return Promise.reject(new LinkUnreachableError(`no link to ${vm}`));
      }
      const id = nextCall++;
      const limit = limits?.timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS;
      return new Promise((resolve, reject) => {
        const timer = clock.schedule(limit, () => {
          pendingCalls.delete(id);
          reject(new LinkUnansweredError(`${vm} did not answer`));
        });
        const settle = resolve as (value: unknown) => void;
        pendingCalls.set(id, { resolve: settle, reject, timer, vm });
        peer.connection.send({ kind: "call", id, name: type.name, value });
      });
    },
    onMessage: router.onMessage,
    onCall: router.onCall,
    onPeersChange: (listener) => void listeners.push(listener),
    close() {
      stop.abort(new Error("closed"));
      for (const peer of [...peers.values()]) peer.connection.close();
      webSockets.close();
    },
  };
}
