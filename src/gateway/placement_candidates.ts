import type { UpstreamLimits } from "../upstreams/upstream_limits.ts";
import type { Service } from "./configuration.ts";
import type { FleetView } from "./fleet_view.ts";
import type { InFlightWork } from "./in_flight_work.ts";
import type { Candidate } from "./placement.ts";
import type { PlacementQuery } from "./placement_decision.ts";
import type { Upstream } from "./upstream.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

/// Which upstreams a request may be placed on, with what this VM knows of them.

/// Share of an upstream's maximum connections that requests may use. The rest
/// is for idle connections and for requests that other VMs have just started.
/// Beyond its maximum an upstream resets connections, and requests on them
/// fail.
const USABLE_CONNECTIONS_RATIO = 0.7;

/// Which upstreams a decision may use, and whether the request may wait.
export interface DecisionScope {
  /// Data centre whose engines are used; all if undefined. Calls to services
  /// without an engine profile may always go to any data centre.
  readonly dataCentre?: string;
  /// Whether a short prompt may wait for a slot.
  readonly mayWait: boolean;
}

/// What the candidates follow from.
export interface CandidateOptions {
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly upstreamLimits: Pick<UpstreamLimits, "delayOf" | "isLimited">;
  readonly inFlightWork: InFlightWork;
  /// This VM's data centre.
  readonly dataCentre: string;
}

/// Finds upstreams for requests.
export interface Candidates {
  /// Returns the upstreams that may take the request now.
  find(
    service: Service,
    query: PlacementQuery,
    scope: DecisionScope,
  ): Candidate[];
  /// Time in milliseconds until one of the upstreams has a permit and wants
  /// requests; 0 if that may be so now, or none is listed.
  delay(service: Service, query: PlacementQuery, scope: DecisionScope): number;
}

function holdOf({ held = [] }: PlacementQuery, id: string): number {
  return held.find(({ upstream }) => upstream === id)?.delay ?? 0;
}

export function createCandidates(options: CandidateOptions): Candidates {
  const { view, health, upstreamLimits, inFlightWork } = options;

  const listedFor = (
    service: Service,
    { dataCentre }: DecisionScope,
  ): readonly Upstream[] => {
    const all = view.available(service.name);
    return service.engine && dataCentre !== undefined
      ? all.filter((upstream) => upstream.dataCentre === dataCentre)
      : all;
  };

  return {
    find(service, query, scope) {
      const { avoided, isResumed } = query;
      const all = listedFor(service, scope)
        .filter(({ id }) => holdOf(query, id) === 0);
      const open = all.filter(({ id }) => upstreamLimits.delayOf(id) === 0);
      // Resumed streams may take the next permit.
      const listed = open.length === 0 && isResumed ? all : open;
      const preferred = listed.filter(({ id }) => !avoided.includes(id));
      const maximumRequests = service.maxConnections * USABLE_CONNECTIONS_RATIO;
      return (preferred.length > 0 ? preferred : listed).flatMap((upstream) => {
        const work = inFlightWork.workAt(upstream.id);
        if (work.requests >= maximumRequests) return [];
        return [{
          upstream,
          work,
          failureShare: health.failureShare(upstream.id),
          isSuspended: health.isSuspended(upstream.id),
          isLimited: upstreamLimits.isLimited(upstream.id),
          isLocal: upstream.dataCentre === options.dataCentre,
        }];
      });
    },
    delay(service, query, scope) {
      const delays = listedFor(service, scope)
        .map(({ id }) =>
          Math.max(upstreamLimits.delayOf(id), holdOf(query, id))
        );
      return delays.length > 0 ? Math.min(...delays) : 0;
    },
  };
}
