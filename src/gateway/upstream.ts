import { type Static, Type } from "@sinclair/typebox";

/// One running engine or service process as the platform lists it.
export const Upstream = Type.Object({
  id: Type.String(),
  service: Type.String(),
  /// `host:port`.
  address: Type.String(),
  dataCentre: Type.String(),
  /// Requests that it works on at the same time.
  slots: Type.Number(),
  /// Whether it is about to stop and takes nothing new.
  isLeaving: Type.Boolean(),
  /// Unix time of its start; a restart under the same id has a new one. It is
  /// compared for equality only.
  startedAt: Type.Number(),
});
export type Upstream = Static<typeof Upstream>;

/// Whether two entries are of the same run of the same process.
export function isSameInstance(one: Upstream, other: Upstream): boolean {
  return one.id === other.id && one.startedAt === other.startedAt &&
    one.address === other.address && one.service === other.service;
}
