import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// Messages between the owners of engine memory and the reapers of engines.

/// One run of the process of one VM.
export const Incarnation = Type.Object({
  vm: Type.String(),
  incarnation: Type.String(),
});
export type Incarnation = Static<typeof Incarnation>;

/// Engine memory that has to be released. A span is a stream and the cache
/// exported from it.
export const EngineClaim = Type.Object({
  engine: Type.String(),
  kind: Type.Union([
    Type.Literal("stream"),
    Type.Literal("span"),
    Type.Literal("reservation"),
  ]),
  id: Type.String(),
  /// Time for which another VM may take it over once its owner has failed.
  graceMilliseconds: Type.Optional(Type.Number({ minimum: 0 })),
});
export type EngineClaim = Static<typeof EngineClaim>;

/// Announces to a reaper what `owner` is about to request from engines. With
/// `all`, the owner holds nothing else.
export const announceCall = defineCall("keeper.announce", {
  request: Type.Object({
    owner: Incarnation,
    claims: Type.Array(EngineClaim),
    all: Type.Boolean(),
  }),
  reply: Type.Object({}),
});

/// Reports to a reaper which of the sender's claims have ended.
export const withdrawMessage = defineMessage(
  "keeper.withdraw",
  Type.Object({ ids: Type.Array(Type.String()) }),
);

/// Queries a VM for those of these owners to which it has a link.
export const linkedOwnersCall = defineCall("keeper.sees", {
  request: Type.Object({ owners: Type.Array(Incarnation) }),
  reply: Type.Object({ seen: Type.Array(Incarnation) }),
});

/// Queries an owner for those of these ids that it holds.
export const heldClaimsCall = defineCall("keeper.holds", {
  request: Type.Object({ ids: Type.Array(Type.String()) }),
  reply: Type.Object({ held: Type.Array(Type.String()) }),
});

/// Reapers of one engine: the first acts, the second is its backup.
const REAPERS_PER_ENGINE = 2;

/// The VMs among `live` that track what `owner` holds of `engine`, the acting
/// one first. An owner is not a reaper of its own claims.
export function reapersOf(
  engine: string,
  { live, owner }: { live: readonly string[]; owner: string },
): readonly string[] {
  const others = live.filter((vm) => vm !== owner);
  return rankByRendezvous(engine, others).slice(0, REAPERS_PER_ENGINE);
}

const ID_SEPARATOR = ":";

/// An id for engine memory that contains its owner; unique over all VMs if
/// `name` is unique in one incarnation.
export function toEngineId(owner: Incarnation, name: string): string {
  return [owner.vm, owner.incarnation, name].join(ID_SEPARATOR);
}

/// The owner that an id contains; undefined for ids of another form.
export function ownerOfEngineId(id: string): Incarnation | undefined {
  const parts = id.split(ID_SEPARATOR);
  if (parts.length < 3) return undefined;
  const vm = parts.slice(0, -2).join(ID_SEPARATOR);
  return { vm, incarnation: parts.at(-2)! };
}

/// Identifies an incarnation in maps and sets.
export function incarnationKey({ vm, incarnation }: Incarnation): string {
  return `${vm}${ID_SEPARATOR}${incarnation}`;
}
