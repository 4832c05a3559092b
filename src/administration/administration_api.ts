import { timingSafeEqual } from "node:crypto";
import { Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import Fastify, { type FastifyInstance, type FastifyRequest } from "fastify";
import { Sheet } from "../contracts/sheet.ts";
import {
  SheetConflictError,
  SheetUndecidedError,
} from "../contracts/sheet_store.ts";
import type { Entry } from "../entry.ts";
import type { Links } from "../links/links.ts";
import type { Logger } from "../support/log.ts";
import type { Metrics } from "../support/metrics.ts";

/// The interface towards operators, health checks and metrics.

export interface AdministrationApiOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly links: Links;
  readonly entry: Entry;
  readonly operateToken: string;
  readonly viewToken: string | undefined;
  /// Starts a graceful shutdown.
  readonly drain: () => void;
}

type Role = "view" | "operate";

class AccessDeniedError extends Error {
  override readonly name = "AccessDeniedError";
}

const ApplyBody = Type.Object({
  sheet: Sheet,
  base: Type.Integer({ minimum: 0 }),
  applyId: Type.String({ minLength: 8 }),
  author: Type.String({ minLength: 1 }),
});

const BODY_LIMIT_BYTES = 33_554_432;

function sameText(left: string, right: string): boolean {
  const first = Buffer.from(left);
  const second = Buffer.from(right);
  return first.length === second.length && timingSafeEqual(first, second);
}

/// Creates the application; the caller makes it listen.
export function createAdministrationApi(
  options: AdministrationApiOptions,
): FastifyInstance {
  const { log, links, entry } = options;
  const { book, registry, engines, follower } = entry;
  const application = Fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });

  const requireRole = (request: FastifyRequest, role: Role) => {
    const given = request.headers.authorization ?? "";
    const token = given.startsWith("Bearer ") ? given.slice(7) : "";
    if (sameText(token, options.operateToken)) return;
    const { viewToken } = options;
    if (role === "view" && viewToken && sameText(token, viewToken)) return;
    throw new AccessDeniedError(`the role ${role} is needed`);
  };

  application.setErrorHandler((error, _request, reply) => {
    const { message, statusCode } = error as Error & { statusCode?: number };
    if (error instanceof AccessDeniedError) {
      return reply.code(403).send({ code: "access_denied", message });
    }
    if (error instanceof SheetConflictError) {
      const { winner } = error;
      return reply.code(409).send({ code: "conflict", message, winner });
    }
    if (error instanceof SheetUndecidedError) {
      return reply.code(503).send({ code: "undecided", message });
    }
    const status = statusCode ?? 503;
    return reply.code(status).send({ code: "failed", message });
  });

  application.get("/live", () => ({ live: true }));
  application.get("/ready", (_request, reply) => {
    const ready = entry.isReady();
    return reply.code(ready ? 200 : 503).send({ ready });
  });
  application.get("/metrics", async (_request, reply) => {
    const { metrics } = options;
    metrics.runningRequests.set(registry.running().length);
    metrics.sheetRevision.set(book.current().revision);
    metrics.connectedVms.set(links.peers().length);
    reply.type(metrics.registry.contentType);
    return await metrics.registry.metrics();
  });

  application.get("/v1/status", (request) => {
    requireRole(request, "view");
    return {
      vm: links.self,
      ready: entry.isReady(),
      sheetRevision: book.current().revision,
      members: entry.membership.members(),
      steward: entry.steward?.status(),
      peers: links.peers().map((peer) => ({
        ...peer,
        sheetRevision: follower.revisions().get(peer.vm) ?? 0,
      })),
      engines: engines.all().map((engine) => ({
        name: engine.upstream.name,
        dataCentre: engine.upstream.dataCentre,
        usable: engine.usable,
        report: engine.report,
        outstandingRequests: engine.outstandingRequests,
      })),
    };
  });

  application.get("/v1/requests", (request) => {
    requireRole(request, "view");
    return { running: registry.running(), ended: registry.endedByReason() };
  });

  application.get("/v1/sheet", (request) => {
    requireRole(request, "view");
    const { revision, sheet } = book.current();
    return { revision, sheet };
  });

  application.put("/v1/sheet", async (request, reply) => {
    requireRole(request, "operate");
    const { body } = request;
    if (!Value.Check(ApplyBody, body)) {
      const faults = [...Value.Errors(ApplyBody, body)].slice(0, 20);
      const message = faults.map((fault) => `${fault.path}: ${fault.message}`);
      return reply.code(400).send({ code: "invalid", message });
    }
    const applied = await entry.sheets.apply(body);
    const { revision } = applied;
    const { author, applyId } = body;
    log.info("sheet accepted", { author, applyId, revision });
    await follower.accept(applied);
    return { revision };
  });

  application.post("/v1/upstreams/:name/drain", (request, reply) => {
    requireRole(request, "operate");
    const { name } = request.params as { name: string };
    const known = entry.leavingUpstreams.mark(name);
    log.info("upstream drain asked for", { upstream: name, known });
    return reply.code(known ? 202 : 404).send({ draining: known });
  });

  application.post("/v1/drain", (request) => {
    requireRole(request, "operate");
    log.info("drain asked for");
    options.drain();
    return { draining: true };
  });

  return application;
}
