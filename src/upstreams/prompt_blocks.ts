import { createHash } from "node:crypto";
import type { Prompt } from "./engine_client.ts";

/// Bytes of a prompt that share one cache block.
const BLOCK_BYTES = 2_048;
/// Blocks of a prompt that are hashed; later ones are rarely shared.
const HASHED_BLOCKS = 32;
const HASH_LENGTH = 16;

/// Tokens of one block at the usual four bytes a token.
export const BLOCK_TOKENS = 512;

/// Describes a prompt by its length and the hashes of its first blocks. Each
/// hash covers everything before it too.
export function describePrompt(text: string, bytesPerToken = 4): Prompt {
  const bytes = Buffer.byteLength(text);
  const blocks: string[] = [];
  let previous = "";
  const hashed = Math.min(text.length, HASHED_BLOCKS * BLOCK_BYTES);
  for (let end = BLOCK_BYTES; end <= hashed; end += BLOCK_BYTES) {
    previous = createHash("sha256")
      .update(previous)
      .update(text.slice(end - BLOCK_BYTES, end))
      .digest("hex")
      .slice(0, HASH_LENGTH);
    blocks.push(previous);
  }
  return {
    text,
    tokens: Math.max(1, Math.ceil(bytes / bytesPerToken)),
    blocks,
  };
}
