import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../support/clock.ts";
import { chooseService } from "./service_choice.ts";
import { createBodyReader } from "./body_reader.ts";
import {
  type CallerResponse,
  createCallerResponse,
} from "./caller_response.ts";
import { handleCallerFaults } from "./caller_faults.ts";
import type { CallerLimits } from "./configuration.ts";
import { endOfConnection } from "./connection_end.ts";
import { startIdleConnections } from "./idle_connections.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import { handleRequest } from "./request_handler.ts";
import { findRequestFault } from "./request_check.ts";
import { refuseTunnel } from "./refused_tunnel.ts";
import { createRequestSequence } from "./request_sequence.ts";
import { hostOf, pathOf } from "./request_target.ts";
import { watchCallerTraffic } from "./caller_traffic.ts";
import { timingOf } from "./stop_schedule.ts";

/// Accepts requests from callers: reads them, finds their route, checks their
/// key and passes them to the request handler.

/// Interval of the checks for open connections whose headers take too long.
const HEADER_CHECK_INTERVAL_MILLISECONDS = 500;
/// Header size up to which requests are parsed. The parser of a connection keeps
/// the limit that it began with, so that of the configuration is checked for each
/// request.
const PARSED_HEADER_BYTES = 65_536;
/// Retry-After of a VM that has just started: about the time that it takes to
/// read the configuration.
const NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5;
/// Limit for all request bodies in memory at the same time, which bounds the
/// memory of this process.
const MAXIMUM_BUFFERED_BODY_BYTES = 67_108_864;
const BODY_MEMORY_RETRY_AFTER_SECONDS = 0.5;

export interface CallerServer {
  readonly server: Server;
  applyLimits(limits: CallerLimits): void;
  /// Number of requests whose response hasn't been sent in full, including those
  /// whose body is still being read.
  running(): number;
}

/// How a request was refused, for the log.
interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly request: string | undefined;
  readonly path?: string;
}

