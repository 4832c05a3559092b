import { type Static, Type } from "@sinclair/typebox";

/// The sheet configures the system: which customers may use which models, their
/// limits, and which upstreams serve them.

const Name = Type.String({ pattern: "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$" });
const Rate = Type.Number({ exclusiveMinimum: 0 });
const Duration = Type.Integer({ minimum: 0, default: 0 });

export const PRIORITIES = ["urgent", "normal", "background"] as const;
export const Priority = Type.Union(
  PRIORITIES.map((priority) => Type.Literal(priority)),
);
/// How urgent a customer's requests are; the first is the most urgent.
export type Priority = Static<typeof Priority>;

export const Customer = Type.Object({
  name: Name,
  /// SHA-256 of each accepted key, in lower-case hexadecimal.
  keyHashes: Type.Array(Type.String({ pattern: "^[0-9a-f]{64}$" })),
  priority: Priority,
  /// Share of contended capacity relative to other customers.
  weight: Rate,
  requestsPerSecond: Rate,
  /// Prompt and generated tokens a second.
  tokensPerSecond: Rate,
  /// Long requests that may run at once.
  concurrentLongRequests: Type.Integer({ minimum: 0 }),
  /// Longest time a short request may take, in milliseconds. With 0, each
  /// request has to give its own deadline.
  shortDeadlineMilliseconds: Duration,
  /// The same for a long request.
  longDeadlineMilliseconds: Duration,
}, { additionalProperties: false });
export type Customer = Static<typeof Customer>;

/// One model version that a customer may use. Shares of the versions of one
/// model are relative to each other.
export const ModelShare = Type.Object({
  customer: Name,
  model: Name,
  version: Name,
  share: Rate,
}, { additionalProperties: false });
export type ModelShare = Static<typeof ModelShare>;

export const Upstream = Type.Object({
  name: Name,
  kind: Type.Union([Type.Literal("engine"), Type.Literal("service")]),
  /// The model (of an engine) or the service name.
  serves: Name,
  dataCentre: Name,
  /// `host:port`.
  address: Type.String({ pattern: "^[0-9A-Fa-f.:\\[\\]]+:[0-9]+$" }),
  /// Whether the upstream rejects orders with an outdated fencing number.
  checksFencing: Type.Boolean(),
}, { additionalProperties: false });
export type Upstream = Static<typeof Upstream>;

/// An operation of a service. Operations not listed are not idempotent.
export const ServiceOperation = Type.Object({
  service: Name,
  method: Type.Union([
    Type.Literal("GET"),
    Type.Literal("POST"),
  ]),
  path: Type.String({ pattern: "^[A-Za-z0-9/_.-]+$" }),
  idempotent: Type.Boolean(),
  /// Path that returns the outcome of an idempotency key, or empty.
  statusPath: Type.String(),
}, { additionalProperties: false });
export type ServiceOperation = Static<typeof ServiceOperation>;

/// The main objective of placement: the slowdown of short requests, or the time
/// to first token of requests of every length.
export const Objective = Type.Union([
  Type.Literal("slowdown"),
  Type.Literal("timeToFirstToken"),
]);
export type Objective = Static<typeof Objective>;

export const SheetOptions = Type.Object({
  objective: Objective,
  /// Prompts of at least this many tokens are long.
  longPromptTokens: Type.Integer({ minimum: 1 }),
}, { additionalProperties: false });
export type SheetOptions = Static<typeof SheetOptions>;

export const Sheet = Type.Object({
  options: SheetOptions,
  customers: Type.Array(Customer),
  models: Type.Array(ModelShare),
  upstreams: Type.Array(Upstream),
  operations: Type.Array(ServiceOperation),
}, { additionalProperties: false });
export type Sheet = Static<typeof Sheet>;

/// A sheet with the revision under which it was accepted.
export interface AcceptedSheet {
  readonly revision: number;
  readonly sheet: Sheet;
}

/// The sheet in force before any has been accepted.
export const EMPTY_SHEET: Sheet = {
  options: { objective: "slowdown", longPromptTokens: 100_000 },
  customers: [],
  models: [],
  upstreams: [],
  operations: [],
};

/// Schema of the rows of each section.
export const SECTION_SCHEMAS = {
  options: SheetOptions,
  customers: Customer,
  models: ModelShare,
  upstreams: Upstream,
  operations: ServiceOperation,
} as const;
