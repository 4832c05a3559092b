import test from "ava";
import type { PreparedAttempt } from "../../src/gateway/attempt_preparation.ts";
import {
  type AttemptRaceOptions,
  createAttemptRace,
} from "../../src/gateway/attempt_race.ts";

const prepared = {} as PreparedAttempt;

const optionsWith = (
  overrides: Partial<AttemptRaceOptions>,
): AttemptRaceOptions => ({
  start: () => ({ abort() {}, resume() {}, ended: new Promise(() => {}) }),
  prepareReplacement: () => Promise.resolve(undefined),
  discard() {},
  mayReplace: () => true,
  isFinal: () => false,
  onFailed() {},
  ...overrides,
});

test("a fault while the end of an attempt is recorded doesn't leave its request without an end", async (t) => {
  const race = createAttemptRace(optionsWith({
    start: () => ({
      abort() {},
      resume() {},
      ended: Promise.reject(new Error("a fault")),
    }),
  }));
  await t.throwsAsync(race.run(prepared), { message: "a fault" });
});
