import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { Packr } from "msgpackr";
import { VmIdentity } from "../vms/identity.ts";

/// What crosses a link, and its encoding.

/// The protocol versions that a VM speaks, both ends included.
export const VersionRange = Type.Object({
  oldest: Type.Integer(),
  newest: Type.Integer(),
});
export type VersionRange = Static<typeof VersionRange>;

/// Versions of this program. The newest grows with each change that an older
/// peer would misread; the oldest follows once no such peer is left.
export const LINK_PROTOCOL_VERSIONS: VersionRange = { oldest: 1, newest: 2 };
/// Version from which one message may hold several frames.
export const SEVERAL_FRAMES_VERSION = 2;

const HelloFrame = Type.Object({
  kind: Type.Literal("hello"),
  versions: VersionRange,
  identity: VmIdentity,
  nonce: Type.String(),
});
const ProofFrame = Type.Object({
  kind: Type.Literal("proof"),
  /// One keyed digest for each accepted secret.
  digests: Type.Array(Type.String()),
});
const HeartbeatFrame = Type.Object({
  kind: Type.Literal("heartbeat"),
  sequence: Type.Integer(),
  /// Largest sequence received from the other side.
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
  /// Incarnation that asked; a later one numbers its calls anew.
  to: Type.String(),
  value: Type.Optional(Type.Unknown()),
  error: Type.Optional(Type.String()),
});
const PayloadFrame = Type.Union([MessageFrame, CallFrame, ReplyFrame]);
/// What one VM tells another, directly or over others.
export type PayloadFrame = Static<typeof PayloadFrame>;

const RelayFrame = Type.Object({
  kind: Type.Literal("relay"),
  origin: VmIdentity,
  /// The VM it is for, or undefined for every VM.
  target: Type.Optional(Type.String()),
  /// Unique for each broadcast of an origin.
  id: Type.Integer(),
  /// Links that it may still cross.
  hopsLeft: Type.Integer(),
  payload: PayloadFrame,
});
/// A payload that crosses more than one link.
export type RelayFrame = Static<typeof RelayFrame>;

const PresenceFrame = Type.Object({
  kind: Type.Literal("presence"),
  dataCentre: Type.String(),
  /// VMs of the data centre that the sender reaches.
  members: Type.Array(VmIdentity),
});
/// Which VMs of a data centre can be reached over the sender.
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
  throw new TypeError("not a link frame");
}

/// Reads the frames of one message, but for those of a kind that this version
/// doesn't know; throws when the bytes are no frames.
export function decodeFrames(bytes: Buffer): readonly Frame[] {
  const values: unknown[] = [];
  packr.unpackMultiple(bytes, (value: unknown) => void values.push(value));
  return values.flatMap((value) => checkFrame(value) ?? []);
}
