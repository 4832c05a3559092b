import { createHash } from "node:crypto";

/// The answers of the engine stand-in. They follow from the prompt, so that a
/// test knows the whole answer.

/// Text of the token at `index` of the answer to the prompt with this seed.
export function tokenText(seed: string, index: number): string {
  return ` ${seed.slice(0, 4)}${index}`;
}

/// Seed of the answer to a prompt.
export function seedOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(0, 8);
}

/// The whole answer of `tokens` tokens to a prompt.
export function expectedAnswer(prompt: string, tokens: number): string {
  const seed = seedOf(prompt);
  const pieces = Array.from(
    { length: tokens },
    (_, index) => tokenText(seed, index),
  );
  return pieces.join("");
}
