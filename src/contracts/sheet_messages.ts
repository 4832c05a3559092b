import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";
import { SheetHead } from "./sheet_head.ts";

/// Messages and calls between VMs about the sheet.

/// The newest revision known on a VM and the one in force there.
const RevisionState = Type.Object({
  newest: Type.Integer(),
  inForce: Type.Integer(),
});
export type RevisionState = Static<typeof RevisionState>;

export const RevisionMessage = defineMessage("sheet.revision", RevisionState, {
  replaceKey: () => "revision",
});

/// Requests the same state and whether the VM has caught up since its start, so
/// that its reply is conclusive.
export const RevisionCall = defineCall("sheet.ask-revision", {
  request: Type.Object({}),
  reply: Type.Object({
    ...RevisionState.properties,
    current: Type.Boolean(),
  }),
});

/// Requests the newest head known on a VM.
export const HeadCall = defineCall("sheet.head", {
  request: Type.Object({}),
  reply: Type.Object({ head: Type.Optional(SheetHead) }),
});

/// Requests chunks. A VM replies with those that it holds, up to a size limit.
export const ChunksCall = defineCall("sheet.chunks", {
  request: Type.Object({
    hashes: Type.Array(Type.String(), { maxItems: 64 }),
  }),
  reply: Type.Object({
    chunks: Type.Array(
      Type.Object({ hash: Type.String(), bytes: Type.Uint8Array() }),
    ),
  }),
});
