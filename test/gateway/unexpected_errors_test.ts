import test from "ava";
import { createSilentLogger } from "../../src/support/log.ts";
import { createUnexpectedErrorHandler } from "../../src/gateway/unexpected_errors.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

function createHandler() {
  const clock = createFakeClock();
  const calls = { errors: 0, stops: 0 };
  const handle = createUnexpectedErrorHandler({
    clock,
    log: createSilentLogger(),
    onError: () => void (calls.errors += 1),
    onTooMany: () => void (calls.stops += 1),
  });
  return { clock, calls, handle };
}

test("single unexpected errors are counted and don't stop the process", async (t) => {
  const { clock, calls, handle } = createHandler();
  for (let count = 0; count < 30; count++) {
    handle(new Error("unexpected"));
    await clock.advance(1_100);
  }
  t.deepEqual(calls, { errors: 30, stops: 0 });
});

test("many unexpected errors in a short time stop the process once", (t) => {
  const { calls, handle } = createHandler();
  for (let count = 0; count < 10; count++) handle("not even an error");
  t.is(calls.stops, 0);
  for (let count = 0; count < 10; count++) handle(undefined);
  t.deepEqual(calls, { errors: 20, stops: 1 });
});
