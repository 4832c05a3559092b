import type { Milliseconds } from "../support/clock.ts";

/// Keys that callers attach to requests that must run at most once: UUIDs of
/// version 7, which contain their time of creation, or keys that a VM issued.

export type IdempotencyKey =
  | { readonly kind: "caller"; readonly time: Milliseconds }
  | {
    readonly kind: "issued";
    readonly vm: string;
    readonly incarnation: string;
    /// Time of issue on the monotonic clock of that incarnation.
    readonly time: Milliseconds;
  };

export interface IssuedKeyParts {
  readonly vm: string;
  readonly incarnation: string;
  readonly time: Milliseconds;
  readonly randomHex: string;
}

const UUID_7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const ISSUED_KEY_PATTERN =
  /^issued\.([A-Za-z0-9._-]+)\.([0-9a-f]+)\.([0-9]{1,15})\.[0-9a-f]+$/;
const MAXIMUM_KEY_LENGTH = 160;

/// Parses a UUID of version 7 in lower case or an issued key. Returns undefined
/// for any other string.
export function parseKey(key: string): IdempotencyKey | undefined {
  if (key.length > MAXIMUM_KEY_LENGTH) return undefined;
  const uuid = UUID_7_PATTERN.exec(key);
  if (uuid) return { kind: "caller", time: parseInt(uuid[1]! + uuid[2]!, 16) };
  const issued = ISSUED_KEY_PATTERN.exec(key);
  if (!issued) return undefined;
  const [, vm, incarnation, time] = issued;
  return {
    kind: "issued",
    vm: vm!,
    incarnation: incarnation!,
    time: Number(time),
  };
}

/// Builds a key that contains the VM and the incarnation that issue it.
export function formatIssuedKey(parts: IssuedKeyParts): string {
  const { vm, incarnation, time, randomHex } = parts;
  return `issued.${vm}.${incarnation}.${Math.floor(time)}.${randomHex}`;
}

/// Builds a UUID of version 7 from a time and 10 random bytes in hexadecimal.
export function createKey(wallTime: number, randomHex: string): string {
  const time = Math.floor(wallTime).toString(16).padStart(12, "0");
  const variant = "89ab"[parseInt(randomHex[3]!, 16) & 3];
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${randomHex.slice(0, 3)}`,
    `${variant}${randomHex.slice(4, 7)}`,
    randomHex.slice(7, 19),
  ].join("-");
}
