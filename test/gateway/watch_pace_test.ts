import test from "ava";
import { createWatchPace } from "../../src/gateway/watch_pace.ts";
import { createSeededRandom } from "../../src/support/random.ts";

/// Bound of configurations on the platform, less the time that the change
/// needs from one VM to the others.
const BOUND_MILLISECONDS = 2_000 - 500;
/// Time in which VMs whose connections were silenced aren't judged.
const EXCUSED_MILLISECONDS = 3_000;

for (const vmCount of [1, 8, 30, 76, 360]) {
  test(`${vmCount} VMs notice together that their watches are silent`, (t) => {
    const random = createSeededRandom(vmCount);
    const { hold, pause } = createWatchPace(
      { followerCount: vmCount, vmCount },
      random,
    );
    const holds = Array.from({ length: vmCount }, hold);
    const first = Math.min(...holds);
    t.true(first <= EXCUSED_MILLISECONDS + BOUND_MILLISECONDS, `${first}`);
    t.true(pause <= 500);
  });
}

test("calls to the store hardly grow with the number of VMs", (t) => {
  const random = createSeededRandom(1);
  const rateOf = (vmCount: number) => {
    const { hold } = createWatchPace(
      { followerCount: vmCount, vmCount },
      random,
    );
    const holds = Array.from({ length: 1_000 }, hold);
    const mean = holds.reduce((sum, each) => sum + each, 0) / holds.length;
    return vmCount / mean;
  };
  t.true(rateOf(50) < 2.5 * rateOf(8));
});

test("a watch that other VMs rely on leaves these time to read", (t) => {
  const random = createSeededRandom(1);
  const { hold } = createWatchPace({ followerCount: 9, vmCount: 76 }, random);
  // The others aren't excused; they notice within three missed words and read.
  t.true(hold() + 500 + 100 <= 2_000);
});
