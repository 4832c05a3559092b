import test from "ava";
import { createWatchPace } from "../../src/gateway/watch_pace.ts";
import { createSeededRandom } from "../../src/support/random.ts";

/// Time within which the platform requires a configuration to take effect, less
/// the time that VMs need to receive the change from another VM.
const APPLY_DEADLINE_MILLISECONDS = 2_000 - 500;
/// Time for which the platform exempts VMs with stalled connections from the
/// deadline.
const EXEMPT_MILLISECONDS = 3_000;

for (const vmCount of [1, 8, 30, 76, 360]) {
  test(`one of ${vmCount} VMs detects stalled watches before the deadline`, (t) => {
    const random = createSeededRandom(vmCount);
    const { watchTimeout: callTimeout, callPause: pause } = createWatchPace(
      { followerCount: vmCount, vmCount },
      random,
    );
    const timeouts = Array.from({ length: vmCount }, callTimeout);
    const first = Math.min(...timeouts);
    t.true(
      first <= EXEMPT_MILLISECONDS + APPLY_DEADLINE_MILLISECONDS,
      `${first}`,
    );
    t.true(pause <= 500);
  });
}

test("the rate of store calls hardly grows with the number of VMs", (t) => {
  const random = createSeededRandom(1);
  const rateOf = (vmCount: number) => {
    const { watchTimeout: callTimeout } = createWatchPace(
      { followerCount: vmCount, vmCount },
      random,
    );
    const timeouts = Array.from({ length: 1_000 }, callTimeout);
    const mean = timeouts.reduce((sum, each) => sum + each, 0) /
      timeouts.length;
    return vmCount / mean;
  };
  t.true(rateOf(50) < 2.5 * rateOf(8));
});

test("the watch timeout of a follower leaves time for other VMs to read", (t) => {
  const random = createSeededRandom(1);
  const { watchTimeout: callTimeout } = createWatchPace({
    followerCount: 9,
    vmCount: 76,
  }, random);
  // The other VMs aren't exempt: they detect three missed reports, then read.
  t.true(callTimeout() + 500 + 100 <= 2_000);
});
