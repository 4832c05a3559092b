import { createHash } from "node:crypto";

/// The name that scores highest for `subject` (rendezvous hashing). Taking a
/// name away moves only the subjects that it had.
export function chooseByRendezvous(
  subject: string,
  names: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestScore = "";
  for (const name of names) {
    const score = createHash("sha256").update(`${subject}\n${name}`)
      .digest("hex");
    if (best !== undefined && score <= bestScore) continue;
    best = name;
    bestScore = score;
  }
  return best;
}
