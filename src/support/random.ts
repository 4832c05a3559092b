import { randomBytes } from "node:crypto";

/// A source of random numbers. With a seeded source, the program's random
/// decisions are reproducible.
export interface RandomSource {
  /// A number in [0, 1).
  next(): number;
  /// `length` random bytes as lower-case hexadecimal digits.
  hex(length: number): string;
}

/// Number of random bytes requested from the system at a time.
const POOL_BYTES = 4_096;

/// Creates a cryptographically secure source for production use.
export function createSystemRandom(): RandomSource {
  let pool = randomBytes(POOL_BYTES);
  let usedBytes = 0;
  const takeBytes = (length: number): Buffer => {
    if (length > POOL_BYTES) return randomBytes(length);
    if (usedBytes + length > POOL_BYTES) {
      pool = randomBytes(POOL_BYTES);
      usedBytes = 0;
    }
    usedBytes += length;
    return pool.subarray(usedBytes - length, usedBytes);
  };
  return {
    next: () => takeBytes(4).readUInt32LE() / 2 ** 32,
    hex: (length) => takeBytes(length).toString("hex"),
  };
}

/// Creates a reproducible source (the mulberry32 generator) for tests and
/// measurements.
export function createSeededRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  const next = () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  const nextHexByte = () =>
    Math.floor(next() * 256).toString(16).padStart(2, "0");
  return {
    next,
    hex: (length) => Array.from({ length }, nextHexByte).join(""),
  };
}

/// Returns an integer in [0, `limit`).
export function randomInteger(random: RandomSource, limit: number): number {
  return Math.floor(random.next() * limit);
}
