import { createHmac, timingSafeEqual } from "node:crypto";
import type { WebSocket } from "ws";
import type { Clock, Timer } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";
import {
  decodeFrame,
  encodeFrame,
  type Frame,
  LINK_PROTOCOL_VERSION,
} from "./frame.ts";

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
/// Silence after which a connection counts as lost.
const SILENCE_LIMIT_MILLISECONDS = 2_500;
const NONCE_BYTES = 16;
/// Bytes that may wait in the socket before messages queue here instead.
const SOCKET_BUFFER_BYTES = 262_144;
/// Messages that may queue here; beyond it the oldest is dropped.
const QUEUE_LIMIT = 4_096;
const DRAIN_RETRY_MILLISECONDS = 20;

export interface LinkConnectionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identity: VmIdentity;
  /// Shared secrets that are valid now, the current one first.
  readonly secrets: readonly string[];
  readonly onReady: (peer: VmIdentity) => void;
  readonly onFrame: (frame: Frame) => void;
  readonly onClosed: () => void;
}

/// One authenticated connection to one VM.
export interface LinkConnection {
  /// Queues a frame; one with the same key that still waits is replaced.
  send(frame: Frame, replaceKey?: string): void;
  close(): void;
}

function proofOf(secret: string, nonce: string, identity: VmIdentity): string {
  return createHmac("sha256", secret)
    .update(`${nonce}\n${identity.vm}\n${identity.incarnation}`)
    .digest("hex");
}

function matches(left: string, right: string): boolean {
  const first = Buffer.from(left);
  const second = Buffer.from(right);
  return first.length === second.length && timingSafeEqual(first, second);
}

/// Runs the handshake and the heartbeats on an open socket.
export function startLinkConnection(
  socket: WebSocket,
  options: LinkConnectionOptions,
): LinkConnection {
  const { clock, identity } = options;
  const nonce = options.random.hex(NONCE_BYTES);
  const queue = new Map<string, Frame>();
  let queueOrder = 0;
  let peer: VmIdentity | undefined;
  let ready = false;
  let closed = false;
  let lastHeard = clock.now();
  let heartbeat: Timer | undefined;
  let drain: Timer | undefined;

  const write = (frame: Frame) => {
    if (socket.readyState === socket.OPEN) socket.send(encodeFrame(frame));
  };

  const close = () => {
    if (closed) return;
    closed = true;
    heartbeat?.cancel();
    drain?.cancel();
    socket.terminate();
    options.onClosed();
  };

  const beat = () => {
    if (clock.now() - lastHeard > SILENCE_LIMIT_MILLISECONDS) return close();
    if (ready) write({ kind: "heartbeat" });
    heartbeat = clock.schedule(HEARTBEAT_INTERVAL_MILLISECONDS, beat);
  };

  const flush = () => {
    drain = undefined;
    for (const [key, frame] of queue) {
      if (socket.bufferedAmount > SOCKET_BUFFER_BYTES) {
        drain = clock.schedule(DRAIN_RETRY_MILLISECONDS, flush);
        return;
      }
      queue.delete(key);
      write(frame);
    }
  };

  const receive = (frame: Frame) => {
    if (frame.kind === "hello") {
      if (frame.protocolVersion !== LINK_PROTOCOL_VERSION) return close();
      if (frame.nonce === nonce) return close();
      peer = frame.identity;
      const digests = options.secrets.map((secret) =>
        proofOf(secret, frame.nonce, identity)
      );
      return write({ kind: "proof", digests });
    }
    if (frame.kind === "proof") {
      const from = peer;
      if (!from) return close();
      const expected = options.secrets.map((secret) =>
        proofOf(secret, nonce, from)
      );
      const proven = frame.digests.some((digest) =>
        expected.some((other) => matches(digest, other))
      );
      if (!proven) return close();
      ready = true;
      return options.onReady(from);
    }
    if (!ready) return close();
    if (frame.kind !== "heartbeat") options.onFrame(frame);
  };

  socket.on("message", (data: Buffer) => {
    lastHeard = clock.now();
    try {
      receive(decodeFrame(data));
    } catch {
      close();
    }
  });
  socket.on("close", close);
  socket.on("error", close);
  write({
    kind: "hello",
    protocolVersion: LINK_PROTOCOL_VERSION,
    identity,
    nonce,
  });
  beat();

  return {
    send(frame, replaceKey) {
      const key = replaceKey ?? `#${queueOrder++}`;
      queue.set(key, frame);
      if (queue.size > QUEUE_LIMIT) {
        queue.delete(queue.keys().next().value!);
      }
      if (!drain) flush();
    },
    close,
  };
}
