import { Readable } from "node:stream";

/// Bodies of calls to engines. A long prompt is written piece by piece, so
/// that no second copy of it is kept while its request runs.

/// Characters of a prompt in one piece.
const PIECE_CHARACTERS = 65_536;

/// A body whose member `prompt` may be long.
export interface PromptBody {
  readonly prompt: string;
}

function* jsonPieces({ prompt, ...rest }: PromptBody): Iterable<string> {
  const head = JSON.stringify(rest);
  yield head === "{}" ? '{"prompt":"' : head.slice(0, -1) + ',"prompt":"';
  // A pair of surrogates that is cut in two is escaped as two halves, which
  // the reader joins again.
  for (let at = 0; at < prompt.length; at += PIECE_CHARACTERS) {
    const piece = JSON.stringify(prompt.slice(at, at + PIECE_CHARACTERS));
    yield piece.slice(1, -1);
  }
  yield '"}';
}

/// The JSON text of a body: whole when it is short, else as a stream.
export function toJsonBody(body: object): string | Readable {
  const { prompt } = body as Partial<PromptBody>;
  const long = prompt !== undefined && prompt.length > PIECE_CHARACTERS;
  if (!long) return JSON.stringify(body);
  return Readable.from(jsonPieces(body as PromptBody));
}
