import type { WebSocket } from "ws";
import type { Clock, Timer } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";
import {
  decodeFrames,
  encodeFrame,
  type Frame,
  FRAME_BATCHING_VERSION,
  type VersionRange,
} from "./frame.ts";
import {
  isProven,
  type LinkEndpoint,
  type LinkRole,
  negotiateVersion,
  proveLink,
} from "./handshake.ts";
import {
  createHeartbeatMonitor,
  LINK_IDLE_TIMEOUT_MILLISECONDS,
} from "./heartbeat_monitor.ts";
import { createSendQueue } from "./send_queue.ts";

/// A connection to another VM, with its handshake, heartbeats and send queue.

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;
const NONCE_BYTES = 16;
/// Bytes buffered by the socket above which further frames stay in the send queue.
const MAXIMUM_SOCKET_BUFFER_BYTES = 262_144;
const FLUSH_RETRY_DELAY_MILLISECONDS = 20;
/// Time for which frames that allow it are collected into one WebSocket message.
/// A message costs both ends more than a frame in it.
const BATCH_DELAY_MILLISECONDS = 10;
/// Size from which no further frame is added to a WebSocket message.
const FULL_BATCH_BYTES = 16_384;

export interface LinkConnectionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identity: VmIdentity;
  readonly role: LinkRole;
  readonly versions: VersionRange;
  /// Valid shared secrets, the current one first.
  readonly secrets: readonly string[];
  /// Called once the handshake has succeeded.
  readonly onReady: (peer: VmIdentity) => void;
  readonly onFrame: (frame: Frame) => void;
  readonly onClosed: (reason: string) => void;
}

export interface LinkConnection {
  readonly role: LinkRole;
  /// Queues a frame. It replaces a queued frame with the same key.
  send(frame: Frame, replaceKey?: string): void;
  /// Queues an encoded frame, so that a frame for several connections is encoded
  /// once. With `batch`, it may be delayed to share a WebSocket message with
  /// others.
  sendEncoded(
    bytes: Buffer,
    options?: { readonly replaceKey?: string; readonly batch?: boolean },
  ): void;
  close(reason: string): void;
}

/// Starts the handshake and the heartbeats on an open socket.
export function startLinkConnection(
  socket: WebSocket,
  options: LinkConnectionOptions,
): LinkConnection {
  const { clock, role } = options;
  const startedAt = clock.now();
  const nonce = options.random.hex(NONCE_BYTES);
  const local: LinkEndpoint = { ...options, nonce };
  const queue = createSendQueue();
  const monitor = createHeartbeatMonitor(startedAt);
  let remote: LinkEndpoint | undefined;
  let version = options.versions.oldest;
  let ready = false;
  let closed = false;
  let heartbeatTimer: Timer | undefined;
  let flushTimer: Timer | undefined;

  const write = (frame: Frame) => {
    if (socket.readyState === socket.OPEN) socket.send(encodeFrame(frame));
  };

  const close = (reason: string) => {
    if (closed) return;
    closed = true;
    heartbeatTimer?.cancel();
    flushTimer?.cancel();
    socket.terminate();
    options.onClosed(reason);
  };

  const sendHeartbeat = () => {
    const now = clock.now();
    const handshakeTimedOut = !ready &&
      now - startedAt > LINK_IDLE_TIMEOUT_MILLISECONDS;
    if (handshakeTimedOut || monitor.hasTimedOut(now)) return close("silent");
    if (ready) write({ kind: "heartbeat", ...monitor.nextHeartbeat(now) });
    heartbeatTimer = clock.schedule(
      HEARTBEAT_INTERVAL_MILLISECONDS,
      sendHeartbeat,
    );
  };

  /// Removes the frames of the next WebSocket message from the queue.
  const nextMessage = (): Buffer | undefined => {
    const first = queue.shift();
    if (!first || version < FRAME_BATCHING_VERSION) return first;
    const frames = [first];
    let size = first.length;
    while (size < FULL_BATCH_BYTES) {
      const next = queue.shift();
      if (!next) break;
      frames.push(next);
      size += next.length;
    }
    return frames.length === 1 ? first : Buffer.concat(frames);
  };

  const flush = () => {
    flushTimer = undefined;
    while (socket.bufferedAmount <= MAXIMUM_SOCKET_BUFFER_BYTES) {
      const bytes = nextMessage();
      if (!bytes) return;
      if (socket.readyState === socket.OPEN) socket.send(bytes);
    }
    flushTimer = clock.schedule(FLUSH_RETRY_DELAY_MILLISECONDS, flush);
  };

  const receiveHello = (frame: Frame & { kind: "hello" }) => {
    if (remote) return close("repeated hello");
    if (frame.identity.vm === local.identity.vm) return close("same VM name");
    const negotiated = negotiateVersion(local.versions, frame.versions);
    if (negotiated === undefined) return close("no common protocol version");
    version = negotiated;
    const remoteRole = role === "dialler" ? "acceptor" : "dialler";
    remote = { ...frame, role: remoteRole };
    const ends = { sender: local, receiver: remote };
    write({ kind: "proof", digests: proveLink(options.secrets, ends) });
  };

  const receiveProof = (frame: Frame & { kind: "proof" }) => {
    if (!remote || ready) return close("unexpected proof");
    const ends = { sender: remote, receiver: local };
    const expected = proveLink(options.secrets, ends);
    if (!isProven(frame.digests, expected)) return close("wrong secret");
    ready = true;
    options.onReady(remote.identity);
  };

  const receive = (frame: Frame) => {
    if (frame.kind === "hello") return receiveHello(frame);
    if (frame.kind === "proof") return receiveProof(frame);
    if (!ready) return close("frame before the handshake");
    if (frame.kind === "heartbeat") return monitor.recordHeartbeat(frame);
    options.onFrame(frame);
  };

  socket.on("message", (data: Buffer) => {
    if (closed) return;
    monitor.recordFrame(clock.now());
    try {
      for (const frame of decodeFrames(data)) {
        if (!closed) receive(frame);
      }
    } catch {
      close("malformed frame");
    }
  });
  socket.on("close", () => close("closed by peer"));
  socket.on("error", (error) => close(error.message));
  const { identity, versions } = options;
  write({ kind: "hello", versions, identity, nonce });
  sendHeartbeat();

  const sendEncoded: LinkConnection["sendEncoded"] = (
    bytes,
    { replaceKey, batch } = {},
  ) => {
    if (closed) return;
    queue.push(bytes, replaceKey);
    if (batch) flushTimer ??= clock.schedule(BATCH_DELAY_MILLISECONDS, flush);
    else if (!flushTimer) flush();
  };

  return {
    role,
    sendEncoded,
    send: (frame, replaceKey) =>
      sendEncoded(encodeFrame(frame), { replaceKey }),
    close,
  };
}
