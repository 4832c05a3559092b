import { type Static, Type } from "@sinclair/typebox";

/// A running engine or service process, as listed by the platform.
export const Upstream = Type.Object({
  id: Type.String(),
  service: Type.String(),
  /// `host:port`.
  address: Type.String(),
  dataCentre: Type.String(),
  /// Number of requests that it executes at the same time.
  slots: Type.Number(),
  /// Whether it is draining: it stops soon and accepts no new requests.
  isLeaving: Type.Boolean(),
  /// Unix time of its start, which changes when it restarts under the same ID.
  /// It is compared for equality only.
  startedAt: Type.Number(),
  /// Number of the entry, which increases with each write of the upstream.
  sequence: Type.Optional(Type.Number()),
});
export type Upstream = Static<typeof Upstream>;

/// Whether two entries describe the same process, without a restart between.
export function isSameInstance(left: Upstream, right: Upstream): boolean {
  return left.id === right.id && left.startedAt === right.startedAt &&
    left.address === right.address && left.service === right.service;
}
