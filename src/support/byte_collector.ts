/// Joins pieces of bytes into one buffer. They are copied: a piece of a byte would
/// take more memory for itself, and keep the whole read that it came with.

const BLOCK_BYTES = 16_384;
/// A body of some hundred bytes takes no whole block.
const FIRST_BLOCK_BYTES = 1_024;

export interface ByteCollector {
  add(piece: Buffer): void;
  /// Number of bytes added so far.
  size(): number;
  /// Returns the bytes added so far.
  bytes(): Buffer;
}

export function createByteCollector(): ByteCollector {
  const blocks: Buffer[] = [];
  /// The block that has room, and the number of bytes in it.
  let current = Buffer.alloc(0);
  let used = 0;
  let size = 0;

  return {
    add(piece) {
      size += piece.length;
      let rest = piece;
      while (rest.length > 0) {
        if (used === current.length) {
          if (used > 0) blocks.push(current);
          const isFirst = blocks.length === 0;
          current = Buffer.allocUnsafeSlow(
            isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES,
          );
          used = 0;
        }
        const copied = rest.copy(current, used);
        used += copied;
        rest = rest.subarray(copied);
      }
    },
    size: () => size,
    bytes: () => Buffer.concat([...blocks, current.subarray(0, used)], size),
  };
}
