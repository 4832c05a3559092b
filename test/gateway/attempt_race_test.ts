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
  onFault() {},
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

test("a fault in a search for a replacement doesn't end the searches", async (t) => {
  const faults: string[] = [];
  let searches = 0;
  let onSilent = () => {};
  const race = createAttemptRace(optionsWith({
    start(_prepared, events) {
      onSilent = events.onSilent;
      return { abort() {}, resume() {}, ended: new Promise(() => {}) };
    },
    prepareReplacement() {
      searches += 1;
      return Promise.reject(new Error(`fault ${searches}`));
    },
    onFault: ({ message }) => void faults.push(message),
  }));
  void race.run(prepared);
  for (let silence = 0; silence < 2; silence++) {
    onSilent();
    await new Promise(setImmediate);
  }
  t.deepEqual(faults, ["fault 1", "fault 2"]);
});
