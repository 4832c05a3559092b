import type { TSchema } from "@sinclair/typebox";
import { AdministrationProblem } from "./administration_schemas.ts";
import {
  ADMINISTRATION_ERROR_STATUSES,
  type AdministrationErrorCode,
  type Route,
} from "./route.ts";

/// The OpenAPI document of the administration API, generated from its routes.

/// Errors that every operation may respond with.
const COMMON_ERRORS: readonly AdministrationErrorCode[] = [
  "access_denied",
  "failed",
];

const content = (schema: TSchema) => ({ "application/json": { schema } });

function describeOperation(route: Route) {
  const errors = [
    ...COMMON_ERRORS,
    ...(route.body ? ["malformed" as const] : []),
    ...route.errors,
  ];
  const errorResponses = errors.map((code) => [
    ADMINISTRATION_ERROR_STATUSES[code],
    {
      description: code,
      content: {
        "application/json": {
          schema: { $ref: "#/components/schemas/Problem" },
        },
      },
    },
  ]);
  const name = route.path.split("/").slice(2).join("_").replaceAll(".", "_");
  return {
    operationId: `${route.method.toLowerCase()}_${name}`,
    summary: route.summary,
    description: `Needs the role ${route.role}.`,
    security: [{ bearer: [] }],
    ...(route.body && {
      requestBody: { required: true, content: content(route.body) },
    }),
    responses: {
      200: { description: "Done", content: content(route.reply) },
      ...Object.fromEntries(errorResponses),
    },
  };
}

/// Builds the document for OpenAPI 3.1, whose schemas are JSON Schema.
export function buildOpenApi(routes: readonly Route[]): object {
  const paths: Record<string, Record<string, object>> = {};
  for (const route of routes) {
    const operations = paths[route.path] ?? {};
    operations[route.method.toLowerCase()] = describeOperation(route);
    paths[route.path] = operations;
  }
  const document = {
    openapi: "3.1.0",
    info: { title: "sequoiaturn administration", version: "1" },
    paths,
    components: {
      schemas: { Problem: AdministrationProblem },
      securitySchemes: { bearer: { type: "http", scheme: "bearer" } },
    },
  };
  // Removes the metadata that TypeBox stores under symbol keys.
  return JSON.parse(JSON.stringify(document)) as object;
}
