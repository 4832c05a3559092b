/// Rendezvous hashing: all VMs compute the same ranking without communication,
/// and adding or removing a name reassigns only that name's share of the keys.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/// The 32-bit finalizer of MurmurHash3.
function mixBits(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/// FNV-1a over the UTF-16 code units of `text`.
function extendHash(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

/// Returns `names` sorted by their scores for `key`, the highest first. The
/// result doesn't depend on the order of `names`.
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  const keyHash = mixBits(extendHash(FNV_OFFSET, key));
  const scored = names.map((name) => ({
    name,
    score: mixBits(extendHash(keyHash, name)),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.name < right.name ? -1 : 1)
  );
  return scored.map(({ name }) => name);
}
