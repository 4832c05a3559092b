import { type Static, Type } from "@sinclair/typebox";

/// The operator's configuration: routes, customers, services and limits of
/// callers.

/// How often a request of a route may be executed.
/// `safe`: any number of times. `once`: at most once. `stream`: as `once`,
/// unless the stream is resumable, in which case a further attempt may resume
/// it.
const RouteKind = Type.Union([
  Type.Literal("safe"),
  Type.Literal("once"),
  Type.Literal("stream"),
]);

export const Route = Type.Object({
  name: Type.String(),
  host: Type.String(),
  /// Begins and ends with a slash.
  prefix: Type.String(),
  kind: RouteKind,
  isResumable: Type.Boolean(),
  /// Whether requests need no key.
  isPublic: Type.Boolean(),
  /// Timeout until the end of the response.
  timeoutMilliseconds: Type.Number(),
  /// Objective for the time to the response, or to the first event of a stream.
  objectiveMilliseconds: Type.Number(),
  /// Event gap objective: longest acceptable time between two events of a
  /// stream.
  pauseMilliseconds: Type.Number(),
  /// Idle timeout of callers: they disconnect from a stream after this time
  /// without an event, also before its first event.
  silenceMilliseconds: Type.Number(),
  /// 0 is the highest priority.
  priority: Type.Number(),
  /// Maximum number of upstreams that one request may be sent to.
  maxUpstreams: Type.Number(),
  targets: Type.Array(
    Type.Object({ service: Type.String(), weight: Type.Number() }),
  ),
});
export type Route = Static<typeof Route>;

/// Capacity of the engines of a service, and their speed of prefill and decode.
export const EngineProfile = Type.Object({
  /// Requests that one engine decodes at the same time.
  slots: Type.Number(),
  /// Tokens that the memory of one engine holds.
  memoryTokens: Type.Number(),
  /// Decode steps in one pass over all pending work.
  stepsPerPass: Type.Number(),
  /// Base time of a decode step.
  stepMilliseconds: Type.Number(),
  /// Time that each request in decode adds to a step.
  stepMillisecondsPerRequest: Type.Number(),
  /// Time that each 1,000 tokens of context add to a step.
  stepMillisecondsPerThousandTokens: Type.Number(),
  /// Rate of prefill.
  readTokensPerSecond: Type.Number(),
  /// Prefill time added for each million pairs of a token and an earlier one.
  readMillisecondsPerMillionPairs: Type.Number(),
});
export type EngineProfile = Static<typeof EngineProfile>;

export const Service = Type.Object({
  name: Type.String(),
  /// Connections that one upstream accepts from all VMs combined.
  maxConnections: Type.Number(),
  /// Path at which an upstream says whether it is healthy, and which one it is.
  healthTarget: Type.Optional(Type.String()),
  /// Present if the upstreams are model engines.
  engine: Type.Optional(EngineProfile),
});
export type Service = Static<typeof Service>;

/// Limits on the size of callers' requests and on the time to send them.
export const CallerLimits = Type.Object({
  headerBytes: Type.Number(),
  bodyBytes: Type.Number(),
  headerMilliseconds: Type.Number(),
  /// Idle timeout of a connection without a request.
  idleMilliseconds: Type.Number(),
});
export type CallerLimits = Static<typeof CallerLimits>;

export const Customer = Type.Object({
  name: Type.String(),
  keys: Type.Array(Type.String()),
  /// Takes precedence over the priority of the route.
  priority: Type.Optional(Type.Number()),
});
export type Customer = Static<typeof Customer>;

export const Configuration = Type.Object({
  version: Type.Number(),
  routes: Type.Array(Route),
  services: Type.Array(Service),
  limits: CallerLimits,
  /// Absent if requests need no keys.
  customers: Type.Optional(Type.Array(Customer)),
});
export type Configuration = Static<typeof Configuration>;
