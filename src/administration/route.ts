import type { Static, TSchema } from "@sinclair/typebox";
import type { Role } from "./access.ts";

/// Definitions of the operations of the administration API: request, response
/// and required role. The server and the OpenAPI document are built from them.

/// The sender of a request, as recorded in the audit log.
export interface Operator {
  readonly role: Role;
  readonly address: string;
}

export interface RouteInput<Body> {
  readonly body: Body;
  readonly operator: Operator;
}

export interface Route {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly summary: string;
  /// The required role.
  readonly role: Role;
  readonly body: TSchema | undefined;
  readonly reply: TSchema;
  /// Error codes that it responds with, besides those that every route has.
  readonly errors: readonly AdministrationErrorCode[];
  readonly handle: (input: RouteInput<unknown>) => unknown;
}

/// HTTP status by error code.
export const ADMINISTRATION_ERROR_STATUSES = {
  malformed: 400,
  access_denied: 403,
  not_found: 404,
  conflict: 409,
  invalid_sheet: 422,
  failed: 500,
  unavailable: 503,
  undecided: 504,
} as const;
export type AdministrationErrorCode =
  keyof typeof ADMINISTRATION_ERROR_STATUSES;

interface RouteDefinition<Body extends TSchema, Reply extends TSchema> {
  readonly summary: string;
  readonly role: Role;
  readonly body?: Body;
  readonly reply: Reply;
  readonly errors?: readonly AdministrationErrorCode[];
  readonly handle: (
    input: RouteInput<Static<Body>>,
  ) => Static<Reply> | Promise<Static<Reply>>;
}

/// Defines an operation, named as in HTTP: `PUT /v1/sheet`.
export function defineRoute<Body extends TSchema, Reply extends TSchema>(
  name: `${Route["method"]} /${string}`,
  definition: RouteDefinition<Body, Reply>,
): Route {
  const [method, path] = name.split(" ") as [Route["method"], string];
  const { body, errors = [], handle } = definition;
  return {
    ...definition,
    method,
    path,
    body,
    errors,
    handle: (input) => handle(input as RouteInput<Static<Body>>),
  };
}
