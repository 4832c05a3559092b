import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { pack, unpack } from "msgpackr";
import type { WatchEvent } from "../infrastructure/key_value_store.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { ReplicaChanges } from "./store_replica.ts";

/// Messages between VMs about the store's contents.

/// Replies of at least this size are compressed, once for all VMs that call for
/// the same changes. At the fastest level this takes about 2 ms for 150 kB.
const MINIMUM_COMPRESSED_BYTES = 4_096;
const COMPRESSION_OPTIONS = { level: constants.Z_BEST_SPEED };

/// Reports the revision of a VM's replica. VMs that follow the store send it
/// twice a second.
export const revisionMessage = defineMessage(
  "gateway.view.report",
  Type.Object({
    /// Revision up to which the sender has every change.
    revision: Type.Number(),
    /// Whether the sender receives changes from the store itself.
    isReader: Type.Boolean(),
  }),
  { replaceKey: () => "word" },
);

/// The last change of a key.
export const Change = Type.Object({
  key: Type.String(),
  revision: Type.Number(),
  /// Absent for a deleted key.
  value: Type.Optional(Type.Uint8Array()),
});
export type Change = Static<typeof Change>;

/// Broadcasts new changes of the store.
export const viewChangesMessage = defineMessage(
  "gateway.view.update",
  Type.Object({
    from: Type.Number(),
    to: Type.Number(),
    /// Remaining time in milliseconds for upstreams to list themselves again
    /// after an outage.
    relisting: Type.Number(),
    /// Whether `changes` contains every change after `from`, up to `to`.
    isComplete: Type.Boolean(),
    changes: Type.Array(Change),
  }),
);

/// Requests from a VM the changes after a revision.
export const viewReadCall = defineCall("gateway.view.fetch", {
  /// Revision up to which the calling VM has every change.
  request: Type.Object({ revision: Type.Number() }),
  reply: Type.Object({
    revision: Type.Number(),
    relisting: Type.Number(),
    isWhole: Type.Boolean(),
    isCompressed: Type.Boolean(),
    /// The packed changes.
    body: Type.Uint8Array(),
  }),
});
const changeList = TypeCompiler.Compile(Type.Array(Change));
/// The reply to `viewReadCall`.
export type ViewReply = Static<typeof viewReadCall["reply"]>;

/// Converts a change to its form in messages.
export function toChange({ kind, value }: WatchEvent): Change {
  const { key, modifiedRevision: revision } = value;
  return kind === "put"
    ? { key, revision, value: value.value }
    : { key, revision };
}

/// Converts a change from its form in messages to a store event.
export function toEvent({ key, revision, value }: Change): WatchEvent {
  return {
    kind: value ? "put" : "delete",
    value: {
      key,
      value: value ?? new Uint8Array(),
      modifiedRevision: revision,
      lease: "0",
    },
  };
}

/// Packs the reply to a request for changes.
export function packReply(
  { to, isWhole, events }: ReplicaChanges,
  relisting: Milliseconds,
): ViewReply {
  const packed = pack(events.map(toChange));
  const isCompressed = packed.length >= MINIMUM_COMPRESSED_BYTES;
  return {
    revision: to,
    relisting,
    isWhole,
    isCompressed,
    body: isCompressed ? deflateRawSync(packed, COMPRESSION_OPTIONS) : packed,
  };
}

/// Unpacks the changes of a reply. Throws if the body is not a list of changes.
export function unpackReply(
  { isCompressed, body }: ViewReply,
): readonly Change[] {
  const changes: unknown = unpack(isCompressed ? inflateRawSync(body) : body);
  if (!changeList.Check(changes)) throw new TypeError("not a list of changes");
  return changes;
}
