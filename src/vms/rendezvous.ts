/// Rendezvous hashing: every VM ranks the same names alike without asking
/// another, and a name that comes or goes moves only its own share of keys.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function mix(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

function continueHash(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

/// Orders `names` by their score for `key`, the highest first. The order does
/// not depend on the order of `names`.
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  const prefix = mix(continueHash(FNV_OFFSET, key));
  const scored = names.map((name) => ({
    name,
    score: mix(continueHash(prefix, name)),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.name < right.name ? -1 : 1)
  );
  return scored.map(({ name }) => name);
}
