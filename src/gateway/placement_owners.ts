import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Which VM places requests on the engines of a data centre. Without hubs, each
/// VM places its own requests and reports its work to all others. With hubs, the
/// first hub of a data centre owns the placement on its engines: it knows all
/// work there, because the other VMs ask it for each placement and report the
/// ends of requests only to it.

/// Time for which a hub that hasn't replied is passed over.
const PASSED_OVER_MILLISECONDS: Milliseconds = 1_000;

export interface PlacementOwners {
  /// Whether every VM receives the reports of all others.
  isBroadcast(): boolean;
  /// Name of the owner of a data centre, by default this VM's own; undefined if
  /// no hub can be reached.
  ownerOf(dataCentre?: string): string | undefined;
  /// Whether this VM owns the placement in its data centre.
  isOwner(): boolean;
  /// Passes over a hub that hasn't replied in time.
  passOver(vm: string): void;
}

export interface PlacementOwnersOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly log: Logger;
}

export function createPlacementOwners(
  { clock, links, log }: PlacementOwnersOptions,
): PlacementOwners {
  const passedOverUntil = new Map<string, Milliseconds>();
  const isResponsive = (vm: string) =>
    clock.now() >= (passedOverUntil.get(vm) ?? -Infinity);
  const ownerOf: PlacementOwners["ownerOf"] = (dataCentre) => {
    const hubs = links.hubs(dataCentre) ?? [];
    return hubs.find(isResponsive) ?? hubs[0];
  };
  return {
    isBroadcast: () => links.hubs() === undefined,
    ownerOf,
    isOwner: () => ownerOf() === links.self.vm,
    passOver(vm) {
      if (isResponsive(vm)) log.warn("owner passed over", { owner: vm });
      passedOverUntil.set(vm, clock.now() + PASSED_OVER_MILLISECONDS);
    },
  };
}