export function createCallerServer(
  context: RequestContext,
  plannedStop: PlannedStop,
): CallerServer {
  const { clock, random, log, metrics, dialect, view, pieceQuota } = context;
  let running = 0;
  const bodies = createBodyReader({
    clock,
    pieceQuota,
    onPiece: (message, piece) => traffic.recordPiece(message, piece),
    maximumBytes: MAXIMUM_BUFFERED_BODY_BYTES,
  });

  /// Reads the body. Resolves to undefined after an error response, or if the
  /// connection has been ended, which tells the caller that the request isn't run.
  const readBody = async (
    message: IncomingMessage,
    callerResponse: CallerResponse,
    { limit, request }: { limit: number; request: string | undefined },
  ): Promise<Buffer | undefined> => {
    const result = await bodies.read(message, limit);
    switch (result.kind) {
      case "read":
        return message.socket.writable ? result.body : undefined;
      case "too_large":
        callerResponse.sendText(413, "the body is too large\n");
        return undefined;
      case "no_memory":
        callerResponse.sendText(
          503,
          "too many bodies\n",
          BODY_MEMORY_RETRY_AFTER_SECONDS,
        );
        return undefined;
      case "failed": {
        const { reason, size } = result;
        log.info("body not read", { request, reason, size });
        return undefined;
      }
    }
  };

  const refuse = (
    callerResponse: CallerResponse,
    fields: Refusal,
    retryAfterSeconds?: number,
  ) => {
    callerResponse.sendText(
      fields.status,
      `${fields.reason}\n`,
      retryAfterSeconds,
    );
    recordRefusal(fields);
  };

  const recordRefusal = (fields: Refusal) => {
    metrics.ended.inc({ route_kind: "none", outcome: "refused" });
    log.warn("request refused", {
      ...fields,
      version: view.routeTable()?.configuration.version,
    });
  };

  const sequence = createRequestSequence();
  /// Requests that arrived behind this one are answered too.
  const respondTo = (response: ServerResponse, isEnding: () => boolean) =>
    createCallerResponse(response, {
      closesConnection: () =>
        isEnding() && sequence.last(response.req.socket) === response,
      discardRequest: bodies.discard,
    });

  const handle = async (
    message: IncomingMessage,
    response: ServerResponse,
    arrivedAt: Milliseconds,
  ) => {
    const callerResponse = respondTo(response, plannedStop.isStopping);
    const open = plannedStop.open(callerResponse);
    const table = view.routeTable();
    const metadata = dialect.parseCallerHeaders(message.headers);
    const request = metadata.attemptId;
    if (!table) {
      const reason = "no configuration is known yet";
      const retryAfter = NO_CONFIGURATION_RETRY_AFTER_SECONDS;
      const fields = { status: 503, reason, request };
      return refuse(callerResponse, fields, retryAfter);
    }
    const { headerBytes, bodyBytes } = table.configuration.limits;
    const fault = findRequestFault(message, headerBytes);
    if (fault) return refuse(callerResponse, { ...fault, request });
    const target = message.url ?? "/";
    const path = pathOf(target);
    const route = table.findRoute(hostOf(message.headers.host), path);
    if (!route) {
      const reason = "no route";
      return refuse(callerResponse, { status: 404, reason, request, path });
    }
    const hasCustomers = table.configuration.customers !== undefined;
    const customer = hasCustomers && metadata.key !== undefined
      ? table.findCustomer(metadata.key)
      : undefined;
    if (hasCustomers && !route.isPublic && !customer) {
      const reason = "no customer has the key";
      return refuse(callerResponse, { status: 401, reason, request, path });
    }
    const body = await readBody(message, callerResponse, {
      limit: bodyBytes,
      request,
    });
    if (!body) return;
    const service = chooseService(table, route, random);
    if (!service) {
      const reason = "the route's service is not configured";
      return refuse(callerResponse, { status: 503, reason, request, path });
    }
    const timed = { route, service, metadata, arrivedAt };
    const stop = open.accept(timingOf(timed));
    if (!stop) {
      open.refuse();
      const reason = "this VM is stopping";
      return recordRefusal({ status: 503, reason, request, path });
    }
    const fingerprint = createHash("sha1")
      .update(`${path}\0${metadata.key ?? ""}\0`)
      .update(body)
      .digest("base64");
    await run({
      ...timed,
      stop,
      customer: customer?.name,
      removesCallerKey: hasCustomers,
      method: message.method ?? "GET",
      target,
      headers: message.rawHeaders,
      body,
      fingerprint,
      configurationVersion: table.configuration.version,
    }, callerResponse);
  };

  const run = async (
    request: GatewayRequest,
    callerResponse: CallerResponse,
  ) => {
    const release = bodies.hold(request.body);
    try {
      const outcome = await handleRequest(context, request, callerResponse);
      const took = clock.now() - request.arrivedAt;
      const labels = {
        route_kind: request.route.kind,
        outcome: outcome.outcome,
      };
      metrics.ended.inc(labels);
      metrics.durationSeconds.observe(labels, took / 1_000);
      // Successful requests are counted above and have no log line.
      if (outcome.isInTime && outcome.attempts === 1) return;
      log.info("request ended", {
        request: request.metadata.attemptId,
        route: request.route.name,
        kind: request.route.kind,
        promptTokens: request.metadata.promptTokens,
        version: request.configurationVersion,
        outcome: outcome.outcome,
        status: outcome.status,
        reason: outcome.reason,
        tries: outcome.attempts,
        firstByte: outcome.firstByte && Math.round(outcome.firstByte),
        longestPause: Math.round(outcome.longestEventGap),
        sinceLastWrite: Math.round(outcome.sinceLastWrite),
        isInTime: outcome.isInTime,
        ...outcome.placement,
        took: Math.round(took),
      });
    } finally {
      release();
    }
  };

  const server = createServer(
    {
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MILLISECONDS,
      noDelay: true,
      maxHeaderSize: PARSED_HEADER_BYTES,
    },
    (message, response) => {
      const arrivedAt = clock.now();
      traffic.recordRequest(message);
      idleConnections.track(message, response);
      sequence.add(message, response, () => {
        running += 1;
        response.on("close", () => void (running -= 1));
        handle(message, response, arrivedAt).catch((error: Error) => {
          log.warn("request failed by a fault of the gateway", {
            reason: error.stack ?? error.message,
          });
          const failed = respondTo(response, () => true);
          if (failed.isStarted()) return failed.abort();
          failed.sendText(502, "a fault of the gateway\n");
        });
      });
    },
  );

  server.on("connection", (socket) => {
    socket.on("close", () => {
      metrics.callerConnectionsClosed.inc({
        closed_by: endOfConnection(socket),
      });
    });
  });
  // Node.js closes the connection of this method if nothing handles it.
  server.on("connect", (_message, stream) => {
    refuseTunnel(stream as Socket, { clock, sequence });
  });
  handleCallerFaults(server, sequence);
  const idleConnections = startIdleConnections(server, clock);
  const traffic = watchCallerTraffic(server, {
    clock,
    onEndless: () => log.warn("caller sent bytes without end"),
  });

  return {
    server,
    applyLimits(limits) {
      server.headersTimeout = limits.headerMilliseconds;
      server.keepAliveTimeout = limits.idleMilliseconds;
      // The property exists in Node.js but not in its type definitions.
      (server as Server & { maxHeaderSize: number }).maxHeaderSize = Math.max(
        PARSED_HEADER_BYTES,
        limits.headerBytes,
      );
    },
    running: () => running,
  };
}
