import type { WatchPace } from "../infrastructure/key_value_store.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// Mean time between the ends of the followers' watch calls. VMs broadcast the
/// changes that they receive, so each follower may call the store less often the
/// more followers there are. The interval is well within the time in which the
/// platform requires a configuration to take effect, two seconds.
const CALL_INTERVAL_MILLISECONDS: Milliseconds = 450;
/// Timeout of a watch call when there are few followers.
const MINIMUM_WATCH_TIMEOUT_MILLISECONDS: Milliseconds = 3_500;
const MAXIMUM_WATCH_TIMEOUT_MILLISECONDS: Milliseconds = 25_000;
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

/// Returns the timeout of watch calls and the pause between them for one of
/// `followerCount` VMs that follow the store. The timeouts of many VMs differ at
/// random: if they were equal, all VMs would detect stalled connections at the
/// same late time.
export function createWatchPace(
  { followerCount, vmCount }: {
    readonly followerCount: number;
    readonly vmCount: number;
  },
  random: RandomSource,
): WatchPace {
  const longestTimeout = Math.min(
    MAXIMUM_WATCH_TIMEOUT_MILLISECONDS,
    Math.max(
      MINIMUM_WATCH_TIMEOUT_MILLISECONDS,
      followerCount * CALL_INTERVAL_MILLISECONDS,
    ),
  );
  const jitter = longestTimeout - MINIMUM_WATCH_TIMEOUT_MILLISECONDS;
  const isShared = followerCount < vmCount;
  return {
    watchTimeout: () =>
      isShared
        ? SHARED_WATCH_TIMEOUT_MILLISECONDS
        : MINIMUM_WATCH_TIMEOUT_MILLISECONDS + random.next() * jitter,
    callPause: Math.min(
      MAXIMUM_PAUSE_MILLISECONDS,
      Math.max(
        isShared ? MINIMUM_SHARED_PAUSE_MILLISECONDS : 0,
        followerCount * PAUSE_PER_FOLLOWER_MILLISECONDS,
      ),
    ),
  };
}
