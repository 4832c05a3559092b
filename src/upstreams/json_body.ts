import { Readable } from "node:stream";

/// Request bodies for engines. A long prompt is serialised in chunks, so that
/// no second copy of it is kept in memory while its request runs.

/// UTF-16 code units of a prompt in one chunk.
const CHUNK_CHARACTERS = 65_536;

/// A body whose member `prompt` may be long.
export interface PromptBody {
  readonly prompt: string;
}

function* jsonChunks({ prompt, ...rest }: PromptBody): Iterable<string> {
  const head = JSON.stringify(rest);
  yield head === "{}" ? '{"prompt":"' : head.slice(0, -1) + ',"prompt":"';
  // JSON.stringify escapes each half of a surrogate pair that is split in
  // two; the engine's JSON parser joins the two halves again.
  for (let offset = 0; offset < prompt.length; offset += CHUNK_CHARACTERS) {
    const chunk = JSON.stringify(
      prompt.slice(offset, offset + CHUNK_CHARACTERS),
    );
    yield chunk.slice(1, -1);
  }
  yield '"}';
}

/// Serialises a body as JSON: to one string if its prompt is short, otherwise
/// to a stream.
export function toJsonBody(body: object): string | Readable {
  const { prompt } = body as Partial<PromptBody>;
  const isLong = prompt !== undefined && prompt.length > CHUNK_CHARACTERS;
  if (!isLong) return JSON.stringify(body);
  return Readable.from(jsonChunks(body as PromptBody));
}
