import type { Duplex } from "node:stream";

/// Makes `read` of a connection return slices, since a read of the socket may have
/// thousands of fields or chunks. `nextSlice` is called before each, when the bytes
/// before it have been parsed, and returns its largest size; 0 reads nothing.
export function readInSlices(
  connection: Duplex,
  nextSlice: () => number,
): void {
  const read = connection.read.bind(connection);
  connection.read = (size?: number) => {
    if (size !== undefined) return read(size);
    const slice = nextSlice();
    if (slice === 0) return null;
    return connection.readableLength > slice ? read(slice) : read();
  };
}
