import type { WebSocket } from "ws";
import type { Clock, Timer } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";
import {
  decodeFrames,
  encodeFrame,
  type Frame,
  SEVERAL_FRAMES_VERSION,
  type VersionRange,
} from "./frame.ts";
import {
  isProven,
  type LinkEnd,
  type LinkRole,
  negotiateVersion,
  proveLink,
} from "./handshake.ts";
import {
  createHeartbeatMonitor,
  SILENCE_LIMIT_MILLISECONDS,
} from "./heartbeat_monitor.ts";
import { createSendQueue } from "./send_queue.ts";

/// One connection to one VM: its handshake, its heartbeats and its queue.

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;
const NONCE_BYTES = 16;
/// Bytes that may wait in the socket before frames queue here instead.
const SOCKET_BUFFER_BYTES = 262_144;
const DRAIN_RETRY_MILLISECONDS = 20;
/// Time in which frames that may wait are gathered into one message. A message
/// costs both ends more than a frame in it.
const GATHER_MILLISECONDS = 10;
/// Size from which a message takes no further frame.
const FULL_MESSAGE_BYTES = 16_384;

export interface LinkConnectionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identity: VmIdentity;
  readonly role: LinkRole;
  readonly versions: VersionRange;
  /// Shared secrets that are valid now, the current one first.
  readonly secrets: readonly string[];
  readonly onReady: (peer: VmIdentity) => void;
  readonly onFrame: (frame: Frame) => void;
  readonly onClosed: (reason: string) => void;
}

export interface LinkConnection {
  readonly role: LinkRole;
  /// Queues a frame; one with the same key that still waits is replaced.
  send(frame: Frame, replaceKey?: string): void;
  /// Queues a frame that has been encoded, as for several connections.
  sendEncoded(
    bytes: Buffer,
    options?: { readonly replaceKey?: string; readonly mayWait?: boolean },
  ): void;
  close(reason: string): void;
}

/// Runs the handshake and the heartbeats on an open socket.
export function startLinkConnection(
  socket: WebSocket,
  options: LinkConnectionOptions,
): LinkConnection {
  const { clock, role } = options;
  const startedAt = clock.now();
  const nonce = options.random.hex(NONCE_BYTES);
  const own: LinkEnd = { ...options, nonce };
  const queue = createSendQueue();
  const monitor = createHeartbeatMonitor(startedAt);
  let other: LinkEnd | undefined;
  let version = options.versions.oldest;
  let ready = false;
  let closed = false;
  let heartbeat: Timer | undefined;
  let drain: Timer | undefined;

  const write = (frame: Frame) => {
    if (socket.readyState === socket.OPEN) socket.send(encodeFrame(frame));
  };

  const close = (reason: string) => {
    if (closed) return;
    closed = true;
    heartbeat?.cancel();
    drain?.cancel();
    socket.terminate();
    options.onClosed(reason);
  };

  const beat = () => {
    const now = clock.now();
    const isLate = !ready && now - startedAt > SILENCE_LIMIT_MILLISECONDS;
    if (isLate || monitor.isSilent(now)) return close("silent");
    if (ready) write({ kind: "heartbeat", ...monitor.next(now) });
    heartbeat = clock.schedule(HEARTBEAT_INTERVAL_MILLISECONDS, beat);
  };

  /// The next frames that fit one message.
  const nextMessage = (): Buffer | undefined => {
    const first = queue.shift();
    if (!first || version < SEVERAL_FRAMES_VERSION) return first;
    const frames = [first];
    let size = first.length;
    while (size < FULL_MESSAGE_BYTES) {
      const next = queue.shift();
      if (!next) break;
      frames.push(next);
      size += next.length;
    }
    return frames.length === 1 ? first : Buffer.concat(frames);
  };

  const flush = () => {
    drain = undefined;
    while (socket.bufferedAmount <= SOCKET_BUFFER_BYTES) {
      const bytes = nextMessage();
      if (!bytes) return;
      if (socket.readyState === socket.OPEN) socket.send(bytes);
    }
    drain = clock.schedule(DRAIN_RETRY_MILLISECONDS, flush);
  };

  const receiveHello = (frame: Frame & { kind: "hello" }) => {
    if (other) return close("second hello");
    if (frame.identity.vm === own.identity.vm) return close("own name");
    const common = negotiateVersion(own.versions, frame.versions);
    if (common === undefined) return close("no common protocol version");
    version = common;
    const otherRole = role === "dialler" ? "acceptor" : "dialler";
    other = { ...frame, role: otherRole };
    const ends = { sender: own, receiver: other };
    write({ kind: "proof", digests: proveLink(options.secrets, ends) });
  };

  const receiveProof = (frame: Frame & { kind: "proof" }) => {
    if (!other || ready) return close("proof out of turn");
    const ends = { sender: other, receiver: own };
    const expected = proveLink(options.secrets, ends);
    if (!isProven(frame.digests, expected)) return close("wrong secret");
    ready = true;
    options.onReady(other.identity);
  };

  const receive = (frame: Frame) => {
    if (frame.kind === "hello") return receiveHello(frame);
    if (frame.kind === "proof") return receiveProof(frame);
    if (!ready) return close("no handshake");
    if (frame.kind === "heartbeat") return monitor.noteHeartbeat(frame);
    options.onFrame(frame);
  };

  socket.on("message", (data: Buffer) => {
    if (closed) return;
    monitor.noteFrame(clock.now());
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
  beat();

  const sendEncoded: LinkConnection["sendEncoded"] = (
    bytes,
    { replaceKey, mayWait } = {},
  ) => {
    if (closed) return;
    queue.push(bytes, replaceKey);
    if (mayWait) drain ??= clock.schedule(GATHER_MILLISECONDS, flush);
    else if (!drain) flush();
  };

  return {
    role,
    sendEncoded,
    send: (frame, replaceKey) =>
      sendEncoded(encodeFrame(frame), { replaceKey }),
    close,
  };
}
