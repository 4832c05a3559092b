import type { WatchPace } from "../infrastructure/key_value_store.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// VMs tell each other what they have learned, so that each reader may ask the
/// store less often the more there are: one reader's call ends in each such
/// time. It is well within the bound of configurations, of which the platform
/// names two seconds.
const CALL_INTERVAL_MILLISECONDS: Milliseconds = 450;
/// Hold of a watch when readers are few.
const SHORTEST_HOLD_MILLISECONDS: Milliseconds = 3_500;
const LONGEST_HOLD_MILLISECONDS: Milliseconds = 25_000;
/// Hold of a watch that other VMs rely on. If the connections of all readers go
/// silent, they notice after this and the store client's half second, which
/// leaves the others time to read within the bound.
const RELIED_HOLD_MILLISECONDS: Milliseconds = 1_200;
/// Pause after a change, for each VM that a change wakes.
const PAUSE_PER_VM_MILLISECONDS: Milliseconds = 6;
/// Least pause where few VMs follow the store for many: changes that come in
/// rows, as when upstreams are replaced, then share a call.
const RELIED_PAUSE_MILLISECONDS: Milliseconds = 150;
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 500;

/// How often one of `readerCount` VMs that follow the store asks it for changes.
/// The holds of many VMs differ: were they alike, all would notice at the same
/// late moment that their connections have gone silent.
export function createWatchPace(
  { followerCount: readerCount, vmCount }: {
    readonly followerCount: number;
    readonly vmCount: number;
  },
  random: RandomSource,
): WatchPace {
  const longest = Math.min(
    LONGEST_HOLD_MILLISECONDS,
    Math.max(
      SHORTEST_HOLD_MILLISECONDS,
      readerCount * CALL_INTERVAL_MILLISECONDS,
    ),
  );
  const spread = longest - SHORTEST_HOLD_MILLISECONDS;
  const isReliedOn = readerCount < vmCount;
  return {
    hold: () =>
      isReliedOn
        ? RELIED_HOLD_MILLISECONDS
        : SHORTEST_HOLD_MILLISECONDS + random.next() * spread,
    pause: Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      Math.max(
        isReliedOn ? RELIED_PAUSE_MILLISECONDS : 0,
        readerCount * PAUSE_PER_VM_MILLISECONDS,
      ),
    ),
  };
}
