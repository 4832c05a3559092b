import type { IncomingMessage } from "node:http";

/// Reads the bodies of callers' requests into memory, of which all bodies
/// together use a limited amount.

/// How reading a body ended.
export type ReadBody =
  | { readonly kind: "read"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "no_memory" }
  /// The caller disconnected or violated the protocol within its body.
  | {
    readonly kind: "failed";
    readonly reason: string;
    readonly size: number;
  };

export interface BodyReader {
  /// Reads the body of a request. The rest of a body that is too large is read
  /// and discarded, since the next request of the connection follows it.
  read(message: IncomingMessage, limit: number): Promise<ReadBody>;
  /// Counts a body that has been read until the returned function is called.
  hold(body: Buffer): () => void;
}

/// Creates a reader of bodies that together take up to `maximumBytes`.
export function createBodyReader(maximumBytes: number): BodyReader {
  let held = 0;
  return {
    read: (message, limit) =>
      new Promise((resolve) => {
        let chunks: Buffer[] = [];
        let size = 0;
        let isOver = false;
        const settle = (result: ReadBody) => {
          if (isOver) return;
          isOver = true;
          held -= size;
          chunks = [];
          resolve(result);
        };
        message.on("data", (chunk: Buffer) => {
          if (isOver) return;
          size += chunk.length;
          held += chunk.length;
          chunks.push(chunk);
          if (size > limit) settle({ kind: "too_large" });
          else if (held > maximumBytes) settle({ kind: "no_memory" });
        });
        message.on("end", () =>
          settle({ kind: "read", body: Buffer.concat(chunks, size) }));
        message.on("error", ({ message: reason }: Error) =>
          settle({ kind: "failed", reason, size }));
        message.on("close", () =>
          settle({ kind: "failed", reason: "closed", size }));
      }),
    hold(body) {
      held += body.length;
      return () => void (held -= body.length);
    },
  };
}
