import type { Socket } from "node:net";
import Fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { writeProblem, writeStream, writeWhole } from "./answer_writer.ts";
import {
  type CallerCompletion,
  readChatBody,
  readCompletionBody,
} from "./caller_body.ts";
import { readCallerHeaders } from "./caller_headers.ts";
import { createOpenResponses, type OpenResponses } from "./open_responses.ts";
import { RequestError, toRequestError } from "./request_error.ts";
import type { ReceivedRequest, RequestHandler } from "./request_handler.ts";

/// The HTTP interface for callers.

export interface CallerApiOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly handler: RequestHandler;
  /// Largest accepted body in bytes.
  readonly bodyLimit: number;
}

const REQUEST_ID_BYTES = 12;
const MALFORMED_REQUEST_CODES = new Set([
  "FST_ERR_CTP_INVALID_JSON_BODY",
  "FST_ERR_CTP_EMPTY_JSON_BODY",
  "FST_ERR_CTP_INVALID_MEDIA_TYPE",
  "FST_ERR_CTP_INVALID_CONTENT_LENGTH",
]);

/// Converts an error from Fastify's error handler, such as one of parsing, to a
/// `RequestError`.
function fromFastifyError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  const { code } = error as { code?: string };
  if (code === "FST_ERR_CTP_BODY_TOO_LARGE") {
    return new RequestError("body_too_large");
  }
  const malformed = error instanceof SyntaxError ||
    (code !== undefined && MALFORMED_REQUEST_CODES.has(code));
  if (malformed) {
    const { message } = error as Error;
    return new RequestError("malformed_request", { detail: message });
  }
  return new RequestError("internal", { cause: error });
}

/// Answers bytes that are no valid HTTP request, such as a request with two
/// Content-Length headers.
function rejectMalformedHttp(error: Error, socket: Socket): void {
  const detail = `malformed HTTP request: ${error.message}`;
  const problem = new RequestError("malformed_request", { detail });
  const body = JSON.stringify(problem.toProblem("none"));
  if (!socket.writable) return void socket.destroy();
  socket.end(
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\n" +
      "content-type: application/problem+json\r\n" +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

export interface CallerApi {
  /// It doesn't listen yet.
  readonly application: FastifyInstance;
  readonly responses: OpenResponses;
}

/// Creates the application and the record of its responses.
export function createCallerApi(options: CallerApiOptions): CallerApi {
  const { clock, random, handler } = options;
  const responses = createOpenResponses(clock);
  /// Connections that are closed after their open responses.
  const closing = new WeakSet<Socket>();
  const closeAfterResponses = (socket: Socket) => {
    const response = responses.find(socket);
    if (!response) return void socket.destroy();
    response.once("close", () => closeAfterResponses(socket));
  };
  const application = Fastify({
    bodyLimit: options.bodyLimit,
    genReqId: () => random.hex(REQUEST_ID_BYTES),
    clientErrorHandler(error, connection) {
      const socket = connection as Socket;
      if (!responses.find(socket)) return rejectMalformedHttp(error, socket);
      // The bytes follow requests that are still being answered.
      if (closing.has(socket)) return;
      closing.add(socket);
      closeAfterResponses(socket);
    },
    forceCloseConnections: true,
  });
  // Node.js gives up a connection with a request for a tunnel, and closes it at
  // once if nothing handles that.
  application.server.on("connect", (_message, stream) => {
    const socket = stream as Socket;
    socket.on("error", () => {
      // The caller reset the connection; its "close" event follows.
    });
    socket.once("end", () => socket.destroy());
    socket.on("drain", () => responses.find(socket)?.emit("drain"));
    socket.resume();
    closeAfterResponses(socket);
  });

  const toReceivedRequest = (
    request: FastifyRequest,
    reply: FastifyReply,
  ): ReceivedRequest => ({
    id: request.id,
    headers: readCallerHeaders(request.raw),
    disconnectSignal: responses.endSignalOf(reply.raw),
  });

  const sendProblem = (
    reply: FastifyReply,
    error: RequestError,
    id: string,
  ) => {
    reply.hijack();
    if (!reply.raw.destroyed) writeProblem(reply.raw, error, id);
  };

  const complete = async (
    request: FastifyRequest,
    reply: FastifyReply,
    completion: CallerCompletion,
  ) => {
    const received = toReceivedRequest(request, reply);
    const createdSeconds = Math.floor(clock.wallTime() / 1_000);
    const metadata = { id: received.id, createdSeconds, completion };
    try {
      await handler.complete(received, completion, async (answer, signal) => {
        reply.hijack();
        if (completion.stream) {
          await writeStream(reply.raw, answer, { metadata, signal });
        } else await writeWhole(reply.raw, answer, metadata);
      });
    } catch (error) {
      sendProblem(reply, toRequestError(error), received.id);
    }
  };

  const callService = async (request: FastifyRequest, reply: FastifyReply) => {
    const received = toReceivedRequest(request, reply);
    const parameters = request.params as { service: string; "*": string };
    const [, query] = request.url.split("?", 2);
    const call = {
      method: request.method as "GET" | "POST",
      path: `/${parameters["*"]}`,
      query: query === undefined ? "" : `?${query}`,
      contentType: request.headers["content-type"],
      body: request.body as Buffer | undefined,
    };
    const { service } = parameters;
    const answer = await handler.callService(received, { service, call });
    return reply
      .code(answer.status)
      .header("content-type", answer.contentType)
      .header("x-request-id", received.id)
      .send(answer.body);
  };

  application.addHook("onRequest", (_request, reply, done) => {
    responses.add(reply.raw);
    done();
  });
  application.setErrorHandler((error, request, reply) =>
    sendProblem(reply, fromFastifyError(error), request.id)
  );
  application.setNotFoundHandler((request, reply) =>
    sendProblem(reply, new RequestError("not_found"), request.id)
  );
  application.post(
    "/v1/completions",
    (request, reply) =>
      complete(request, reply, readCompletionBody(request.body)),
  );
  application.post(
    "/v1/chat/completions",
    (request, reply) => complete(request, reply, readChatBody(request.body)),
  );
  application.post("/v1/idempotency-keys", (request, reply) => {
    const received = toReceivedRequest(request, reply);
    const idempotencyKey = handler.issueKey(received);
    return reply
      .code(201)
      .header("x-request-id", received.id)
      .send({ idempotencyKey });
  });
  application.register((scope, _options, done) => {
    scope.removeAllContentTypeParsers();
    const parseAs = "buffer" as const;
    scope.addContentTypeParser("*", { parseAs }, (_request, body, parsed) => {
      parsed(null, body);
    });
    scope.get("/v1/services/:service/*", callService);
    scope.post("/v1/services/:service/*", callService);
    done();
  });
  return { application, responses };
}
