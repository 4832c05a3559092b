/// Keys that callers give to requests that must run at most once: UUIDs of
/// version 7, which carry their time of creation.

const UUID_7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

/// Time in the key in milliseconds since the Unix epoch, or undefined when it
/// is no UUID of version 7 in lower case.
export function timeOfKey(key: string): number | undefined {
  const match = UUID_7.exec(key);
  return match ? parseInt(match[1]! + match[2]!, 16) : undefined;
}

/// Builds a key from a time and 10 random bytes in hexadecimal.
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
