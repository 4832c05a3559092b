import type { CacheEvent } from "./engine_client.ts";
import { BLOCK_TOKENS } from "./prompt_blocks.ts";

/// What an engine's cache events say about its prefix cache. It only guides
/// the choice of an engine; the engine itself decides what it reuses.
export interface CacheView {
  /// Number of the last event taken in.
  readonly sequence: number;
  /// Takes in events in their order. After a gap everything known before it
  /// is dropped, because an eviction may be among the lost events.
  apply(events: readonly CacheEvent[]): void;
  /// Tokens at the start of a prompt with these blocks that are cached.
  cachedTokens(blocks: readonly string[]): number;
  /// Forgets everything, as after the engine's loss.
  clear(): void;
}

export function createCacheView(): CacheView {
  const cached = new Set<string>();
  let sequence = 0;
  return {
    get sequence() {
      return sequence;
    },
    apply(events) {
      for (const event of events) {
        if (event.sequence <= sequence) continue;
        if (event.sequence !== sequence + 1) cached.clear();
        sequence = event.sequence;
        if (event.kind === "stored") cached.add(event.block);
        else cached.delete(event.block);
      }
    },
    cachedTokens(blocks) {
      let count = 0;
      while (count < blocks.length && cached.has(blocks[count]!)) count++;
      return count * BLOCK_TOKENS;
    },
    clear: () => cached.clear(),
  };
}
