import test from "ava";
import { findCrashRefusal } from "../../src/requests/crash_attribution.ts";
import { createCrashTable, partKey } from "../../src/requests/crash_table.ts";
import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";

/// A load of short prompts on engines, some of which crash them, under the fake
/// clock. Requests are concentrated on few engines, so each crash ends several
/// sound ones.

const SECONDS = 20;
const ENGINES = 8;
const SOUND_PER_SECOND = 33;
const CRASHING_PER_SECOND = 5;
const FIRST_PARTS = 60;
const ATTEMPTS = 4;
const PREFILL_MILLISECONDS = 100;
const DECODE_MILLISECONDS = 1_400;
const RESTART_MILLISECONDS = 3_000;
/// Requests with a part that may still be sent once it has crashed five engines.
const CRASHES_KNOWN = 5;
const LATE_ALLOWED = 3;
/// Crashes after which a request is refused for its own sake.
const REQUEST_CRASHES_ALLOWED = 3;
/// Share of sound requests that may be refused.
const REFUSED_ALLOWED = 0.01;
const OUTAGE_INTERVAL_MILLISECONDS = 1_500;

interface SimulatedRequest {
  readonly fingerprint: string;
  readonly parts: readonly string[];
  readonly isCrashing: boolean;
}

interface SimulatedRun {
  readonly startedAt: number;
  readonly isRetry: boolean;
  readonly onCrash: () => void;
}

interface SimulatedEngine {
  starts: number;
  isDown: boolean;
  readonly running: Map<SimulatedRequest, SimulatedRun>;
}

interface SimulationResult {
  crashes: number;
  /// Requests that crash engines and were sent to one after the fifth crash.
  crashingSentLate: number;
  /// Requests that were refused, by whether they crash engines.
  crashingRefused: number;
  /// Those that were not on three crashed engines themselves.
  soundRefused: number;
  soundSent: number;
}

/// Which parts the prompts have that crash engines.
type CrashingParts = (firstPart: string) => readonly string[];

const exponential = (random: RandomSource, mean: number) =>
  -Math.log(1 - random.next()) * mean;

/// Without crashing parts, engines crash by themselves, one at a time and all at
/// once in the middle of the time.
async function simulate(
  seed: number,
  crashingParts: CrashingParts | undefined,
): Promise<SimulationResult> {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const table = createCrashTable(clock);
  const known = {
    ...table,
    ageOf: (crash: string) => clock.now() - table.timeOf(crash),
    turnOf: () => 0,
  };
  const engines = Array.from({ length: ENGINES }, (): SimulatedEngine => ({
    starts: 0,
    isDown: false,
    running: new Map(),
  }));
  const result = {
    crashes: 0,
    crashingSentLate: 0,
    crashingRefused: 0,
    soundRefused: 0,
    soundSent: 0,
  };
  let sent = 0;

  const crash = (...crashing: readonly SimulatedEngine[]) => {
    const ended = crashing.flatMap((engine) => {
      const id = `${engines.indexOf(engine)} ${engine.starts}`;
      const requests = [...engine.running];
      engine.running.clear();
      engine.isDown = true;
      for (const [request, { startedAt, isRetry }] of requests) {
        const ran = clock.now() - startedAt;
        table.add({ crash: id, ...request, ran, isRetry }, 0);
      }
      clock.schedule(RESTART_MILLISECONDS, () => {
        engine.starts += 1;
        engine.isDown = false;
      });
      return requests;
    });
    result.crashes += crashing.length;
    for (const [, { onCrash }] of ended) onCrash();
  };

  const send = (request: SimulatedRequest, attempt = 1) => {
    if (findCrashRefusal(known, request)) {
      const hasCrashes =
        table.crashesOf(request.fingerprint).length >= REQUEST_CRASHES_ALLOWED;
      if (request.isCrashing) result.crashingRefused += 1;
      else if (!hasCrashes) result.soundRefused += 1;
      return;
    }
    const usable = engines.filter(({ isDown }) => !isDown);
    if (usable.length === 0 || attempt > ATTEMPTS) return;
    if (request.isCrashing && result.crashes >= CRASHES_KNOWN) {
      result.crashingSentLate += 1;
    }
    const engine = usable[randomInteger(random, usable.length)]!;
    const duration = PREFILL_MILLISECONDS +
      (request.isCrashing ? 0 : DECODE_MILLISECONDS);
    const timer = clock.schedule(duration, () => {
      if (request.isCrashing) return crash(engine);
      engine.running.delete(request);
      const { fingerprint, parts } = request;
      for (const key of [fingerprint, ...parts.map(partKey)]) {
        table.recordCompleted(key);
        table.clear(key, table.crashesOf(key));
      }
    });
    engine.running.set(request, {
      startedAt: clock.now(),
      isRetry: attempt > 1,
      onCrash: () => {
        timer.cancel();
        send(request, attempt + 1);
      },
    });
  };

  /// The first parts are of unlike popularity.
  const chooseFirstPart = () =>
    `first-${Math.floor(FIRST_PARTS * random.next() ** 2)}`;
  const arrive = (rate: number, create: () => SimulatedRequest) => {
    clock.schedule(exponential(random, 1_000 / rate), () => {
      send(create());
      arrive(rate, create);
    });
  };
  arrive(SOUND_PER_SECOND, () => {
    result.soundSent += 1;
    return {
      fingerprint: `request-${sent++}`,
      parts: [chooseFirstPart()],
      isCrashing: false,
    };
  });
  if (crashingParts) {
    arrive(CRASHING_PER_SECOND, () => ({
      fingerprint: `request-${sent++}`,
      parts: crashingParts(chooseFirstPart()),
      isCrashing: true,
    }));
  } else {
    const crashRunning = (some: readonly SimulatedEngine[]) =>
      crash(...some.filter(({ isDown }) => !isDown));
    for (
      let at = OUTAGE_INTERVAL_MILLISECONDS;
      at < SECONDS * 1_000;
      at += OUTAGE_INTERVAL_MILLISECONDS
    ) {
      clock.schedule(
        at,
        () => crashRunning([engines[randomInteger(random, ENGINES)]!]),
      );
    }
    clock.schedule(SECONDS * 500, () => crashRunning(engines));
  }
  await clock.advance(SECONDS * 1_000);
  return result;
}

const LOADS: readonly { title: string; crashingParts: CrashingParts }[] = [
  {
    title: "a part behind first parts that others share",
    crashingParts: (firstPart) => [firstPart, "crashing"],
  },
  {
    title: "a part behind one first part",
    crashingParts: () => ["first-1", "crashing"],
  },
  { title: "a first part", crashingParts: () => ["crashing"] },
];
const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);

const isSoundServed = ({ soundRefused, soundSent }: SimulationResult) =>
  soundRefused <= REFUSED_ALLOWED * soundSent;

for (const { title, crashingParts } of LOADS) {
  test(`${title} is found among the requests beside it`, async (t) => {
    for (const seed of SEEDS) {
      const result = await simulate(seed, crashingParts);
      const details = `seed ${seed}: ${JSON.stringify(result)}`;
      t.true(result.crashingSentLate <= LATE_ALLOWED, details);
      t.true(result.crashingRefused > 0, details);
      t.true(isSoundServed(result), details);
    }
  });
}

test("engines that crash without a cause in requests don't make sound ones refused", async (t) => {
  for (const seed of SEEDS) {
    const result = await simulate(seed, undefined);
    const details = `seed ${seed}: ${JSON.stringify(result)}`;
    t.true(result.crashes > ENGINES, details);
    t.true(isSoundServed(result), details);
  }
});
