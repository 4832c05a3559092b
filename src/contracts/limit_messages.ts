import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";

/// Messages between the VMs and the owner of a customer's limits.

const LimitAmount = Type.Object({
  customer: Type.String(),
  requests: Type.Number(),
  tokens: Type.Number(),
});
/// Requests and tokens that a VM requests or the owner grants. A negative
/// amount is returned to the owner.
export type LimitAmount = Static<typeof LimitAmount>;

export const ExchangeCall = defineCall("limits.exchange", {
  request: Type.Array(LimitAmount),
  reply: Type.Array(LimitAmount),
});

const LongSlot = Type.Object({
  customer: Type.String(),
  /// Identifies the request; unique over all VMs.
  slot: Type.String(),
});
/// A long request's slot in its customer's limit of concurrent long requests.
export type LongSlot = Static<typeof LongSlot>;

export const TakeLongCall = defineCall("limits.takeLong", {
  request: LongSlot,
  reply: Type.Object({ granted: Type.Boolean() }),
});

/// Reports the slots whose requests still run.
export const LongHeldMessage = defineMessage(
  "limits.longHeld",
  Type.Array(LongSlot),
);

/// Releases a slot whose request has ended.
export const LongReleasedMessage = defineMessage(
  "limits.longReleased",
  LongSlot,
);
