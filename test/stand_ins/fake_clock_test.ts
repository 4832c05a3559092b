import test from "ava";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

test("a cancelled timer doesn't delay promise callbacks of the timer before it", async (t) => {
  const clock = createFakeClock();
  const times: number[] = [];
  const tick = async () => {
    while (times.length < 3) {
      await clock.sleep(10);
      times.push(clock.now());
    }
  };
  void tick();
  clock.schedule(10, () => {}).cancel();
  await clock.advance(100);
  t.deepEqual(times, [10, 20, 30]);
});
