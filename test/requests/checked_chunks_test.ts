import test from "ava";
import { checkedChunks } from "../../src/requests/checked_chunks.ts";
import type { EngineChunk } from "../../src/upstreams/engine_client.ts";

/// What becomes of chunks that arrive late, twice, crossed or not at all.

const POSITION = { streamId: "stream", attempt: 2, offset: 3 };
const END = {
  finishReason: "length" as const,
  usage: { promptTokens: 1, completionTokens: 5, cachedTokens: 0 },
};

/// A chunk whose text names its tokens.
function chunk(
  offset: number,
  tokens: number,
  extra: Partial<EngineChunk> = {},
): EngineChunk {
  const numbers = Array.from({ length: tokens }, (_, index) => offset + index);
  const text = numbers.join("");
  return { streamId: "stream", attempt: 2, offset, tokens, text, ...extra };
}

const last = (offset: number, tokens: number) =>
  chunk(offset, tokens, { end: END });

interface ChunkCase {
  readonly name: string;
  readonly chunks: readonly EngineChunk[];
  readonly text: string;
  readonly error?: RegExp;
}

const CASES: readonly ChunkCase[] = [
  { name: "in order", chunks: [chunk(3, 1), last(4, 1)], text: "34" },
  { name: "end alone", chunks: [chunk(3, 2), last(5, 0)], text: "34" },
  {
    name: "doubled",
    chunks: [chunk(3, 1), chunk(3, 1), last(4, 1)],
    text: "34",
  },
  {
    name: "already with the caller",
    chunks: [chunk(0, 3), chunk(3, 1), last(4, 1)],
    text: "34",
  },
  {
    name: "of an earlier attempt",
    chunks: [chunk(3, 1, { attempt: 1, text: "x" }), chunk(3, 1), last(4, 1)],
    text: "34",
  },
  {
    name: "of another stream",
    chunks: [
      chunk(3, 1, { streamId: "other", text: "x" }),
      chunk(3, 1),
      last(4, 1),
    ],
    text: "34",
  },
  {
    name: "after the end",
    chunks: [chunk(3, 1), last(4, 1), chunk(5, 1)],
    text: "34",
  },
  {
    name: "with a gap",
    chunks: [chunk(3, 1), last(5, 1)],
    text: "3",
    error: /gap/,
  },
  {
    name: "crossed",
    chunks: [chunk(4, 1), chunk(3, 1)],
    text: "",
    error: /gap/,
  },
  {
    name: "partly repeated",
    chunks: [chunk(3, 1), last(2, 3)],
    text: "3",
    error: /overlap/,
  },
  {
    name: "truncated",
    chunks: [chunk(3, 1), chunk(4, 1)],
    text: "34",
    error: /before its end/,
  },
  { name: "missing", chunks: [], text: "", error: /before its end/ },
];

async function* emit(chunks: readonly EngineChunk[]) {
  await Promise.resolve();
  yield* chunks;
}

for (const { name, chunks, text, error } of CASES) {
  test(`chunks ${name}`, async (t) => {
    let received = "";
    const read = async () => {
      const checked = checkedChunks(emit(chunks), POSITION);
      for await (const piece of checked) received += piece.text;
    };
    if (error) await t.throwsAsync(read(), { message: error });
    else await read();
    t.is(received, text);
  });
}
