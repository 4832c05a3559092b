import type { WatchPace } from "../infrastructure/key_value_store.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// Part of the recovery time that remains after the timeout of a watch call: the
/// half second after which the store client gives the call up, the delay of the
/// retry, and reading the contents over a new connection.
const READ_MILLISECONDS: Milliseconds = 900;
/// The timeouts of VMs lie in this part of the longest one. If they were equal,
/// all VMs would read the store at the same moment.
const TIMEOUT_SPREAD = 0.15;
const MINIMUM_WATCH_TIMEOUT_MILLISECONDS: Milliseconds = 200;
/// Timeout of a watch call of a VM that other VMs depend on. If the connections
/// of all followers stall, they detect it after this time and the half second
/// that the store client adds. The other VMs then still have time to read the
/// store within the two seconds.
const SHARED_WATCH_TIMEOUT_MILLISECONDS: Milliseconds = 1_200;
/// Pause after a change, for each follower whose watch call the change ends.
const PAUSE_PER_FOLLOWER_MILLISECONDS: Milliseconds = 6;
/// Minimum pause where few VMs follow the store for many. Changes in quick
/// succession, as when upstreams are replaced, are then returned by one call.
const MINIMUM_SHARED_PAUSE_MILLISECONDS: Milliseconds = 150;
const MAXIMUM_PAUSE_MILLISECONDS: Milliseconds = 500;

export interface WatchPaceOptions {
  /// Number of VMs that follow the store.
  readonly followerCount: number;
  readonly vmCount: number;
  /// Time after its connections fell silent within which a VM has to have read
  /// the store again. Its links may have fallen silent with them, so each VM has
  /// to detect it by itself.
  readonly recovery: Milliseconds;
}

/// Returns the timeout of watch calls, and the pause between them, for a VM that
/// follows the store.
export function createWatchPace(
  { followerCount, vmCount, recovery }: WatchPaceOptions,
  random: RandomSource,
): WatchPace {
  const isShared = followerCount < vmCount;
  const longestTimeout = Math.max(
    MINIMUM_WATCH_TIMEOUT_MILLISECONDS,
    Math.min(
      recovery - READ_MILLISECONDS,
      isShared ? SHARED_WATCH_TIMEOUT_MILLISECONDS : Infinity,
    ),
  );
  const spread = isShared ? 0 : TIMEOUT_SPREAD;
  return {
    watchTimeout: () => longestTimeout * (1 - spread * random.next()),
    callPause: Math.min(
      MAXIMUM_PAUSE_MILLISECONDS,
      Math.max(
        isShared ? MINIMUM_SHARED_PAUSE_MILLISECONDS : 0,
        followerCount * PAUSE_PER_FOLLOWER_MILLISECONDS,
      ),
    ),
  };
}
