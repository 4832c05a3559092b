import {
  type EngineChunk,
  EngineLostError,
} from "../upstreams/engine_client.ts";

/// Checks the chunks of one attempt, so that an answer is whole whatever
/// arrives late, twice or crossed.

/// What an attempt expects its chunks to carry.
export interface AttemptPosition {
  readonly streamId: string;
  readonly attempt: number;
  /// Tokens of the answer that the caller already has.
  readonly offset: number;
}

/// Yields the chunks that continue the answer. Chunks of other streams or
/// attempts and repeated ones are dropped. Throws `EngineLostError` at a gap,
/// at a chunk that repeats a part only, whose text can't be cut by tokens, and
/// when the stream stops before its end marker.
export async function* checkedChunks(
  source: AsyncIterable<EngineChunk>,
  position: AttemptPosition,
): AsyncIterable<EngineChunk> {
  let { offset } = position;
  for await (const chunk of source) {
    const foreign = chunk.streamId !== position.streamId ||
      chunk.attempt !== position.attempt;
    if (foreign) continue;
    if (chunk.offset > offset) throw new EngineLostError("gap in the stream");
    const repeated = chunk.offset < offset;
    if (repeated && chunk.offset + chunk.tokens > offset) {
      throw new EngineLostError("overlap in the stream");
    }
    if (repeated) continue;
    offset += chunk.tokens;
    yield chunk;
    if (chunk.end) return;
  }
  throw new EngineLostError("the stream stopped before its end");
}
