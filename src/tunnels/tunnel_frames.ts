import type { Socket } from "node:net";
import { Duplex, Transform, type TransformCallback } from "node:stream";

/// What a tunnel carries from the upstream to its caller: frames of a length and
/// as many bytes. The last one is empty, so that the close of the tunnel isn't
/// taken for that of the upstream, which may be the end of a response.

/// Header field by which a caller asks for frames, and the VM confirms them. VMs
/// of earlier builds pass the bytes on as they are.
export const TUNNEL_FRAMES_FIELD = "x-tunnel-frames";
/// Its value.
export const TUNNEL_FRAMES = "1";

const LENGTH_BYTES = 4;

/// Creates a stream that puts an upstream's bytes into frames. It adds the last
/// one if `wasClosed` says so at the end, and fails otherwise.
export function createFrameEncoder(wasClosed: () => boolean): Transform {
  const frame = (bytes: Buffer) => {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(bytes.length);
    return Buffer.concat([length, bytes]);
  };
  return new Transform({
    transform: (chunk: Buffer, _encoding, callback: TransformCallback) =>
      callback(null, chunk.length > 0 ? frame(chunk) : undefined),
    flush(callback: TransformCallback) {
      if (!wasClosed()) return callback(new Error("the upstream was lost"));
      callback(null, frame(Buffer.alloc(0)));
    },
  });
}

/// The tunnel was closed before its upstream.
class TunnelClosedError extends Error {
  override readonly name = "TunnelClosedError";
  readonly code = "ECONNRESET";
}

/// The caller's end of a tunnel: a stream to and from the upstream. It ends if the
/// upstream has closed its connection, and fails if only the tunnel was closed.
export class TunnelConnection extends Duplex {
  readonly #socket: Socket;
  readonly #isFramed: boolean;
  /// The bytes of a length that has arrived in part.
  #length: Buffer = Buffer.alloc(0);
  /// Bytes of the current frame that have not arrived yet.
  #missing = 0;
  #received = 0;
  /// Whether the last frame has arrived.
  #isComplete = false;

  constructor(socket: Socket, options: { readonly isFramed: boolean }) {
    super();
    this.#socket = socket;
    this.#isFramed = options.isFramed;
    socket.on("data", (bytes: Buffer) => {
      const hasRoom = this.#isFramed ? this.#decode(bytes) : this.#pass(bytes);
      if (!hasRoom) socket.pause();
    });
    socket.on("error", (error) => this.destroy(error));
    // Without frames, nothing tells whether the upstream has closed.
    const onClose = () => {
      if (!this.#isComplete) {
        this.destroy(new TunnelClosedError("the tunnel was closed"));
      }
    };
    socket.on("end", onClose);
    socket.on("close", onClose);
  }

  /// Number of bytes of the upstream that were received so far.
  get bytesRead(): number {
    return this.#received;
  }

  #pass(bytes: Buffer): boolean {
    this.#received += bytes.length;
    return this.push(bytes);
  }

  /// Passes on what the frames contain. Returns false to pause.
  #decode(bytes: Buffer): boolean {
    let rest = bytes;
    let hasRoom = true;
    while (rest.length > 0) {
      if (this.#missing === 0) {
        const count = LENGTH_BYTES - this.#length.length;
        this.#length = Buffer.concat([this.#length, rest.subarray(0, count)]);
        rest = rest.subarray(count);
        if (this.#length.length < LENGTH_BYTES) break;
        this.#missing = this.#length.readUInt32BE();
        this.#length = Buffer.alloc(0);
        if (this.#missing === 0) {
          this.#isComplete = true;
          this.push(null);
          return false;
        }
        continue;
      }
      const part = rest.subarray(0, this.#missing);
      this.#missing -= part.length;
      rest = rest.subarray(part.length);
      hasRoom = this.#pass(part);
    }
    return hasRoom;
  }

  override _read() {
    this.#socket.resume();
  }

  override _write(
    bytes: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ) {
    this.#socket.write(bytes, callback);
  }

  override _final(callback: () => void) {
    this.#socket.end();
    callback();
  }

  override _destroy(
    error: Error | null,
    callback: (error: Error | null) => void,
  ) {
    this.#socket.destroy();
    callback(error);
  }
}
