import { type Static, Type } from "@sinclair/typebox";

/// A question where a request is to be sent, and its answer. Both are plain
/// data, so that another VM can decide.

export const PlacementQuery = Type.Object({
  service: Type.String(),
  promptTokens: Type.Number(),
  outputTokens: Type.Number(),
  /// Time from arrival to the first event that meets the caller's objective, in
  /// milliseconds.
  objective: Type.Number(),
  /// Time from arrival after which the caller disconnects without an event.
  silence: Type.Number(),
  /// Time since the request arrived.
  age: Type.Number(),
  /// Time until its deadline.
  remaining: Type.Number(),
  /// Upstreams to be used only if there are no others.
  avoided: Type.Array(Type.String()),
  /// Upstreams that want no requests of the VM that asks, and for how many
  /// milliseconds.
  held: Type.Optional(
    Type.Array(Type.Object({ upstream: Type.String(), delay: Type.Number() })),
  ),
  /// Whether part of the response has been sent, so that the request is placed
  /// at once and whatever its lateness.
  isResumed: Type.Boolean(),
});
export type PlacementQuery = Static<typeof PlacementQuery>;

/// A share of a prompt's memory that is to be reserved at a helper engine.
const ReservedShare = Type.Object({
  upstream: Type.String(),
  tokens: Type.Number(),
});

const PlacedDecision = Type.Object({
  kind: Type.Literal("placed"),
  upstream: Type.String(),
  /// Engines that prefill one span each, other than `upstream`.
  helpers: Type.Array(Type.String()),
  reserved: Type.Array(ReservedShare),
  /// Estimated time to the first event.
  firstEventTime: Type.Number(),
  /// Prefill time of one span, or the duration of a call.
  spanTime: Type.Number(),
  /// Known work at `upstream` before this request.
  requestsBefore: Type.Number(),
  prefillBefore: Type.Number(),
});
/// The engines of a request, or the upstream of a call.
export type PlacedDecision = Static<typeof PlacedDecision>;

const RefusedDecision = Type.Object({
  kind: Type.Literal("refused"),
  reason: Type.String(),
  /// Time after which the request is expected to be served; absent without an
  /// estimate.
  retryAfter: Type.Optional(Type.Number()),
  /// Whether it could be placed then, because all upstreams have reached the
  /// limits that they state.
  isAtLimit: Type.Optional(Type.Boolean()),
  /// Whether the VM that decided doesn't know the service. Its configuration may
  /// be older than that of the VM that asked.
  isUnknown: Type.Optional(Type.Boolean()),
});
/// The request can't be served in time.
export type RefusedDecision = Static<typeof RefusedDecision>;

export const PlacementDecision = Type.Union([PlacedDecision, RefusedDecision]);
export type PlacementDecision = Static<typeof PlacementDecision>;
