import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { Packr } from "msgpackr";
import { VmIdentity } from "../vms/identity.ts";

/// The frames that are sent over a link, and their encoding.

/// The link protocol versions that a VM supports, both bounds included.
export const VersionRange = Type.Object({
  oldest: Type.Integer(),
  newest: Type.Integer(),
});
export type VersionRange = Static<typeof VersionRange>;

/// Versions that this program supports. The newest is raised with each change
/// that an older peer would misread, the oldest once no VM needs the versions
/// below it.
export const LINK_PROTOCOL_VERSIONS: VersionRange = { oldest: 1, newest: 2 };
/// Version from which one WebSocket message may contain several frames.
export const FRAME_BATCHING_VERSION = 2;

const HelloFrame = Type.Object({
  kind: Type.Literal("hello"),
  versions: VersionRange,
  identity: VmIdentity,
  nonce: Type.String(),
});
const ProofFrame = Type.Object({
  kind: Type.Literal("proof"),
  /// One HMAC for each accepted secret.
  digests: Type.Array(Type.String()),
});
const HeartbeatFrame = Type.Object({
  kind: Type.Literal("heartbeat"),
  sequence: Type.Integer(),
  /// Largest sequence received from the peer.
  heard: Type.Integer(),
});

const MessageFrame = Type.Object({
  kind: Type.Literal("message"),
  name: Type.String(),
  value: Type.Unknown(),
});
const CallFrame = Type.Object({
  kind: Type.Literal("call"),
  id: Type.Number(),
  name: Type.String(),
  value: Type.Unknown(),
});
const ReplyFrame = Type.Object({
  kind: Type.Literal("reply"),
  id: Type.Number(),
  /// Incarnation that made the call; a later one starts its call ids anew.
  to: Type.String(),
  value: Type.Optional(Type.Unknown()),
  error: Type.Optional(Type.String()),
});
const PayloadFrame = Type.Union([MessageFrame, CallFrame, ReplyFrame]);
/// A message, call or reply from one VM to another, sent directly or relayed.
export type PayloadFrame = Static<typeof PayloadFrame>;

const RelayFrame = Type.Object({
  kind: Type.Literal("relay"),
  origin: VmIdentity,
  /// The receiving VM, or undefined for a broadcast.
  target: Type.Optional(Type.String()),
  /// Unique among the broadcasts of an origin.
  id: Type.Integer(),
  /// Maximum number of further links to be sent over.
  hopsLeft: Type.Integer(),
  payload: PayloadFrame,
});
/// A payload that may be sent over more than one link.
export type RelayFrame = Static<typeof RelayFrame>;

const PresenceFrame = Type.Object({
  kind: Type.Literal("presence"),
  dataCentre: Type.String(),
  /// VMs of the data centre that can be reached over the sender.
  members: Type.Array(VmIdentity),
});
/// An announcement of the VMs of a data centre that can be reached over the
/// sender.
export type PresenceFrame = Static<typeof PresenceFrame>;

const Frame = Type.Union([
  HelloFrame,
  ProofFrame,
  HeartbeatFrame,
  PayloadFrame,
  RelayFrame,
  PresenceFrame,
]);
export type Frame = Static<typeof Frame>;

const frameCheck = TypeCompiler.Compile(Frame);
const KINDS = new Set<string>(
  [
    "hello",
    "proof",
    "heartbeat",
    "message",
    "call",
    "reply",
    "relay",
    "presence",
  ] satisfies Frame["kind"][],
);
const packr = new Packr({ useRecords: false });

export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

function checkFrame(value: unknown): Frame | undefined {
  if (frameCheck.Check(value)) return value;
  const { kind } = (value ?? {}) as { kind?: unknown };
  if (typeof kind === "string" && !KINDS.has(kind)) return undefined;
  throw new TypeError("malformed link frame");
}

/// Decodes the frames of one WebSocket message. Frames of an unknown kind, which
/// newer versions may send, are skipped. Throws if the bytes can't be decoded or
/// a frame is malformed.
export function decodeFrames(bytes: Buffer): readonly Frame[] {
  const values: unknown[] = [];
  packr.unpackMultiple(bytes, (value: unknown) => void values.push(value));
  return values.flatMap((value) => checkFrame(value) ?? []);
}
