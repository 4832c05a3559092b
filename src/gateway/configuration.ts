import { type Static, Type } from "@sinclair/typebox";

/// What the operator has configured: which requests there are, who may send
/// them and which services answer them.

/// What may be done twice with a request of a route.
/// `safe`: anything. `once`: it runs at most once. `stream`: as `once`, unless
/// the stream is resumable, in which case a new run may continue it.
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
  /// Whether callers need no key.
  isPublic: Type.Boolean(),
  /// Longest time to the end of the answer.
  timeoutMilliseconds: Type.Number(),
  /// Time to the answer, or to the first event of a stream, that callers count
  /// as good.
  objectiveMilliseconds: Type.Number(),
  /// Longest good pause between two events of a stream.
  pauseMilliseconds: Type.Number(),
  /// Silence after which callers leave a stream, also before its first event.
  silenceMilliseconds: Type.Number(),
  /// 0 is the most urgent.
  priority: Type.Number(),
  /// Upstreams that one request may run on.
  maxUpstreams: Type.Number(),
  targets: Type.Array(
    Type.Object({ service: Type.String(), weight: Type.Number() }),
  ),
});
export type Route = Static<typeof Route>;

/// How fast the engines of a service read prompts and write tokens.
export const EngineProfile = Type.Object({
  /// Requests that write at the same time.
  slots: Type.Number(),
  /// Tokens that the memory of one engine holds.
  memoryTokens: Type.Number(),
  /// Token steps of one pass over all waiting work.
  stepsPerPass: Type.Number(),
  stepMilliseconds: Type.Number(),
  /// Added to a step by each request that writes.
  stepMillisecondsPerRequest: Type.Number(),
  /// Added to a step for each 1,000 tokens of context.
  stepMillisecondsPerThousandTokens: Type.Number(),
  readTokensPerSecond: Type.Number(),
  /// Added to reading for each million pairs of a token and an earlier one.
  readMillisecondsPerMillionPairs: Type.Number(),
});
export type EngineProfile = Static<typeof EngineProfile>;

export const Service = Type.Object({
  name: Type.String(),
  /// Connections that one upstream accepts from all VMs together.
  maxConnections: Type.Number(),
  /// Present if the upstreams are model engines.
  engine: Type.Optional(EngineProfile),
});
export type Service = Static<typeof Service>;

/// What callers may send and how long they may take over it.
export const CallerLimits = Type.Object({
  headerBytes: Type.Number(),
  bodyBytes: Type.Number(),
  headerMilliseconds: Type.Number(),
  /// Time that a connection without a request stays open.
  idleMilliseconds: Type.Number(),
});
export type CallerLimits = Static<typeof CallerLimits>;

export const Customer = Type.Object({
  name: Type.String(),
  keys: Type.Array(Type.String()),
  /// Goes before the priority of the route.
  priority: Type.Optional(Type.Number()),
});
export type Customer = Static<typeof Customer>;

export const Configuration = Type.Object({
  version: Type.Number(),
  routes: Type.Array(Route),
  services: Type.Array(Service),
  limits: CallerLimits,
  /// Absent if requests carry no keys.
  customers: Type.Optional(Type.Array(Customer)),
});
export type Configuration = Static<typeof Configuration>;
