import test from "ava";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import type { CallerResponse } from "../../src/gateway/caller_response.ts";
import { createPlannedStop } from "../../src/gateway/planned_stop.ts";
import {
  createStopSchedule,
  endsInTime,
  type RequestTiming,
} from "../../src/gateway/stop_schedule.ts";

for (const graceSeconds of [0.2, 1, 2, 3, 4, 8, 30]) {
  test(`a grace period of ${graceSeconds} s is used almost to its end`, (t) => {
    const signalledAt = 5_000;
    const grace = graceSeconds * 1_000;
    const schedule = createStopSchedule({ signalledAt, grace });
    const { listensUntil, requestsEndAt, answersEndAt, closesAt } = schedule;
    const endsAt = signalledAt + grace;
    t.true(listensUntil > signalledAt && listensUntil <= requestsEndAt);
    t.true(requestsEndAt >= endsAt - grace / 6, "runs into the last sixth");
    t.true(requestsEndAt < answersEndAt);
    t.true(answersEndAt < closesAt);
    t.true(closesAt <= endsAt - grace / 24 || closesAt <= endsAt - 160);
  });
}

const REQUESTS: readonly (RequestTiming & { accepted: boolean })[] = [
  // A deadline at the end counts as in time, whatever the request takes.
  {
    deadline: 900,
    isRepeatable: false,
    expectedDuration: 5_000,
    accepted: true,
  },
  {
    deadline: 1_000,
    isRepeatable: true,
    expectedDuration: 5_000,
    accepted: true,
  },
  {
    deadline: 1_001,
    isRepeatable: false,
    expectedDuration: 10,
    accepted: false,
  },
  {
    deadline: 5_000,
    isRepeatable: true,
    expectedDuration: 400,
    accepted: true,
  },
  {
    deadline: 5_000,
    isRepeatable: true,
    expectedDuration: 401,
    accepted: false,
  },
];

for (const { accepted, ...timing } of REQUESTS) {
  test(`a stopping VM keeps or refuses ${JSON.stringify(timing)}`, (t) => {
    const stop = { now: 600, endsAt: 1_000, estimatesUntil: 600 };
    t.is(endsInTime(timing, stop), accepted);
    const hasDeadlineInTime = timing.deadline <= stop.endsAt;
    const afterEstimates = { ...stop, estimatesUntil: 599 };
    t.is(endsInTime(timing, afterEstimates), hasDeadlineInTime);
    const noStop = { now: 600, endsAt: Infinity, estimatesUntil: Infinity };
    t.true(endsInTime(timing, noStop));
  });
}

const TIMING: RequestTiming = {
  deadline: Infinity,
  isRepeatable: true,
  expectedDuration: 10,
};

/// A response that records what it was sent, and never reaches its caller.
function createStuckResponse(isStarted = false) {
  const sent: (number | "aborted")[] = [];
  const response = {
    isStarted: () => isStarted || sent.length > 0,
    sendText: (status: number) => {
      if (sent.length === 0) sent.push(status);
    },
    // As for a real one, a response that has been sent is left alone.
    abort: () => {
      if (sent.length === 0) sent.push("aborted");
    },
    onClose: () => {},
  };
  return { sent, response: response as unknown as CallerResponse };
}

for (const graceSeconds of [1, 2, 3, 4, 8, 30]) {
  test(`a stop ends within ${graceSeconds} s whatever its requests do`, async (t) => {
    const clock = createFakeClock();
    const grace = graceSeconds * 1_000;
    const log = createSilentLogger();
    const stop = createPlannedStop({ clock, log, grace });
    const [reading, running, stuck, late, streaming] = [
      createStuckResponse(),
      createStuckResponse(),
      createStuckResponse(),
      createStuckResponse(),
      createStuckResponse(true),
    ];
    stop.open(reading.response);
    stop.open(running.response).accept(TIMING)!
      .onEnd(() => running.response.sendText(504, ""));
    for (const { response } of [stuck, streaming]) {
      stop.open(response).accept(TIMING)!.onEnd(() => {});
    }
    const ended = stop.run({
      signalledAt: clock.now(),
      running: () => 1,
      deregister: () => new Promise(() => {}),
    });
    const open = stop.open(late.response);
    t.true(open.accept(TIMING) !== undefined);
    await clock.advance(grace * 7 / 8 - 11);
    t.deepEqual(reading.sent, []);
    await clock.advance(grace / 8);
    t.is(open.accept(TIMING), undefined);
    await clock.advanceUntil(ended, grace);
    t.true(clock.now() < grace, `${clock.now()}`);
    t.deepEqual(reading.sent, [503]);
    t.deepEqual(running.sent, [504]);
    t.deepEqual(stuck.sent, [502]);
    t.deepEqual(streaming.sent, ["aborted"]);
  });
}
