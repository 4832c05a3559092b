import test from "ava";
import type { ProblemCode } from "../../src/requests/request_error.ts";
import { createRetryBudget } from "../../src/requests/retry_budget.ts";
import {
  type EngineChunk,
  EngineLostError,
  EngineNotReachedError,
  EngineRefusedError,
} from "../../src/upstreams/engine_client.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { type EngineModel } from "../../stand_ins/engine_model.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Faults in streams, and the answers or errors that callers get.

const ANSWER_TOKENS = 40;
const PROMPT = "word".repeat(400);
const CALL = { vm: "vm-1", key: "caller-key" };

type Chunks = AsyncIterable<EngineChunk>;
type Fault = (chunks: Chunks, fleet: Fleet) => Chunks;

const startFaultyFleet = () =>
  startFleet({ sheet: sampleSheet({ engines: 2 }), entries: 2, seed: 9 });

/// Applies `fault` to the first stream of the fleet.
function breakFirstStream(fleet: Fleet, fault: Fault) {
  let isFirst = true;
  for (const engine of fleet.engines.values()) {
    const { complete } = engine;
    engine.complete = (call, signal) => {
      const chunks = complete(call, signal);
      if (!isFirst) return chunks;
      isFirst = false;
      return fault(chunks, fleet);
    };
  }
}

const cutAfter = (count: number): Fault =>
  async function* (chunks) {
    let seen = 0;
    for await (const chunk of chunks) {
      if (seen++ >= count) throw new EngineLostError("connection reset");
      yield chunk;
    }
  };

/// Replaces each chunk by others.
const altered = (
  alter: (chunk: EngineChunk, index: number) => readonly EngineChunk[],
): Fault =>
  async function* (chunks) {
    let index = 0;
    for await (const chunk of chunks) yield* alter(chunk, index++);
  };

const stallAfter = (count: number): Fault =>
  async function* (chunks, { clock }) {
    let seen = 0;
    for await (const chunk of chunks) {
      if (seen++ === count) await clock.sleep(3_600_000);
      yield chunk;
    }
  };

const STREAM_FAULTS: Readonly<Record<string, Fault>> = {
  "cut before the first chunk": cutAfter(0),
  "cut after the first chunk": cutAfter(1),
  "cut in the middle": cutAfter(20),
  "cut before the end marker": cutAfter(ANSWER_TOKENS - 1),
  "with every chunk duplicated": altered((chunk) => [chunk, chunk]),
  "with a chunk lost": altered((chunk, index) => index === 9 ? [] : [chunk]),
  "mixed with another stream": altered((chunk) => [
    { ...chunk, streamId: "other", text: "wrong" },
    chunk,
  ]),
  "with late chunks of an earlier attempt": altered((chunk) => [
    { ...chunk, attempt: chunk.attempt - 1, text: "wrong" },
    chunk,
  ]),
  "that closes without its end marker": altered((chunk) =>
    chunk.end ? [] : [chunk]
  ),
  "stalled after its first chunk": stallAfter(1),
  "stalled from the middle on": stallAfter(20),
};

for (const [name, fault] of Object.entries(STREAM_FAULTS)) {
  test(`a stream ${name} yields the whole answer once`, async (t) => {
    const fleet = await startFaultyFleet();
    breakFirstStream(fleet, fault);
    const completion = { prompt: PROMPT, maximumTokens: ANSWER_TOKENS };
    const answer = fleet.complete(CALL, completion);
    const { text, error } = await fleet.clock.advanceUntil(answer);
    t.is(error, undefined);
    t.is(text, expectedAnswer(PROMPT, ANSWER_TOKENS));
    const started = [...fleet.engines.values()]
      .map((engine) => engine.counters.started);
    t.is(started[0]! + started[1]!, 1);
  });
}

async function* failing(error: Error): Chunks {
  yield await Promise.reject(error);
}

interface FailureCase {
  readonly name: string;
  readonly code: ProblemCode;
  readonly executed: "no" | "unknown";
  readonly cause: (engine: EngineModel) => void;
}

const always = (error: () => Error) => (engine: EngineModel) => {
  engine.complete = () => failing(error());
};

const FAILURES: readonly FailureCase[] = [
  {
    name: "refused by all engines",
    code: "upstream_lost",
    executed: "no",
    cause: always(() => new EngineRefusedError("busy")),
  },
  {
    name: "never connected",
    code: "upstream_lost",
    executed: "no",
    cause: always(() => new EngineNotReachedError("ECONNREFUSED")),
  },
  {
    name: "lost at all engines",
    code: "upstream_lost",
    executed: "unknown",
    cause: always(() => new EngineLostError("reset")),
  },
  {
    name: "lost, then refused",
    code: "upstream_lost",
    executed: "unknown",
    cause: (engine) => {
      let isFirst = true;
      engine.complete = () => {
        const lost = isFirst;
        isFirst = false;
        return failing(
          lost ? new EngineLostError("reset") : new EngineRefusedError("busy"),
        );
      };
    },
  },
  {
    name: "without any engine",
    code: "no_upstream",
    executed: "no",
    cause: (engine) => engine.crash(),
  },
  {
    name: "past its deadline in a stalled engine",
    code: "deadline_exceeded",
    executed: "unknown",
    cause: (engine) => engine.stall(60_000),
  },
];

for (const { name, code, executed, cause } of FAILURES) {
  test(`a request ${name} reports executed as ${executed}`, async (t) => {
    const fleet = await startFaultyFleet();
    fleet.engines.forEach(cause);
    await fleet.clock.advance(6_000);
    const answer = fleet.complete(CALL, { prompt: PROMPT });
    const { error } = await fleet.clock.advanceUntil(answer);
    t.is(error?.code, code);
    t.is(error?.executed, executed);
  });
}

test("a request whose deadline passes before an engine is found was not executed", async (t) => {
  const fleet = await startFaultyFleet();
  fleet.engines.forEach((engine) => engine.crash());
  await fleet.clock.advance(6_000);
  const call = { ...CALL, headers: { deadline: 1_000 } };
  const answer = fleet.complete(call, { prompt: PROMPT });
  const { error } = await fleet.clock.advanceUntil(answer);
  t.is(error?.code, "deadline_exceeded");
  t.is(error?.executed, "no");
});

test("the number of retries is bounded by the number of requests", async (t) => {
  const fleet = await startFaultyFleet();
  let sends = 0;
  for (const engine of fleet.engines.values()) {
    engine.complete = () => {
      sends++;
      return failing(new EngineRefusedError("busy"));
    };
  }
  const requests = 400;
  const startedAt = fleet.clock.now();
  for (let count = 0; count < requests; count++) {
    const prompt = `prompt ${count}`;
    await fleet.clock.advanceUntil(fleet.complete(CALL, { prompt }));
  }
  const seconds = (fleet.clock.now() - startedAt) / 1_000;
  t.true(sends <= 1.2 * requests + 50 + seconds, `${sends} sends`);
});

test("a retry budget is refilled by requests and by time", async (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget(clock);
  const takeAll = () => {
    let taken = 0;
    while (budget.take()) taken++;
    return taken;
  };
  t.is(takeAll(), 50);
  for (let count = 0; count < 10; count++) budget.recordRequest();
  t.is(takeAll(), 2);
  await clock.advance(3_000);
  t.is(takeAll(), 3);
});
