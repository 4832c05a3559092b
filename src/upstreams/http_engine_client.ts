import { createConnector, NotConnectedError } from "../tunnels/connector.ts";
import type { UpstreamDialler } from "../tunnels/upstream_dialler.ts";
import { readBoundedBody } from "./bounded_body.ts";
import { createCheckedClient } from "./checked_client.ts";
import { toJsonBody } from "./json_body.ts";
import {
  type CacheEvent,
  type CacheReference,
  type CompletionCall,
  type EngineChunk,
  type EngineClient,
  EngineLostError,
  EngineNotReachedError,
  EngineRefusedError,
  type ListedStream,
  type LoadReport,
  type SpanCall,
  type StreamEnd,
} from "./engine_client.ts";
import { createRenewablePool } from "./renewable_pool.ts";

/// Limit for one engine; each connection carries one stream at a time.
const MAXIMUM_CONNECTIONS = 512;
/// Limit for a reply to a control call, or a refusal. Engines send some kilobytes.
const MAXIMUM_REPLY_BYTES = 8_388_608;
/// Limit for a line of an event stream. Engines send some hundred characters.
const MAXIMUM_LINE_LENGTH = 262_144;
/// Timeout of calls that carry no stream.
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;
/// With these statuses, an engine replies that it did not start the request.
const REFUSED_STATUSES = new Set([400, 404, 409, 413, 429, 503]);

interface CompletionEvent {
  readonly choices: readonly {
    readonly text: string;
    readonly finish_reason: StreamEnd["finishReason"] | null;
  }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly cached_tokens: number;
  };
  readonly stream: {
    readonly id: string;
    readonly attempt: number;
    readonly offset: number;
    readonly tokens: number;
  };
}

export interface HttpEngineClient extends EngineClient {
  close(): Promise<void>;
}

function toChunk(event: CompletionEvent): EngineChunk {
  const choice = event.choices[0];
  const { usage, stream } = event;
  const reason = choice?.finish_reason;
  const end = reason && usage && {
    finishReason: reason,
    usage: {
      promptTokens: usage.prompt_tokens,
      completionTokens: usage.completion_tokens,
      cachedTokens: usage.cached_tokens,
    },
  };
  return {
    streamId: stream.id,
    attempt: stream.attempt,
    offset: stream.offset,
    tokens: stream.tokens,
    text: choice?.text ?? "",
    end: end || undefined,
  };
}

/// Converts a failure of the HTTP client to one of the engine errors.
function toEngineError(error: unknown): Error {
  if (error instanceof EngineRefusedError) return error;
  const reason = error instanceof Error ? error.message : String(error);
  if (error instanceof NotConnectedError) {
    const hasEnded = error.failure === "refused";
    return new EngineNotReachedError(reason, { cause: error, hasEnded });
  }
  return new EngineLostError(reason, { cause: error });
}

/// Yields the chunks of an event stream. The last one is yielded only after the
/// body has ended, so that the connection can be reused.
async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncIterable<EngineChunk> {
  const decoder = new TextDecoder();
  /// The parts of a line that isn't complete yet, and their length.
  let parts: string[] = [];
  let length = 0;
  let last: EngineChunk | undefined;
  try {
    for await (const part of body) {
      const text = decoder.decode(part, { stream: true });
      parts.push(text);
      length += text.length;
      if (length > MAXIMUM_LINE_LENGTH) throw new Error("a line without end");
      if (!text.includes("\n")) continue;
      const lines = parts.join("").split("\n");
      parts = [lines.pop() ?? ""];
      length = parts[0]!.length;
      for (const line of lines) {
        if (!line.startsWith("data: {")) continue;
        const chunk = toChunk(JSON.parse(line.slice(6)) as CompletionEvent);
        if (chunk.end) last = chunk;
        else yield chunk;
      }
    }
  } catch (error) {
    if (!last) throw error;
  }
  if (!last) throw new EngineLostError("the event stream ended early");
  yield last;
}

async function readJson(body: AsyncIterable<Uint8Array>): Promise<unknown> {
  return JSON.parse(String(await readBoundedBody(body, MAXIMUM_REPLY_BYTES)));
}

