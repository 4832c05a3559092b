import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Packr } from "msgpackr";
import { VmIdentity } from "../vms/identity.ts";

/// Version of the frames below. A peer with another version is refused.
export const LINK_PROTOCOL_VERSION = 1;

const HelloFrame = Type.Object({
  kind: Type.Literal("hello"),
  protocolVersion: Type.Number(),
  identity: VmIdentity,
  nonce: Type.String(),
});
const ProofFrame = Type.Object({
  kind: Type.Literal("proof"),
  /// One keyed digest for each accepted secret.
  digests: Type.Array(Type.String()),
});
const HeartbeatFrame = Type.Object({ kind: Type.Literal("heartbeat") });
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
  value: Type.Optional(Type.Unknown()),
  error: Type.Optional(Type.String()),
});

const Frame = Type.Union([
  HelloFrame,
  ProofFrame,
  HeartbeatFrame,
  MessageFrame,
  CallFrame,
  ReplyFrame,
]);
/// Everything that crosses a link.
export type Frame = Static<typeof Frame>;

const packr = new Packr({ useRecords: false });

export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/// Throws when the bytes are no frame.
export function decodeFrame(bytes: Buffer): Frame {
  return Value.Parse(Frame, packr.unpack(bytes));
}
