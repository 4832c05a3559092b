import type { CrashRecords } from "../requests/crash_records.ts";
import type { StoredCrashes } from "../requests/stored_crashes.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { UpstreamLimits } from "../upstreams/upstream_limits.ts";
import type { ByteBudget } from "./byte_budget.ts";
import type { Route, Service } from "./configuration.ts";
import type {
  CallerRequestMetadata,
  GatewayDialect,
  ReservationClient,
} from "./dialect.ts";
import type { FleetView } from "./fleet_view.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { InFlightWork } from "./in_flight_work.ts";
import type { LeavingUpstreams } from "./leaving_upstreams.ts";
import type { PieceQuota } from "./piece_quota.ts";
import type { PlacementService } from "./placement_service.ts";
import type { RequestStop } from "./planned_stop.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { UpstreamConnections } from "./upstream_connections.ts";
import type { UpstreamHealth } from "./upstream_health.ts";
import type { UpstreamHolds } from "./upstream_holds.ts";

/// Dependencies that all requests of a gateway share.
export interface RequestContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  readonly dialect: GatewayDialect;
  readonly reservations: ReservationClient;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly inFlightWork: InFlightWork;
  readonly placements: PlacementService;
  readonly retryBudget: RetryBudget;
  readonly upstreamLimits: UpstreamLimits;
  readonly upstreamHolds: UpstreamHolds;
  readonly leavingUpstreams: LeavingUpstreams;
  readonly connections: UpstreamConnections;
  /// Limits the small pieces of all bodies together.
  readonly pieceQuota: PieceQuota;
  /// Bytes of upstreams' heads and trailers that are not complete yet.
  readonly unfinishedHeadBytes: ByteBudget;
  readonly crashRecords: CrashRecords;
  readonly storedCrashes: StoredCrashes;
  /// Bytes of responses that are buffered before they are forwarded.
  readonly responseBytes: ByteBudget;
  /// Prefix of the ids of this process's memory reservations.
  readonly reservationPrefix: string;
  /// Upper limit for the lifetime of a memory reservation, which the settings
  /// define.
  readonly maximumReservationLifetime: Milliseconds;
  /// Time for which a reservation may exist without a request that uses it.
  readonly maximumUnusedReservation: Milliseconds;
}

/// A request that has been read, matched to a route and authorised.
export interface GatewayRequest {
  readonly metadata: CallerRequestMetadata;
  readonly route: Route;
  readonly service: Service;
  readonly customer: string | undefined;
  /// Whether the caller's key is removed before the request is forwarded.
  readonly removesCallerKey: boolean;
  readonly method: string;
  readonly target: string;
  /// Alternating names and values.
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly arrivedAt: Milliseconds;
  /// Equal for requests with the same path, caller and body.
  readonly fingerprint: string;
  readonly configurationVersion: number;
  readonly stop: RequestStop;
}
