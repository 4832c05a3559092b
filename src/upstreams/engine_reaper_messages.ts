import { type Static, Type } from "@sinclair/typebox";
import { defineCall, defineMessage } from "../links/message.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";

/// What owners of engine memory and the keepers of engines tell each other.

/// One run of one VM.
export const Incarnation = Type.Object({
  vm: Type.String(),
  incarnation: Type.String(),
});
export type Incarnation = Static<typeof Incarnation>;

/// Engine memory that has to be given back. A span is a stream and the cache
/// exported from it.
export const EngineClaim = Type.Object({
  engine: Type.String(),
  kind: Type.Union([
    Type.Literal("stream"),
    Type.Literal("span"),
    Type.Literal("reservation"),
  ]),
  id: Type.String(),
  /// Time for which another VM may take it over once its owner is gone.
  graceMilliseconds: Type.Optional(Type.Number({ minimum: 0 })),
});
export type EngineClaim = Static<typeof EngineClaim>;

/// Tells a keeper what `owner` is about to ask of engines. With `all`, the
/// owner holds nothing else.
export const announceCall = defineCall("keeper.announce", {
  request: Type.Object({
    owner: Incarnation,
    claims: Type.Array(EngineClaim),
    all: Type.Boolean(),
  }),
  reply: Type.Object({}),
});

/// Tells a keeper which of the sender's claims are over.
export const withdrawMessage = defineMessage(
  "keeper.withdraw",
  Type.Object({ ids: Type.Array(Type.String()) }),
);

/// Asks which of these the asked VM has a link to.
export const linkedOwnersCall = defineCall("keeper.sees", {
  request: Type.Object({ owners: Type.Array(Incarnation) }),
  reply: Type.Object({ seen: Type.Array(Incarnation) }),
});

/// Asks an owner which of these ids it holds.
export const heldClaimsCall = defineCall("keeper.holds", {
  request: Type.Object({ ids: Type.Array(Type.String()) }),
  reply: Type.Object({ held: Type.Array(Type.String()) }),
});

/// Keepers of one engine: the first acts, the second succeeds it.
const KEEPERS_PER_ENGINE = 2;

/// The VMs among `live` that keep what `owner` holds of `engine`, the acting
/// one first. An owner does not keep its own claims.
export function reapersOf(
  engine: string,
  { live, owner }: { live: readonly string[]; owner: string },
): readonly string[] {
  const others = live.filter((vm) => vm !== owner);
  return rankByRendezvous(engine, others).slice(0, KEEPERS_PER_ENGINE);
}

const SEPARATOR = ":";

/// An id for engine memory that names its owner; unique over all VMs if
/// `name` is unique in one incarnation.
export function toEngineId(owner: Incarnation, name: string): string {
  return [owner.vm, owner.incarnation, name].join(SEPARATOR);
}

/// The owner that an id names; undefined for ids of another form.
export function ownerOfEngineId(id: string): Incarnation | undefined {
  const parts = id.split(SEPARATOR);
  if (parts.length < 3) return undefined;
  const vm = parts.slice(0, -2).join(SEPARATOR);
  return { vm, incarnation: parts.at(-2)! };
}

/// A key for maps and sets.
export function incarnationKey({ vm, incarnation }: Incarnation): string {
  return `${vm}${SEPARATOR}${incarnation}`;
}
