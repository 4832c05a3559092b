import type { Links } from "../links/links.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { UpstreamLimits } from "../upstreams/upstream_limits.ts";
import { startCellSummaries } from "./cell_summaries.ts";
import type { FleetView } from "./fleet_view.ts";
import { createFreeSlots } from "./free_slots.ts";
import { createInFlightWork, type InFlightWork } from "./in_flight_work.ts";
import { createPlacementDecider } from "./placement_decider.ts";
import { createPlacementOwners } from "./placement_owners.ts";
import {
  createPlacementService,
  type PlacementService,
} from "./placement_service.ts";
import type { UpstreamHealth } from "./upstream_health.ts";
import { createWaitQueue } from "./wait_queue.ts";

/// The parts of a gateway that place requests.

export interface PlacementPartsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly upstreamLimits: UpstreamLimits;
  /// Number of VMs that send to the same upstreams.
  readonly vmCount: () => number;
}

export interface PlacementParts {
  readonly inFlightWork: InFlightWork;
  readonly placements: PlacementService;
  close(): void;
}

export function createPlacementParts(
  options: PlacementPartsOptions,
): PlacementParts {
  const { clock, links, view, health } = options;
  const { dataCentre } = links.self;
  const owners = createPlacementOwners(options);
  const inFlightWork = createInFlightWork({
    clock,
    links,
    owners,
    dataCentreOf: (upstream) => view.upstream(upstream)?.dataCentre,
  });
  inFlightWork.onResults(health.recordReported);
  const freeSlots = createFreeSlots({
    ...options,
    owners,
    inFlightWork,
    dataCentre,
  });
  const waitQueue = createWaitQueue({ clock, capacity: freeSlots.mayPlace });
  const decider = createPlacementDecider({
    ...options,
    inFlightWork,
    waitQueue,
    dataCentre,
  });
  const summaries = startCellSummaries({
    clock,
    links,
    owners,
    services: () => {
      const services = view.routeTable()?.configuration.services ?? [];
      return services.flatMap(({ name, engine }) => engine ? [name] : []);
    },
    countSlots: freeSlots.countLocal,
  });
  const placements = createPlacementService({
    ...options,
    inFlightWork,
    owners,
    decider,
    summaries,
  });
  return { inFlightWork, placements, close: summaries.close };
}
