import type { ByteBudget } from "./byte_budget.ts";

/// Counts what an upstream sends beside the body of a response: the head,
/// informational responses, sizes and extensions of chunks, trailers. A faulty
/// upstream may send them without end, and the parser keeps fields until a head or
/// a trailer is complete.

/// Bytes of a head, which the parser limits, and of what may precede it.
const HEAD_BYTES = 65_536;
/// Bytes around each piece of the body: the size of a chunk, a short extension and
/// line breaks.
const BYTES_AROUND_PIECE = 256;
/// Size of an unfinished part of the response from which it counts against the
/// budget of all responses. Each field takes many times its size in memory.
const COUNTED_BYTES = 1_024;
/// Bytes that are parsed at once.
const SLICE_BYTES = 4_096;

export interface ResponseOverhead {
  /// Records that a head was received.
  recordHead(): void;
  recordPiece(piece: Uint8Array): void;
  /// Returns why `parsed` bytes, all that was parsed of the response, are too many
  /// for what they contained; undefined if they aren't.
  findFault(parsed: number): string | undefined;
  /// Number of bytes that may be parsed before the next call of `findFault`.
  nextSlice(): number;
  /// Ends the use of the budget.
  release(): void;
}

/// Creates the count for one response. `unfinished` is the budget for the
/// unfinished heads and trailers of all responses.
export function createResponseOverhead(
  unfinished: ByteBudget,
): ResponseOverhead {
  let allowed = HEAD_BYTES;
  /// Bytes up to the last head or piece, once it is known.
  let finished = 0;
  let isUnfinished = true;
  let isFinishing = false;
  let held = 0;

  const release = () => {
    unfinished.release(held);
    held = 0;
  };

  return {
    recordHead: () => void (isFinishing = true),
    recordPiece({ length }) {
      allowed += length + BYTES_AROUND_PIECE;
      isFinishing = true;
    },
    findFault(parsed) {
      if (parsed > allowed) {
        return "bytes without end that are no part of a response";
      }
      release();
      if (isFinishing) finished = parsed;
      isFinishing = false;
      const bytes = parsed - finished;
      isUnfinished = bytes > 0;
      if (bytes < COUNTED_BYTES) return undefined;
      if (!unfinished.take(bytes)) return "too many bytes of unfinished heads";
      held = bytes;
      return undefined;
    },
    nextSlice: () => isUnfinished ? COUNTED_BYTES : SLICE_BYTES,
    release,
  };
}
