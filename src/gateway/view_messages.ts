import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { pack, unpack } from "msgpackr";
import type { WatchEvent } from "../infrastructure/key_value_store.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { ReplicaChanges } from "./store_replica.ts";

/// What VMs tell each other of the store's contents.

/// Replies from this size on are compressed, once for all that ask the same. At
/// the fastest level that takes about 2 ms for 150 kB.
const COMPRESSED_BYTES = 4_096;
const COMPRESSION = { level: constants.Z_BEST_SPEED };

/// How far a VM is, twice a second from those that follow the store.
export const revisionMessage = defineMessage(
  "gateway.view.word",
  Type.Object({
    /// Revision up to which the sender knows every change.
    revision: Type.Number(),
    /// Whether it hears changes from the store itself.
    isReader: Type.Boolean(),
  }),
  { replaceKey: () => "word" },
);

/// The last change of a key.
export const Change = Type.Object({
  key: Type.String(),
  revision: Type.Number(),
  /// Absent for a key that is gone.
  value: Type.Optional(Type.Uint8Array()),
});
export type Change = Static<typeof Change>;

/// Changes of the store, as they come.
export const viewChangesMessage = defineMessage(
  "gateway.view.changes",
  Type.Object({
    from: Type.Number(),
    to: Type.Number(),
    /// Time within which upstreams may list themselves again after an outage.
    relisting: Type.Number(),
    /// Whether all changes after `from` are among these.
    isComplete: Type.Boolean(),
    changes: Type.Array(Change),
  }),
);

/// Asks a VM for what has changed after a revision.
export const viewReadCall = defineCall("gateway.view.read", {
  /// Revision up to which the caller knows every change.
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
const areChanges = TypeCompiler.Compile(Type.Array(Change));
/// The answer to such a question.
export type ViewReply = Static<typeof viewReadCall["reply"]>;

/// A change as it is sent.
export function toChange({ kind, value }: WatchEvent): Change {
  const { key, modifiedRevision: revision } = value;
  return kind === "put"
    ? { key, revision, value: value.value }
    : { key, revision };
}

/// A change as the mirror takes it.
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

/// Packs the changes that a VM asked for.
export function packReply(
  { to, isWhole, events }: ReplicaChanges,
  relisting: Milliseconds,
): ViewReply {
  const packed = pack(events.map(toChange));
  const isCompressed = packed.length >= COMPRESSED_BYTES;
  return {
    revision: to,
    relisting,
    isWhole,
    isCompressed,
    body: isCompressed ? deflateRawSync(packed, COMPRESSION) : packed,
  };
}

/// Throws if the body holds no changes.
export function unpackReply(
  { isCompressed, body }: ViewReply,
): readonly Change[] {
  const changes: unknown = unpack(isCompressed ? inflateRawSync(body) : body);
  if (!areChanges.Check(changes)) throw new TypeError("no list of changes");
  return changes;
}
