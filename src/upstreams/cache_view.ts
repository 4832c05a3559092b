import type { CacheEvent } from "./engine_client.ts";
import { BLOCK_TOKENS } from "./prompt_blocks.ts";

/// Contents of an engine's prefix cache, derived from its cache events. It only
/// guides the choice of an engine; the engine itself decides what it reuses.
export interface CacheView {
  /// Sequence number of the last event applied.
  readonly sequence: number;
  /// Applies events in their order. A gap in the sequence discards all earlier
  /// entries, because an eviction may be among the missing events.
  apply(events: readonly CacheEvent[]): void;
  /// Number of cached tokens at the start of a prompt with these blocks.
  cachedTokens(blocks: readonly string[]): number;
  /// Discards all entries, as after a failure of the engine.
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
