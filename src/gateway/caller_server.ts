import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "../support/clock.ts";
import {
  type CallerResponse,
  createCallerResponse,
} from "./caller_response.ts";
import type { CallerLimits, Route } from "./configuration.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import { handleRequest } from "./request_handler.ts";
import type { RouteTable } from "./route_table.ts";

/// Takes requests from callers: reads them, finds their route, checks their
/// key and hands them to their run.

/// How often open connections are checked for headers that take too long.
const CHECK_MILLISECONDS = 500;
/// Time to come back in for a VM that has just started: about what it takes
/// to read the configuration.
const NO_CONFIGURATION_RETRY_SECONDS = 0.5;
/// Bodies held at the same time, as a bound on this process's memory.
const HELD_BODY_BYTES = 67_108_864;
const NO_ROOM_RETRY_SECONDS = 0.5;
/// Time to come back in to another VM: at once, but not in a tight loop.
const STOPPING_RETRY_SECONDS = 0.1;

export interface CallerServer {
  readonly server: Server;
  /// Prepares for the end: answers say that their connection closes, and
  /// requests that come after `until` are refused.
  startDraining(until: Milliseconds): void;
  applyLimits(limits: CallerLimits): void;
  running(): number;
}

function hostOf(value: string | undefined): string {
  return (value ?? "").replace(/:\d+$/, "");
}

function pathOf(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

export function createCallerServer(context: RequestContext): CallerServer {
  const { clock, random, log, metrics, dialect, view } = context;
  let acceptsUntil = Infinity;
  let running = 0;
  let heldBytes = 0;

  /// Reads the body, or answers and resolves to undefined.
  const readBody = async (
    message: IncomingMessage,
    answer: CallerResponse,
    { limit, request }: { limit: number; request: string | undefined },
  ): Promise<Buffer | undefined> => {
    const pieces: Buffer[] = [];
    let size = 0;
    try {
      for await (const piece of message as AsyncIterable<Buffer>) {
        size += piece.length;
        heldBytes += piece.length;
        if (size > limit) {
          answer.sendText(413, "the body is too large\n");
          return undefined;
        }
        if (heldBytes > HELD_BODY_BYTES) {
          answer.sendText(503, "too many bodies\n", NO_ROOM_RETRY_SECONDS);
          return undefined;
        }
        pieces.push(piece);
      }
      return Buffer.concat(pieces, size);
    } catch (error) {
      // The caller went away or broke the protocol within its body.
      log.info("body not read", {
        request,
        reason: (error as Error).message,
        size,
      });
      return undefined;
    } finally {
      heldBytes -= size;
    }
  };

  const chooseService = (table: RouteTable, route: Route) => {
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    let point = random.next() * total;
    for (const { service, weight } of route.targets) {
      point -= weight;
      if (point < 0) return table.service(service);
    }
    const last = route.targets.at(-1);
    return last && table.service(last.service);
  };

  const refuse = (
    answer: CallerResponse,
    fields: {
      status: number;
      reason: string;
      request: string | undefined;
      path?: string;
    },
    retryAfterSeconds?: number,
  ) => {
    answer.sendText(fields.status, `${fields.reason}\n`, retryAfterSeconds);
    metrics.ended.inc({ route_kind: "none", outcome: "refused" });
    log.warn("request refused", {
      ...fields,
      version: view.routeTable()?.configuration.version,
    });
  };

  const handle = async (message: IncomingMessage, response: ServerResponse) => {
    const arrivedAt = clock.now();
    const answer = createCallerResponse(response, {
      closesConnection: () => acceptsUntil < Infinity,
    });
    const table = view.routeTable();
    const facts = dialect.parseCallerHeaders(message.headers);
    const request = facts.attemptId;
    if (!table) {
      const reason = "no configuration is known yet";
      const fields = { status: 503, reason, request };
      return refuse(answer, fields, NO_CONFIGURATION_RETRY_SECONDS);
    }
    const target = message.url ?? "/";
    const path = pathOf(target);
    const route = table.findRoute(hostOf(message.headers.host), path);
    if (!route) {
      return refuse(answer, { status: 404, reason: "no route", request, path });
    }
    const hasCustomers = table.configuration.customers !== undefined;
    const customer = hasCustomers && facts.key !== undefined
      ? table.findCustomer(facts.key)
      : undefined;
    if (hasCustomers && !route.isPublic && !customer) {
      const reason = "no customer has the key";
      return refuse(answer, { status: 401, reason, request, path });
    }
    const { bodyBytes } = table.configuration.limits;
    const body = await readBody(message, answer, {
      limit: bodyBytes,
      request,
    });
    if (!body) return;
    const service = chooseService(table, route);
    if (!service) {
      const reason = "the route's service is not configured";
      return refuse(answer, { status: 503, reason, request, path });
    }
    if (clock.now() > acceptsUntil) {
      const reason = "this VM is stopping";
      const fields = { status: 503, reason, request, path };
      return refuse(answer, fields, STOPPING_RETRY_SECONDS);
    }
    const fingerprint = createHash("sha1")
      .update(`${path}\0${facts.key ?? ""}\0`)
      .update(body)
      .digest("base64");
    await run({
      facts,
      route,
      service,
      customer: customer?.name,
      hidesKey: hasCustomers,
      method: message.method ?? "GET",
      target,
      headers: message.rawHeaders,
      body,
      arrivedAt,
      fingerprint,
      configurationVersion: table.configuration.version,
    }, answer);
  };

  const run = async (request: GatewayRequest, answer: CallerResponse) => {
    running += 1;
    heldBytes += request.body.length;
    try {
      const outcome = await handleRequest(context, request, answer);
      const took = clock.now() - request.arrivedAt;
      const labels = {
        route_kind: request.route.kind,
        outcome: outcome.outcome,
      };
      metrics.ended.inc(labels);
      metrics.durationSeconds.observe(labels, took / 1_000);
      // Requests that went well are counted above and have no line.
      if (outcome.isInTime && outcome.attempts === 1) return;
      log.info("request ended", {
        request: request.facts.attemptId,
        route: request.route.name,
        kind: request.route.kind,
        promptTokens: request.facts.promptTokens,
        version: request.configurationVersion,
        outcome: outcome.outcome,
        status: outcome.status,
        reason: outcome.reason,
        tries: outcome.attempts,
        firstByte: outcome.firstByte && Math.round(outcome.firstByte),
        longestPause: Math.round(outcome.longestEventGap),
        isInTime: outcome.isInTime,
        ...outcome.placement,
        took: Math.round(took),
      });
    } finally {
      running -= 1;
      heldBytes -= request.body.length;
    }
  };

  const server = createServer(
    { connectionsCheckingInterval: CHECK_MILLISECONDS, noDelay: true },
    (message, response) => {
      handle(message, response).catch((error: Error) => {
        log.warn("request failed by a fault of the gateway", {
          reason: error.stack ?? error.message,
        });
        response.destroy();
      });
    },
  );

  return {
    server,
    startDraining: (until) => void (acceptsUntil = until),
    applyLimits(limits) {
      server.headersTimeout = limits.headerMilliseconds;
      server.keepAliveTimeout = limits.idleMilliseconds;
      // The property exists in Node.js and is missing from its types.
      (server as Server & { maxHeaderSize: number }).maxHeaderSize =
        limits.headerBytes;
    },
    running: () => running,
  };
}
