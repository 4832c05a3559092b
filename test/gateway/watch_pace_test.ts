import test from "ava";
import { createWatchPace } from "../../src/gateway/watch_pace.ts";
import { createSeededRandom } from "../../src/support/random.ts";

/// Time within which the platform requires a configuration to take effect.
const APPLY_DEADLINE_MILLISECONDS = 2_000;
/// The delay after which the store client gives up a watch call, the delay of the
/// retry, and the time of a connection and a full read.
const FAILURE_MILLISECONDS = 500;
const RETRY_MILLISECONDS = 50;
const READ_MILLISECONDS = 300;

/// VMs and their followers, as the selection of followers has them: all VMs of a
/// small deployment, and three hubs of a larger one.
const FOLLOWERS = [[1, 1], [8, 8], [9, 9], [50, 3], [76, 3], [360, 3]] as const;

for (const recovery of [3_000, 4_000, 5_000]) {
  for (const vmCount of [1, 8, 30, 76, 360]) {
    test(`each of ${vmCount} VMs detects a stalled watch and reads within ${recovery} ms`, (t) => {
      const random = createSeededRandom(vmCount);
      const { watchTimeout, callPause } = createWatchPace(
        { followerCount: vmCount, vmCount, recovery },
        random,
      );
      const timeouts = Array.from({ length: 100 }, watchTimeout);
      const latest = Math.max(...timeouts) + FAILURE_MILLISECONDS +
        RETRY_MILLISECONDS + READ_MILLISECONDS;
      t.true(latest <= recovery, `${latest}`);
      t.true(callPause <= 500);
    });
  }
}

function callRate(followerCount: number, vmCount: number): number {
  const random = createSeededRandom(1);
  const { watchTimeout } = createWatchPace(
    { followerCount, vmCount, recovery: 3_000 },
    random,
  );
  const timeouts = Array.from({ length: 1_000 }, watchTimeout);
  const mean = timeouts.reduce((sum, each) => sum + each, 0) / timeouts.length;
  return 1_000 * followerCount / mean;
}

test("the rate of store calls doesn't grow with the number of VMs", (t) => {
  for (const [vmCount, followerCount] of FOLLOWERS) {
    t.true(callRate(followerCount, vmCount) < 5, `${vmCount} VMs`);
  }
});

test("VMs that all follow the store make a few of the calls that it permits", (t) => {
  // Reads a second that the platform permits, by number of VMs.
  for (const [vmCount, permitted] of [[9, 2_000], [76, 6_000], [195, 16_000]]) {
    t.true(callRate(vmCount!, vmCount!) < permitted! / 100, `${vmCount} VMs`);
  }
});

test("the watch timeout of a follower leaves time for other VMs to read", (t) => {
  const random = createSeededRandom(1);
  const { watchTimeout } = createWatchPace({
    followerCount: 9,
    vmCount: 76,
    recovery: 4_000,
  }, random);
  // The other VMs aren't exempt: they detect three missed reports, then read.
  t.true(watchTimeout() + 500 + 100 <= APPLY_DEADLINE_MILLISECONDS);
});
