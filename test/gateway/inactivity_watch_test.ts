import test from "ava";
import { createInactivityWatch } from "../../src/gateway/inactivity_watch.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

// Guards against waits that get shorter and shorter towards the time at which the
// caller leaves.
test("an occupied engine is reported as silent once per timeout", async (t) => {
  const clock = createFakeClock();
  const timeout = 900;
  const patience = timeout + 1;
  let silences = 0;
  const watch = createInactivityWatch({
    clock,
    bytesReceived: () => 0,
    phase: () => "head",
    isPaused: () => false,
    isTunnel: () => false,
    mayRetry: () => true,
    extendsTimeout: false,
    remainingPrefill: () => Promise.resolve(60_000),
    replaceableFor: () => patience - clock.now(),
    check: () => Promise.resolve("accepts" as const),
    onUnproductive: () => t.fail(),
    onSilence: () => void (silences += 1),
  });
  watch.restart(timeout);
  for (let elapsed = 0; elapsed < 4 * timeout; elapsed += 1) {
    await clock.advance(1);
  }
  watch.stop();
  t.true(silences >= 1 && silences <= 4, `${silences} reports`);
});
