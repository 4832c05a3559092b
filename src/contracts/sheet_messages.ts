import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";
import { SheetHead } from "./sheet_head.ts";

/// What VMs tell and ask each other about the sheet.

/// The newest revision that a VM knows of and the one in force there.
const RevisionState = Type.Object({
  newest: Type.Integer(),
  inForce: Type.Integer(),
});
export type RevisionState = Static<typeof RevisionState>;

export const RevisionMessage = defineMessage("sheet.revision", RevisionState, {
  replaceKey: () => "revision",
});

/// Asks for the same, and whether the VM has caught up since its start, so
/// that its answer counts.
export const RevisionCall = defineCall("sheet.ask-revision", {
  request: Type.Object({}),
  reply: Type.Object({
    ...RevisionState.properties,
    current: Type.Boolean(),
  }),
});

/// Asks for the newest head that a VM knows.
export const HeadCall = defineCall("sheet.head", {
  request: Type.Object({}),
  reply: Type.Object({ head: Type.Optional(SheetHead) }),
});

/// Asks for chunks. A VM answers with those that it has, up to a limit.
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
