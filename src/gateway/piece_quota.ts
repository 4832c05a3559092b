import type { Clock, Milliseconds } from "../support/clock.ts";

/// Limits how many small pieces of bodies a process handles in a second. Each
/// piece, a chunk of a byte for example, costs as much as a large one, so bodies
/// in small pieces would take the processor from all other requests. Ordinary
/// responses and requests have few of them.

/// Size below which a piece is small.
const SMALL_BYTES = 64;
/// Small pieces of all bodies together, a fraction of a processor core.
const PIECES_PER_SECOND = 30_000;
/// Pieces after which a body has to wait for its share.
const BATCH = 256;
/// Pieces that may come at once after a time without any.
const BURST = 20_000;

/// The quota of a process, for all of its bodies.
export interface PieceQuota {
  /// Counts pieces that were handled. Returns the time to wait before further
  /// ones; 0 if there is none.
  spend(pieces: number): Milliseconds;
}

/// Creates a quota that is not used yet.
export function createPieceQuota(clock: Clock): PieceQuota {
  let available = BURST;
  let updatedAt = clock.now();
  return {
    spend(pieces) {
      const now = clock.now();
      const gained = (now - updatedAt) * PIECES_PER_SECOND / 1_000;
      updatedAt = now;
      available = Math.min(BURST, available + gained) - pieces;
      return Math.max(0, -available * 1_000 / PIECES_PER_SECOND);
    },
  };
}

/// The pieces of one body.
export interface PieceMeter {
  /// Counts a piece. Returns the time to wait before the next one.
  count(piece: Uint8Array): Milliseconds;
  /// Number of small pieces so far.
  small(): number;
}

/// Creates the meter of a body, which draws on the quota of the process.
export function createPieceMeter(quota: PieceQuota): PieceMeter {
  let small = 0;
  return {
    count(piece) {
      if (piece.length >= SMALL_BYTES) return 0;
      small += 1;
      return small % BATCH === 0 ? quota.spend(BATCH) : 0;
    },
    small: () => small,
  };
}