function toSpanBody(call: SpanCall) {
  return {
    model: call.model,
    prompt: call.prompt.text,
    priority: call.priority,
    stream: true,
    stream_id: call.streamId,
    attempt: call.attempt,
    reservation: call.reservation,
    context: call.context,
  };
}

function pathOf(collection: string, id: string): string {
  return `/v1/${collection}/${encodeURIComponent(id)}`;
}

export interface HttpEngineClientOptions {
  readonly name: string;
  /// Host and port.
  readonly address: string;
  readonly dialler: UpstreamDialler;
}

export function createHttpEngineClient(
  { name, address, dialler }: HttpEngineClientOptions,
): HttpEngineClient {
  const pool = createRenewablePool(`http://${address}`, {
    connections: MAXIMUM_CONNECTIONS,
    pipelining: 1,
    connect: createConnector(dialler, address),
    factory: createCheckedClient,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const send = async (
    method: "GET" | "POST" | "DELETE",
    path: string,
    options: { body?: object; signal: AbortSignal },
  ) => {
    const response = await pool.request({
      method,
      path,
      headers: options.body ? { "content-type": "application/json" } : {},
      body: options.body ? toJsonBody(options.body) : undefined,
      signal: options.signal,
      reset: !dialler.mayKeep(address),
    });
    if (response.statusCode < 300) return response.body;
    // A refusal doesn't identify its request. A late copy of it would be taken
    // for the refusal of the next request on its connection.
    pool.renew();
    const text = String(
      await readBoundedBody(response.body, MAXIMUM_REPLY_BYTES),
    );
    if (REFUSED_STATUSES.has(response.statusCode)) {
      throw new EngineRefusedError(`${response.statusCode} ${text}`);
    }
    throw new EngineLostError(`${response.statusCode} ${text}`);
  };

  async function* stream(
    path: string,
    body: object,
    signal: AbortSignal,
  ): AsyncIterable<EngineChunk> {
    try {
      yield* readEvents(await send("POST", path, { body, signal }));
    } catch (error) {
      throw toEngineError(error);
    }
  }

  const control = async (
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: object,
  ): Promise<unknown> => {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MILLISECONDS);
    try {
      const answer = await send(method, path, { body, signal });
      return await readJson(answer);
    } catch (error) {
      // The kept connections may be as dead as the one of the call.
      if (signal.aborted) pool.renew();
      throw toEngineError(error);
    }
  };

  return {
    complete: (call: CompletionCall, signal) =>
      stream("/v1/completions", {
        ...toSpanBody(call),
        max_tokens: call.maximumTokens,
      }, signal),
    resume: (streamId, position, signal) =>
      stream(`${pathOf("streams", streamId)}/resume`, position, signal),
    async cancel(streamId) {
      await control("DELETE", pathOf("streams", streamId));
    },
    async listStreams() {
      return await control("GET", "/v1/streams") as ListedStream[];
    },
    async reserve(call) {
      await control("POST", "/v1/reservations", call);
    },
    async renew(reservation, leaseMilliseconds) {
      const path = `${pathOf("reservations", reservation)}/renew`;
      await control("POST", path, { leaseMilliseconds });
    },
    async release(reservation) {
      await control("DELETE", pathOf("reservations", reservation));
    },
    async prefillSpan(call, signal) {
      try {
        const body = toSpanBody(call);
        const answer = await send("POST", "/v1/spans", { body, signal });
        const reference = await readJson(answer) as Omit<
          CacheReference,
          "engine"
        >;
        return { ...reference, engine: name };
      } catch (error) {
        throw toEngineError(error);
      }
    },
    async dropExport(exportId) {
      await control("DELETE", pathOf("exports", exportId));
    },
    async order(order) {
      await control("POST", "/v1/orders", order);
    },
    async load() {
      return await control("GET", "/v1/load") as LoadReport;
    },
    async cacheEvents(after) {
      const path = `/v1/cache/events?after=${after}`;
      return await control("GET", path) as CacheEvent[];
    },
    close: () => pool.destroy(),
  };
}
