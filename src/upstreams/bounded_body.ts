import { createByteCollector } from "../support/byte_collector.ts";

/// Reads the whole body of a response. Throws if it is longer than
/// `maximumBytes`, as one without end is.
export async function readBoundedBody(
  body: AsyncIterable<Uint8Array>,
  maximumBytes: number,
): Promise<Buffer> {
  const collected = createByteCollector();
  for await (const piece of body) {
    collected.add(Buffer.from(piece.buffer, piece.byteOffset, piece.length));
    if (collected.size() > maximumBytes) {
      throw new Error("a response without end");
    }
  }
  return collected.bytes();
}
