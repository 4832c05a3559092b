import { createHash } from "node:crypto";

/// Answers of the engine stand-in. They are derived from the prompt, so that a
/// test can compute the expected answer.

/// Text of the token at `index` of the answer to the prompt with this seed.
export function tokenText(seed: string, index: number): string {
  return ` ${seed.slice(0, 4)}${index}`;
}

/// Seed of the answer to a prompt.
export function seedOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(0, 8);
}

/// The complete answer to a prompt, of `tokens` tokens.
export function expectedAnswer(prompt: string, tokens: number): string {
  const seed = seedOf(prompt);
  const texts = Array.from(
    { length: tokens },
    (_, index) => tokenText(seed, index),
  );
  return texts.join("");
}
