import test, { type ExecutionContext } from "ava";
import type { PreparedAttempt } from "../../src/gateway/attempt_preparation.ts";
import type { AttemptRecord } from "../../src/gateway/attempt_records.ts";
import {
  type AttemptEvents,
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
  onFailed: () => true,
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

const settled = () => new Promise(setImmediate);

/// Runs an attempt that falls silent and fails while a replacement is prepared.
async function failWhileSearching(t: ExecutionContext) {
  const started: {
    events: AttemptEvents;
    end: (record: AttemptRecord) => void;
  }[] = [];
  const searches: ((found: PreparedAttempt | undefined) => void)[] = [];
  const discarded: PreparedAttempt[] = [];
  const race = createAttemptRace(optionsWith({
    start(_prepared, events) {
      const ended = new Promise<AttemptRecord>((end) =>
        started.push({ events, end })
      );
      return { abort() {}, resume() {}, ended };
    },
    prepareReplacement: () => new Promise((find) => searches.push(find)),
    discard: (each) => void discarded.push(each),
  }));
  const failure = { took: 1 } as AttemptRecord;
  let result: object | undefined;
  void race.run(prepared).then((value) => result = value);
  started[0]!.events.onSilent();
  started[0]!.end(failure);
  await settled();
  t.is(searches.length, 1);
  t.is(result, undefined);
  return {
    race,
    started,
    searches,
    discarded,
    failure,
    result: () => result,
  };
}

test("a replacement that is being prepared when the last attempt fails is used", async (t) => {
  const { started, searches, result } = await failWhileSearching(t);
  searches[0]!(prepared);
  await settled();
  t.is(started.length, 2);
  const failure = { took: 2 } as AttemptRecord;
  started[1]!.events.onSilent();
  searches[1]!(undefined);
  await settled();
  t.is(result(), undefined);
  started[1]!.end(failure);
  await settled();
  t.deepEqual(result(), { record: failure, mayContinue: true });
});

test("a search that finds nothing after the last attempt has failed ends the run", async (t) => {
  const { searches, failure, result } = await failWhileSearching(t);
  searches[0]!(undefined);
  await settled();
  t.deepEqual(result(), { record: failure, mayContinue: true });
});

test("an abort while only a search goes on ends the run at once", async (t) => {
  const { race, started, searches, discarded, failure, result } =
    await failWhileSearching(t);
  race.abort();
  await settled();
  t.deepEqual(result(), { record: failure, mayContinue: true });
  searches[0]!(prepared);
  await settled();
  t.deepEqual([started.length, discarded.length], [1, 1]);
});
