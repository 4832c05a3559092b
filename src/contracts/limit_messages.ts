import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";

/// What entries and the home of a customer's limits tell each other.

const LimitAmount = Type.Object({
  customer: Type.String(),
  requests: Type.Number(),
  tokens: Type.Number(),
});
/// Requests and tokens that one side asks for or the other grants. A negative
/// amount gives back.
export type LimitAmount = Static<typeof LimitAmount>;

export const ExchangeCall = defineCall("limits.exchange", {
  request: Type.Array(LimitAmount),
  reply: Type.Array(LimitAmount),
});

const LongSlot = Type.Object({
  customer: Type.String(),
  /// Names the request; unique over all VMs.
  slot: Type.String(),
});
/// The place that one long request takes of its customer's limit.
export type LongSlot = Static<typeof LongSlot>;

export const TakeLongCall = defineCall("limits.takeLong", {
  request: LongSlot,
  reply: Type.Object({ granted: Type.Boolean() }),
});

/// Slots whose requests still run.
export const LongHeldMessage = defineMessage(
  "limits.longHeld",
  Type.Array(LongSlot),
);

/// A slot whose request has ended.
export const LongReleasedMessage = defineMessage(
  "limits.longReleased",
  LongSlot,
);
