import type { IncomingMessage } from "node:http";
import { createByteCollector } from "../support/byte_collector.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import { createPieceMeter, type PieceQuota } from "./piece_quota.ts";

/// Reads the bodies of callers' requests into memory, of which all bodies
/// together use a limited amount.

/// Small pieces from which a body counts as one in small pieces.
const MANY_SMALL_PIECES = 1_024;
/// Bodies in small pieces that are read at the same time. While one waits for its
/// share of the processor, Node.js keeps thousands of its pieces.
const MAXIMUM_SMALL_PIECED_BODIES = 8;
/// Time in which a body in small pieces has to arrive.
const SMALL_PIECED_TIMEOUT_MILLISECONDS: Milliseconds = 10_000;
/// Bytes of a refused body that are discarded before its connection is closed.
const MAXIMUM_DISCARDED_BYTES = 16_777_216;

/// How reading a body ended.
export type ReadBody =
  | { readonly kind: "read"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  /// There is no memory for it, or no processor time for its small pieces.
  | { readonly kind: "no_memory" }
  /// The caller disconnected or violated the protocol within its body.
  | {
    readonly kind: "failed";
    readonly reason: string;
    readonly size: number;
  };

export interface BodyReader {
  /// Reads the body of a request. The rest of a body that is refused is read and
  /// discarded, since the next request of the connection follows it, unless it is
  /// very long or in small pieces.
  read(message: IncomingMessage, limit: number): Promise<ReadBody>;
  /// Reads and discards the body of a request that is refused without it.
  discard(message: IncomingMessage): void;
  /// Counts a body that has been read until the returned function is called.
  hold(body: Buffer): () => void;
}

export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly pieceQuota: PieceQuota;
  /// Called with each piece that is read.
  readonly onPiece?: (message: IncomingMessage, piece: Buffer) => void;
  /// Size of all bodies together.
  readonly maximumBytes: number;
}

/// Returns a function that counts the discarded pieces of a body, and closes the
/// connection if they have no end, once the response has been written.
function createDiscard(message: IncomingMessage) {
  let discarded = 0;
  let isEnding = false;
  return (piece: Buffer, smallPieces: number) => {
    discarded += piece.length;
    const isEndless = discarded > MAXIMUM_DISCARDED_BYTES ||
      smallPieces > MANY_SMALL_PIECES;
    if (!isEndless || isEnding) return;
    isEnding = true;
    message.socket?.pause();
    setImmediate(() => message.destroy());
  };
}

export function createBodyReader(
  { clock, pieceQuota, onPiece, maximumBytes }: BodyReaderOptions,
): BodyReader {
  let held = 0;
  /// Messages whose pieces are received here.
  const received = new WeakSet<IncomingMessage>();
  /// Bodies in small pieces that are being read.
  let smallPieced = 0;

  const read = (message: IncomingMessage, limit: number) =>
    new Promise<ReadBody>((resolve) => {
      const discard = createDiscard(message);
      received.add(message);
      const pieces = createPieceMeter(pieceQuota);
      let timer: Timer | undefined;
      let collected = createByteCollector();
      let size = 0;
      let isOver = false;
      let isSmallPieced = false;

      const settle = (result: ReadBody) => {
        if (isOver) return;
        isOver = true;
        held -= size;
        collected = createByteCollector();
        if (isSmallPieced) smallPieced -= 1;
        timer?.cancel();
        resolve(result);
      };

      /// Returns whether a body with many small pieces may be read on.
      const mayReadOn = () => {
        if (isSmallPieced || pieces.small() <= MANY_SMALL_PIECES) return true;
        if (smallPieced >= MAXIMUM_SMALL_PIECED_BODIES) return false;
        isSmallPieced = true;
        smallPieced += 1;
        timer = clock.schedule(
          SMALL_PIECED_TIMEOUT_MILLISECONDS,
          () => settle({ kind: "no_memory" }),
        );
        return true;
      };

      message.on("data", (piece: Buffer) => {
        onPiece?.(message, piece);
        const delay = pieces.count(piece);
        if (isOver) return discard(piece, pieces.small());
        size += piece.length;
        held += piece.length;
        collected.add(piece);
        if (size > limit) return settle({ kind: "too_large" });
        if (held > maximumBytes || !mayReadOn()) {
          return settle({ kind: "no_memory" });
        }
        // Others aren't paused, since the pieces that wait take much memory.
        if (delay === 0 || !isSmallPieced) return;
        message.pause();
        clock.schedule(delay, () => message.resume());
      });
      message.on(
        "end",
        () => settle({ kind: "read", body: collected.bytes() }),
      );
      message.on(
        "error",
        ({ message: reason }: Error) =>
          settle({ kind: "failed", reason, size }),
      );
      message.on(
        "close",
        () => settle({ kind: "failed", reason: "closed", size }),
      );
    });

  return {
    read,
    discard(message) {
      if (!received.has(message)) {
        received.add(message);
        const discard = createDiscard(message);
        const pieces = createPieceMeter(pieceQuota);
        message.on("data", (piece: Buffer) => {
          onPiece?.(message, piece);
          pieces.count(piece);
          discard(piece, pieces.small());
        });
      }
      message.resume();
    },
    hold(body) {
      held += body.length;
      return () => void (held -= body.length);
    },
  };
}
