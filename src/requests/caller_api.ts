import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import Fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { ContractBook, Contracts } from "../contracts/contract_book.ts";
import {
  type Customer,
  type ModelShare,
  PRIORITIES,
  type Priority,
} from "../contracts/sheet.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import { describePrompt } from "../upstreams/prompt_blocks.ts";
import type { TokenEstimator } from "../upstreams/token_estimator.ts";
import type { Admission } from "./admission.ts";
import { writeProblem, writeStream, writeWhole } from "./answer_writer.ts";
import {
  type CallerCompletion,
  readChatBody,
  readCompletionBody,
} from "./caller_body.ts";
import { type CallerHeaders, readCallerHeaders } from "./caller_headers.ts";
import type {
  CompletionRequest,
  CompletionRunner,
  RunContext,
} from "./completion_run.ts";
import { startDeadline } from "./deadline.ts";
import { RequestError, toRequestError } from "./request_error.ts";
import type { OpenRequest, RequestRegistry } from "./request_registry.ts";
import type { ServiceRunner } from "./service_run.ts";

/// The interface towards callers.

export interface CallerApiOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly book: ContractBook;
  readonly registry: RequestRegistry;
  readonly admission: Admission;
  readonly completions: CompletionRunner;
  readonly services: ServiceRunner;
  readonly estimator: TokenEstimator;
  /// Largest accepted body in bytes.
  readonly bodyLimit: number;
}

const REQUEST_ID_BYTES = 12;
const PRIORITY_STEP = 10;
/// Added to the engine priority of long prompts.
const LONG_PRIORITY_OFFSET = 5;
const MALFORMED_CODES = new Set([
  "FST_ERR_CTP_INVALID_JSON_BODY",
  "FST_ERR_CTP_EMPTY_JSON_BODY",
  "FST_ERR_CTP_INVALID_MEDIA_TYPE",
  "FST_ERR_CTP_INVALID_CONTENT_LENGTH",
]);

interface Authenticated {
  readonly headers: CallerHeaders;
  readonly customer: Customer;
  readonly contracts: Contracts;
}

interface Work {
  readonly open: OpenRequest;
  readonly caller: Authenticated;
  readonly tokens: number;
  readonly isLong: boolean;
}

/// The less urgent of the customer's priority and the one asked for.
function effectivePriority(caller: Authenticated): Priority {
  const contract = PRIORITIES.indexOf(caller.customer.priority);
  const asked = PRIORITIES.indexOf(caller.headers.priority ?? PRIORITIES[0]);
  return PRIORITIES[Math.max(contract, asked)]!;
}

function chooseVersion(shares: readonly ModelShare[], random: RandomSource) {
  const total = shares.reduce((sum, share) => sum + share.share, 0);
  let point = random.next() * total;
  for (const share of shares) {
    point -= share.share;
    if (point < 0) return share.version;
  }
  return shares.at(-1)!.version;
}

/// Turns whatever was thrown before the request began into a problem.
function toEarlyError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  const { code } = error as { code?: string };
  if (code === "FST_ERR_CTP_BODY_TOO_LARGE") {
    return new RequestError("body_too_large");
  }
  const malformed = error instanceof SyntaxError ||
    (code !== undefined && MALFORMED_CODES.has(code));
  if (malformed) {
    const { message } = error as Error;
    return new RequestError("malformed_request", { detail: message });
  }
  return new RequestError("internal", { cause: error });
}

