import { randomBytes } from "node:crypto";

/// A source of random numbers, so that decisions can be repeated from a seed.
export interface RandomSource {
  /// A number in [0, 1).
  next(): number;
  /// `length` random bytes in lower-case hexadecimal.
  hex(length: number): string;
}

/// Bytes that the system random source draws at a time.
const POOL_BYTES = 4_096;

/// Cryptographically strong randomness for production use.
export function createSystemRandom(): RandomSource {
  let pool = randomBytes(POOL_BYTES);
  let used = 0;
  const draw = (length: number): Buffer => {
    if (length > POOL_BYTES) return randomBytes(length);
    if (used + length > POOL_BYTES) {
      pool = randomBytes(POOL_BYTES);
      used = 0;
    }
    used += length;
    return pool.subarray(used - length, used);
  };
  return {
    next: () => draw(4).readUInt32LE() / 2 ** 32,
    hex: (length) => draw(length).toString("hex"),
  };
}

/// A repeatable source (the mulberry32 generator) for tests and measurements.
export function createSeededRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  const next = () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  const byte = () => Math.floor(next() * 256).toString(16).padStart(2, "0");
  return {
    next,
    hex: (length) => Array.from({ length }, byte).join(""),
  };
}

/// A whole number in [0, below).
export function randomInteger(random: RandomSource, below: number): number {
  return Math.floor(random.next() * below);
}
