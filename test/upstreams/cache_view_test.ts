import test from "ava";
import { createCacheView } from "../../src/upstreams/cache_view.ts";
import type { CacheEvent } from "../../src/upstreams/engine_client.ts";
import { BLOCK_TOKENS } from "../../src/upstreams/prompt_blocks.ts";

/// Derives the contents of an engine's prefix cache from its events.

const stored = (sequence: number, block: string): CacheEvent => ({
  sequence,
  kind: "stored",
  block,
});
const evicted = (sequence: number, block: string): CacheEvent => ({
  sequence,
  kind: "evicted",
  block,
});

const CASES: readonly [string, readonly CacheEvent[], number][] = [
  ["events in order are applied", [stored(1, "a"), stored(2, "b")], 2],
  ["only a contiguous start of the prompt counts", [
    stored(1, "b"),
    stored(2, "c"),
  ], 0],
  ["an eviction removes a block", [stored(1, "a"), evicted(2, "a")], 0],
  ["a duplicate event has no effect", [
    stored(1, "a"),
    evicted(2, "a"),
    stored(1, "a"),
  ], 0],
  ["a gap discards earlier events", [stored(1, "a"), stored(3, "b")], 0],
  ["events after a gap are applied", [stored(1, "x"), stored(3, "a")], 1],
];

for (const [name, events, blocks] of CASES) {
  test(name, (t) => {
    const view = createCacheView();
    view.apply(events);
    t.is(view.cachedTokens(["a", "b", "c"]), blocks * BLOCK_TOKENS);
  });
}
