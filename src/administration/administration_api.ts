import { Value } from "@sinclair/typebox/value";
import Fastify, { type FastifyInstance } from "fastify";
import { SheetFaultsError } from "../contracts/sheet_check.ts";
import { SheetUndecidedError } from "../contracts/sheet_store.ts";
import type { Entry } from "../entry.ts";
import type { Links } from "../links/links.ts";
import { StoreUnavailableError } from "../infrastructure/key_value_store.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { Metrics } from "../support/metrics.ts";
import { AccessDeniedError, type AccessTokens, requireRole } from "./access.ts";
import type { AdministrationProblem } from "./administration_schemas.ts";
import { buildOpenApi } from "./open_api.ts";
import {
  ADMINISTRATION_ERRORS,
  type AdministrationErrorCode,
  type Route,
} from "./route.ts";
import {
  ApplyConflictError,
  createSheetRoutes,
  MalformedDocumentError,
} from "./sheet_routes.ts";
import { createStateRoutes, UpstreamUnknownError } from "./state_routes.ts";

/// The interface towards operators, health checks and metrics.

export interface AdministrationApiOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /// Gets one line for each change that an operator makes or tries.
  readonly audit: Logger;
  readonly metrics: Metrics;
  readonly links: Links;
  readonly entry: Entry;
  readonly tokens: AccessTokens;
  /// Starts a graceful shutdown.
  readonly drain: () => void;
}

const BODY_LIMIT_BYTES = 33_554_432;
/// Faults of a malformed body that one answer names.
const NAMED_FAULTS = 20;

function codeOf(error: unknown): AdministrationErrorCode {
  if (error instanceof AccessDeniedError) return "access_denied";
  if (error instanceof MalformedDocumentError) return "malformed";
  if (error instanceof SheetFaultsError) return "invalid_sheet";
  if (error instanceof ApplyConflictError) return "conflict";
  if (error instanceof UpstreamUnknownError) return "not_found";
  if (error instanceof SheetUndecidedError) return "undecided";
  if (error instanceof StoreUnavailableError) return "unavailable";
  const { statusCode = 500 } = error as { statusCode?: number };
  return statusCode < 500 ? "malformed" : "failed";
}

function toProblem(error: unknown): AdministrationProblem {
  const { message } = error as Error;
  const code = codeOf(error);
  if (error instanceof SheetFaultsError) {
    return { code, message, faults: [...error.faults] };
  }
  if (error instanceof ApplyConflictError) {
    return { code, message, conflict: error.conflict };
  }
  return { code, message };
}

function requireBody(route: Route, body: unknown): void {
  if (!route.body || Value.Check(route.body, body)) return;
  const faults = [...Value.Errors(route.body, body)].slice(0, NAMED_FAULTS)
    .map(({ path, message }) => `${path}: ${message}`);
  throw new MalformedDocumentError(faults.join("; "));
}

/// Creates the application; the caller makes it listen.
export function createAdministrationApi(
  options: AdministrationApiOptions,
): FastifyInstance {
  const { clock, log, audit, links, entry, tokens } = options;
  const application = Fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });

  const serve = (route: Route) =>
    application.route({
      method: route.method,
      url: route.path,
      // Denied before the body is read.
      onRequest: (request, _reply, done) => {
        const { authorization } = request.headers;
        try {
          requireRole(authorization, { needed: route.role, tokens });
          done();
        } catch (error) {
          if (route.role === "operate") {
            const { path } = route;
            audit.warn("access denied", { path, address: request.ip });
          }
          done(error as Error);
        }
      },
      handler: async (request) => {
        const { body, ip: address } = request;
        requireBody(route, body);
        const operator = { role: route.role, address };
        return await route.handle({ body, operator });
      },
    });

  application.setErrorHandler((error, request, reply) => {
    const problem = toProblem(error);
    const status =
      ADMINISTRATION_ERRORS[problem.code as AdministrationErrorCode];
    if (status === ADMINISTRATION_ERRORS.failed) {
      const { stack } = error as Error;
      log.warn("request failed", { path: request.url, reason: stack });
    }
    return reply.code(status).send(problem);
  });
  application.setNotFoundHandler((request, reply) => {
    const message = `there is no ${request.method} ${request.url}`;
    return reply.code(404).send({ code: "not_found", message });
  });

  const routes = [
    ...createSheetRoutes({ ...entry, clock, audit }),
    ...createStateRoutes(options),
  ];
  routes.forEach(serve);
  const openApi = buildOpenApi(routes);

  application.get("/v1/openapi.json", () => openApi);
  application.get("/live", () => ({ live: true }));
  application.get("/ready", (_request, reply) => {
    const ready = entry.isReady();
    return reply.code(ready ? 200 : 503).send({ ready });
  });
  application.get("/metrics", async (_request, reply) => {
    const { metrics } = options;
    metrics.runningRequests.set(entry.registry.running().length);
    metrics.sheetRevision.set(entry.book.current().revision);
    metrics.connectedVms.set(links.peers().length);
    const { conflicts, fallbacks } = entry.ledgerRouter.counters();
    metrics.ledgerPending.set(entry.ledgerRouter.pending());
    metrics.ledgerConflicts.set(conflicts);
    metrics.ledgerFallbacks.set(fallbacks);
    reply.type(metrics.registry.contentType);
    return await metrics.registry.metrics();
  });

  return application;
}
