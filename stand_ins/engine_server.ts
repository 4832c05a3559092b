import type { ServerResponse } from "node:http";
import type { FastifyReply } from "fastify";
import {
  type CacheReference,
  type EngineChunk,
  EngineLostError,
  EngineNotReachedError,
  type EngineOrder,
  EngineRefusedError,
  type ReservationCall,
  type SpanCall,
} from "../src/upstreams/engine_client.ts";
import { describePrompt } from "../src/upstreams/prompt_blocks.ts";
import type { EngineModel } from "./engine_model.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// Serves an engine model over the completions protocol and its extension.

interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly stream_id: string;
  readonly attempt?: number;
  readonly reservation?: string;
  readonly context?: readonly CacheReference[];
}

const DEFAULT_MAXIMUM_TOKENS = 16;

function toSpanCall(body: CompletionBody): SpanCall {
  return {
    streamId: body.stream_id,
    attempt: body.attempt ?? 1,
    model: body.model,
    prompt: describePrompt(body.prompt),
    priority: body.priority ?? 0,
    context: body.context ?? [],
    reservation: body.reservation,
  };
}

function toEvent(chunk: EngineChunk) {
  const { end } = chunk;
  return {
    object: "text_completion",
    choices: [{
      index: 0,
      text: chunk.text,
      finish_reason: end?.finishReason ?? null,
    }],
    usage: end && {
      prompt_tokens: end.usage.promptTokens,
      completion_tokens: end.usage.completionTokens,
      cached_tokens: end.usage.cachedTokens,
    },
    stream: {
      id: chunk.streamId,
      attempt: chunk.attempt,
      offset: chunk.offset,
      tokens: chunk.tokens,
    },
  };
}

function waitUntilWritable(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}

async function writeStream(
  reply: FastifyReply,
  openStream: (signal: AbortSignal) => AsyncIterable<EngineChunk>,
): Promise<void> {
  const response = reply.raw;
  const disconnection = new AbortController();
  response.once(
    "close",
    () => disconnection.abort(new Error("the client disconnected")),
  );
  reply.hijack();
  try {
    for await (const chunk of openStream(disconnection.signal)) {
      if (!response.headersSent) {
        response.writeHead(200, { "content-type": "text/event-stream" });
      }
      const event = `data: ${JSON.stringify(toEvent(chunk))}\n\n`;
      if (!response.write(event)) await waitUntilWritable(response);
    }
    response.end("data: [DONE]\n\n");
  } catch (error) {
    if (response.headersSent || !(error instanceof EngineRefusedError)) {
      return void response.destroy();
    }
    response.writeHead(503).end(JSON.stringify({ error: error.reason }));
  }
}

/// Serves the engine on a loopback port.
export async function startEngineServer(
  engine: EngineModel,
  port = 0,
): Promise<StandInServer> {
  const application = createStandInApplication();

  application.setErrorHandler((error, _request, reply) => {
    if (error instanceof EngineRefusedError) {
      return reply.code(409).send({ error: error.reason });
    }
    const isConnectionError = error instanceof EngineNotReachedError ||
      error instanceof EngineLostError;
    if (isConnectionError) return void reply.raw.destroy();
    return reply.code(400).send({ error: String(error) });
  });

  application.post("/v1/completions", async (request, reply) => {
    const body = request.body as CompletionBody;
    const maximumTokens = body.max_tokens ?? DEFAULT_MAXIMUM_TOKENS;
    const call = { ...toSpanCall(body), maximumTokens };
    await writeStream(reply, (signal) => engine.complete(call, signal));
  });

  application.post("/v1/streams/:id/resume", async (request, reply) => {
    const { id } = request.params as { id: string };
    const position = request.body as { offset: number; attempt: number };
    await writeStream(
      reply,
      (signal) => engine.resume(id, position, signal),
    );
  });

  application.delete("/v1/streams/:id", async (request) => {
    await engine.cancel((request.params as { id: string }).id);
    return {};
  });

  application.get("/v1/streams", () => engine.listStreams());

  application.post("/v1/spans", async (request, reply) => {
    const disconnection = new AbortController();
    reply.raw.once(
      "close",
      () => disconnection.abort(new Error("the client disconnected")),
    );
    const call = toSpanCall(request.body as CompletionBody);
    return await engine.prefillSpan(call, disconnection.signal);
  });

  application.delete("/v1/exports/:id", async (request) => {
    await engine.dropExport((request.params as { id: string }).id);
    return {};
  });

  application.post("/v1/reservations", async (request) => {
    await engine.reserve(request.body as ReservationCall);
    return {};
  });

  application.post("/v1/reservations/:id/renew", async (request) => {
    const { id } = request.params as { id: string };
    const body = request.body as { leaseMilliseconds: number };
    await engine.renew(id, body.leaseMilliseconds);
    return {};
  });

  application.delete("/v1/reservations/:id", async (request) => {
    await engine.release((request.params as { id: string }).id);
    return {};
  });

  application.post("/v1/orders", async (request) => {
    await engine.order(request.body as EngineOrder);
    return {};
  });

  application.get("/v1/load", () => engine.load());

  application.get("/v1/cache/events", (request) => {
    const { after } = request.query as { after?: string };
    return engine.cacheEvents(Number(after ?? 0));
  });

  return await listen(application, port);
}
