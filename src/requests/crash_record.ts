import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";

/// The record of a request that ran on an upstream when it crashed, as VMs report
/// and store it.
export const CrashRecord = Type.Object({
  fingerprint: Type.String(),
  /// Identifies the crash, so that a crash reported twice counts once.
  id: Type.String(),
  age: Type.Number({ minimum: 0 }),
  /// Time for which the request had been on the upstream.
  ran: Type.Optional(Type.Number({ minimum: 0 })),
  /// Whether it was sent there after an earlier upstream had crashed with it.
  isRetry: Type.Optional(Type.Boolean()),
  /// IDs of the parts of the prompt that other requests may share.
  parts: Type.Optional(Type.Array(Type.String())),
  /// The upstream, if VMs number its crashes, and the number of this one.
  numbered: Type.Optional(
    Type.Object({ upstream: Type.String(), number: Type.Number() }),
  ),
});
export type CrashRecord = Static<typeof CrashRecord>;

/// Reports crashes to one VM, which confirms them.
export const reportCall = defineCall("quarantine.mark", {
  request: Type.Object({ marks: Type.Array(CrashRecord) }),
  reply: Type.Object({}),
});

/// Reports crashes without confirmation. Used with hubs, over which a call to
/// each VM would take as many messages as there are VMs.
export const marksMessage = defineMessage(
  "quarantine.marks",
  Type.Object({ marks: Type.Array(CrashRecord) }),
);

/// Reports that a request has completed, and so caused none of these crashes.
export const clearMessage = defineMessage(
  "quarantine.clear",
  Type.Object({
    /// The fingerprint or the key of a part.
    fingerprint: Type.String(),
    ids: Type.Array(Type.String()),
  }),
);
