import { createHash } from "node:crypto";
import type { Prompt } from "./engine_client.ts";

/// UTF-16 code units of a prompt in one cache block.
const BLOCK_CHARACTERS = 2_048;
/// Only the first blocks of a prompt are hashed; later ones are rarely shared.
const MAXIMUM_HASHED_BLOCKS = 32;
const HASH_HEX_DIGITS = 16;

/// Tokens of one block, at the usual four bytes per token.
export const BLOCK_TOKENS = 512;

/// Describes a prompt by its estimated length and the hashes of its first
/// blocks. Each hash also covers all blocks before it.
export function describePrompt(text: string, bytesPerToken = 4): Prompt {
  const bytes = Buffer.byteLength(text);
  const blocks: string[] = [];
  let previous = "";
  const hashedCharacters = Math.min(
    text.length,
    MAXIMUM_HASHED_BLOCKS * BLOCK_CHARACTERS,
  );
  for (
    let end = BLOCK_CHARACTERS;
    end <= hashedCharacters;
    end += BLOCK_CHARACTERS
  ) {
    previous = createHash("sha256")
      .update(previous)
      .update(text.slice(end - BLOCK_CHARACTERS, end))
      .digest("hex")
      .slice(0, HASH_HEX_DIGITS);
    blocks.push(previous);
  }
  return {
    text,
    tokens: Math.max(1, Math.ceil(bytes / bytesPerToken)),
    blocks,
  };
}
