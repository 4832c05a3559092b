import {
  type EngineChunk,
  EngineLostError,
} from "../upstreams/engine_client.ts";

/// Checks the chunks of one attempt, so that the answer stays complete and in
/// order when chunks arrive late, duplicated or mixed with those of another
/// stream.

/// Stream, attempt and token offset that the chunks of an attempt must match.
export interface AttemptPosition {
  readonly streamId: string;
  readonly attempt: number;
  /// Tokens of the answer that the caller has already received.
  readonly offset: number;
}

/// Yields the chunks that continue the answer. Drops duplicate chunks and
/// chunks of other streams or attempts. Throws `EngineLostError` at a gap, at a
/// partial overlap, since the text of a chunk can't be split by tokens, and
/// when the stream ends before its end marker.
export async function* checkedChunks(
  source: AsyncIterable<EngineChunk>,
  position: AttemptPosition,
): AsyncIterable<EngineChunk> {
  let { offset } = position;
  for await (const chunk of source) {
    const isForeign = chunk.streamId !== position.streamId ||
      chunk.attempt !== position.attempt;
    if (isForeign) continue;
    if (chunk.offset > offset) throw new EngineLostError("gap in the stream");
    const isRepeated = chunk.offset < offset;
    if (isRepeated && chunk.offset + chunk.tokens > offset) {
      throw new EngineLostError("overlap in the stream");
    }
    if (isRepeated) continue;
    offset += chunk.tokens;
    yield chunk;
    if (chunk.end) return;
  }
  throw new EngineLostError("the stream ended before its end marker");
}