/// Answers bytes that are no HTTP request, such as two lengths at once.
function refuseBytes(error: Error, socket: Socket): void {
  const detail = `malformed HTTP request: ${error.message}`;
  const problem = new RequestError("malformed_request", { detail });
  const body = JSON.stringify(problem.toProblem("none"));
  if (socket.writable) {
    socket.end(
      "HTTP/1.1 400 Bad Request\r\nconnection: close\r\n" +
        "content-type: application/problem+json\r\n" +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  } else socket.destroy();
}

/// Creates the application; the caller makes it listen.
export function createCallerApi(options: CallerApiOptions): FastifyInstance {
  const { clock, random, book, registry, admission, log } = options;
  const application = Fastify({
    bodyLimit: options.bodyLimit,
    genReqId: () => random.hex(REQUEST_ID_BYTES),
    clientErrorHandler: (error, socket) => refuseBytes(error, socket as Socket),
    forceCloseConnections: true,
  });

  const authenticate = (request: FastifyRequest): Authenticated => {
    const headers = readCallerHeaders(request.raw);
    const contracts = book.current();
    const customer = contracts.customerOf(headers.keyHash);
    if (!customer) throw new RequestError("unauthenticated");
    return { headers, customer, contracts };
  };

  const deadlineOf = (
    { headers, customer }: Authenticated,
    isLong: boolean,
  ) => {
    const limit = isLong
      ? customer.longDeadlineMilliseconds
      : customer.shortDeadlineMilliseconds;
    return Math.min(headers.deadline ?? limit, limit);
  };

  /// Admits the request, runs `action` under its deadline and tells the
  /// caller of its end, whatever it is.
  const carryOut = async (
    work: Work,
    response: ServerResponse,
    action: (context: RunContext) => Promise<void>,
  ) => {
    const { open, caller } = work;
    const gone = new AbortController();
    const deadline = startDeadline(clock, deadlineOf(caller, work.isLong));
    const problem = new RequestError("caller_gone", { executed: "unknown" });
    const onClose = () => gone.abort(problem);
    response.once("close", onClose);
    const signal = AbortSignal.any([deadline.signal, gone.signal]);
    let release = () => {};
    try {
      const ticket = admission.admit({ ...work, customer: caller.customer });
      release = () => ticket.release();
      open.update({ state: "admitted" });
      await action({ open, deadline, signal });
      open.end();
    } catch (thrown) {
      const error = toRequestError(thrown);
      if (error.code === "internal") {
        const reason = String((error.cause as Error)?.stack ?? error.cause);
        log.warn("internal error", { requestId: open.id, reason });
      }
      if (!response.destroyed) writeProblem(response, error, open.id);
      open.end(error);
    } finally {
      response.off("close", onClose);
      deadline.clear();
      release();
    }
  };

  const planCompletion = (
    caller: Authenticated,
    completion: CallerCompletion,
  ): CompletionRequest => {
    const { contracts, customer } = caller;
    const { model, maximumTokens } = completion;
    if (!contracts.hasModel(model)) throw new RequestError("model_unknown");
    const shares = contracts.sharesOf(customer.name, model);
    if (shares.length === 0) throw new RequestError("model_not_allowed");
    const bytesPerToken = options.estimator.bytesPerToken(model);
    const prompt = describePrompt(completion.prompt, bytesPerToken);
    const isLong = prompt.tokens >= contracts.options.longPromptTokens;
    const level = PRIORITIES.indexOf(effectivePriority(caller));
    return {
      customer: customer.name,
      model,
      version: chooseVersion(shares, random),
      prompt,
      maximumTokens,
      priority: level * PRIORITY_STEP + (isLong ? LONG_PRIORITY_OFFSET : 0),
      isLong,
    };
  };

  const complete = async (
    request: FastifyRequest,
    reply: FastifyReply,
    completion: CallerCompletion,
  ) => {
    const caller = authenticate(request);
    const plan = planCompletion(caller, completion);
    const { customer, isLong } = plan;
    const promptTokens = plan.prompt.tokens;
    const open = registry.open({
      id: request.id,
      kind: "completion",
      customer,
      target: plan.model,
      promptTokens,
      isLong,
    });
    const tokens = promptTokens + plan.maximumTokens;
    const work = { open, caller, tokens, isLong };
    const createdSeconds = Math.floor(clock.wallTime() / 1_000);
    const identity = { id: open.id, createdSeconds, completion };
    reply.hijack();
    const response = reply.raw;
    await carryOut(work, response, async (context) => {
      const answer = learnUsage(options.completions.run(plan, context), plan);
      const { signal } = context;
      if (completion.stream) {
        await writeStream(response, answer, { identity, signal });
      } else await writeWhole(response, answer, identity);
    });
  };

  async function* learnUsage(
    answer: ReturnType<CompletionRunner["run"]>,
    { model, prompt }: CompletionRequest,
  ) {
    for await (const chunk of answer) {
      if (chunk.end) {
        const bytes = Buffer.byteLength(prompt.text);
        const tokens = chunk.end.usage.promptTokens;
        options.estimator.learn(model, { bytes, tokens });
      }
      yield chunk;
    }
  }

  const callService = async (request: FastifyRequest, reply: FastifyReply) => {
    const caller = authenticate(request);
    const { headers, contracts } = caller;
    const parameters = request.params as { service: string; "*": string };
    const { service } = parameters;
    if (contracts.upstreamsOf("service", service).length === 0) {
      throw new RequestError("service_unknown");
    }
    const customer = caller.customer.name;
    const open = registry.open({
      id: request.id,
      kind: "service",
      customer,
      target: service,
      promptTokens: 0,
      isLong: false,
    });
    const [, query] = request.url.split("?", 2);
    const call = {
      method: request.method as "GET" | "POST",
      path: `/${parameters["*"]}`,
      query: query === undefined ? "" : `?${query}`,
      contentType: request.headers["content-type"],
      idempotencyKey: headers.idempotencyKey,
      body: request.body as Buffer | undefined,
    };
    reply.hijack();
    const response = reply.raw;
    const work = { open, caller, tokens: 0, isLong: false };
    await carryOut(work, response, async (context) => {
      const plan = { customer, service, call, contracts };
      const answer = await options.services.run(plan, context);
      response.writeHead(answer.status, {
        "content-type": answer.contentType,
        "x-request-id": open.id,
      });
      response.end(answer.body);
    });
  };

  application.setErrorHandler((error, request, reply) => {
    reply.hijack();
    writeProblem(reply.raw, toEarlyError(error), request.id);
  });
  application.setNotFoundHandler((request, reply) => {
    reply.hijack();
    writeProblem(reply.raw, new RequestError("not_found"), request.id);
  });
  application.post(
    "/v1/completions",
    (request, reply) =>
      complete(request, reply, readCompletionBody(request.body)),
  );
  application.post(
    "/v1/chat/completions",
    (request, reply) => complete(request, reply, readChatBody(request.body)),
  );
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
  return application;
}
