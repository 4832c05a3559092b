import type { ServerResponse } from "node:http";
import type { EngineChunk, StreamEnd } from "../upstreams/engine_client.ts";
import { raceAbort } from "../support/abort.ts";
import type { CallerCompletion } from "./caller_body.ts";
import type { RequestError } from "./request_error.ts";

/// Writes answers in the published completions format, as server-sent events
/// or as one document. Backpressure from a slow caller pauses only the stream
/// of that caller.

export interface AnswerMetadata {
  readonly id: string;
  readonly createdSeconds: number;
  readonly completion: CallerCompletion;
}

function toUsage(end: StreamEnd) {
  const { promptTokens, completionTokens, cachedTokens } = end.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}

function toDocument(
  metadata: AnswerMetadata,
  text: string,
  options: { end?: StreamEnd; whole: boolean },
) {
  const { completion } = metadata;
  const { end, whole } = options;
  const finish_reason = end?.finishReason ?? null;
  const message = { role: "assistant", content: text };
  const content = !completion.isChat
    ? { text }
    : whole
    ? { message }
    : { delta: message };
  const object = !completion.isChat
    ? "text_completion"
    : whole
    ? "chat.completion"
    : "chat.completion.chunk";
  return {
    id: metadata.id,
    object,
    created: metadata.createdSeconds,
    model: completion.model,
    choices: [{ index: 0, ...content, finish_reason }],
    usage: end && toUsage(end),
  };
}

const END_OF_STREAM = "data: [DONE]\n\n";

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}

/// Writes each chunk as it arrives. An error after the first chunk ends the
/// stream with an `error` event instead of `[DONE]`.
export async function writeStream(
  response: ServerResponse,
  answer: AsyncIterable<EngineChunk>,
  options: { metadata: AnswerMetadata; signal: AbortSignal },
): Promise<void> {
  let last = "";
  for await (const chunk of answer) {
    if (!response.headersSent) {
      response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": options.metadata.id,
      });
    }
    const { end } = chunk;
    const document = toDocument(options.metadata, chunk.text, {
      end,
      whole: false,
    });
    const event = `data: ${JSON.stringify(document)}\n\n`;
    if (end) last = event;
    else if (!response.write(event)) {
      await raceAbort(waitForDrain(response), options.signal);
    }
  }
  response.end(last + END_OF_STREAM);
}

/// Collects the answer and writes it as one document.
export async function writeWhole(
  response: ServerResponse,
  answer: AsyncIterable<EngineChunk>,
  metadata: AnswerMetadata,
): Promise<void> {
  const texts: string[] = [];
  let end: StreamEnd | undefined;
  for await (const chunk of answer) {
    texts.push(chunk.text);
    end = chunk.end;
  }
  const text = texts.join("");
  const document = toDocument(metadata, text, { end, whole: true });
  response.writeHead(200, {
    "content-type": "application/json",
    "x-request-id": metadata.id,
  });
  response.end(JSON.stringify(document));
}

/// Writes the problem document of a failed request: as an `error` event if
/// the headers have been sent, otherwise as the whole response.
export function writeProblem(
  response: ServerResponse,
  error: RequestError,
  requestId: string,
): void {
  const problem = JSON.stringify(error.toProblem(requestId));
  if (response.headersSent) {
    return void response.end(`event: error\ndata: ${problem}\n\n`);
  }
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "x-request-id": requestId,
  };
  if (error.retryAfterSeconds !== undefined) {
    headers["retry-after"] = String(error.retryAfterSeconds);
  }
  response.writeHead(error.status, headers).end(problem);
}
