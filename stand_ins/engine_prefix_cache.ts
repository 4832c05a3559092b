import type { Clock, Milliseconds } from "../src/support/clock.ts";
import type { CacheEvent } from "../src/upstreams/engine_client.ts";
import { BLOCK_TOKENS } from "../src/upstreams/prompt_blocks.ts";

/// The prefix cache of the engine stand-in: blocks in the order of their last
/// use, and the events that report which blocks were stored and evicted.
export interface PrefixCache {
  /// Stores the blocks of a prompt and evicts the least recently used blocks.
  store(blocks: readonly string[]): void;
  /// Number of tokens at the start of a prompt that are cached, so that they
  /// needn't be prefilled.
  cachedTokens(blocks: readonly string[]): number;
  /// Events after a sequence number that occurred no later than `time`.
  eventsAfter(sequence: number, time: Milliseconds): CacheEvent[];
  clear(): void;
}

export interface PrefixCacheOptions {
  readonly clock: Clock;
  readonly maximumBlocks: number;
  /// Every nth event is lost; 0 loses none.
  readonly lostEventInterval: number;
}

const KEPT_EVENTS = 4_096;

export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  const { clock, maximumBlocks, lostEventInterval } = options;
  const cached = new Set<string>();
  let events: (CacheEvent & { readonly time: Milliseconds })[] = [];
  let lastSequence = 0;

  const publish = (kind: CacheEvent["kind"], block: string) => {
    const sequence = ++lastSequence;
    const isLost = lostEventInterval > 0 && sequence % lostEventInterval === 0;
    if (isLost) return;
    events.push({ sequence, kind, block, time: clock.now() });
    if (events.length > 2 * KEPT_EVENTS) events = events.slice(-KEPT_EVENTS);
  };

  return {
    store(blocks) {
      for (const block of blocks) {
        const isNew = !cached.delete(block);
        cached.add(block);
        if (isNew) publish("stored", block);
      }
      for (const block of cached) {
        if (cached.size <= maximumBlocks) break;
        cached.delete(block);
        publish("evicted", block);
      }
    },
    cachedTokens(blocks) {
      let count = 0;
      while (count < blocks.length && cached.has(blocks[count]!)) count++;
      return count * BLOCK_TOKENS;
    },
    eventsAfter(sequence, time) {
      const from = events.findLastIndex((event) => event.sequence <= sequence);
      return events
        .slice(from + 1)
        .filter((event) => event.time <= time)
        .map(({ sequence, kind, block }) => ({ sequence, kind, block }));
    },
    clear: () => cached.clear(),
  };
}
