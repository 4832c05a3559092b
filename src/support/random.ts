import { randomBytes } from "node:crypto";

/// A source of random numbers, so that decisions can be repeated from a seed.
export interface RandomSource {
  /// A number in [0, 1).
  next(): number;
  /// `length` random bytes in lower-case hexadecimal.
  hex(length: number): string;
}

/// Cryptographically strong randomness for production use.
export function createSystemRandom(): RandomSource {
  return {
    next: () => randomBytes(4).readUInt32LE() / 2 ** 32,
    hex: (length) => randomBytes(length).toString("hex"),
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
