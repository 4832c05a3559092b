import { build } from "hdr-histogram-js";
import { sampleSheet } from "../sample_sheet.ts";
import { type Caller, createCaller } from "../caller.ts";
import { startDeployment } from "../deployment.ts";
import type { MeasurementResult, ResultTable } from "../measurement.ts";

/// Latency that one daemon adds to a call of an engine stand-in, and the rate
/// it carries, both against the same calls sent directly.

const KEY = "caller-key";
const SEQUENTIAL_CALLS = 1_000;
const CONCURRENT_CALLERS = 64;
const CONCURRENT_CALLS = 4_000;
const WARM_UP_CALLS = 300;
const PROMPT = "word".repeat(1_000);
const MEDIAN_TARGET_MILLISECONDS = 1;
const P99_TARGET_MILLISECONDS = 5;
/// The engine answers at once, so that only the path to it counts.
const INSTANT_ENGINE = {
  stepMilliseconds: 0,
  prefillMillisecondsPerToken: 0,
  decodeMillisecondsPerStream: 0,
  prefillTokensPerStep: 1_000_000,
  retainMilliseconds: 100,
};

interface Latencies {
  readonly median: number;
  readonly p99: number;
  readonly perSecond: number;
}

let nextStream = 0;

async function callOnce(caller: Caller): Promise<void> {
  const answer = await caller.complete({
    model: "text",
    prompt: PROMPT,
    maximumTokens: 1,
    extra: { stream_id: `direct-${nextStream++}` },
  });
  if (!answer.complete) throw new Error(`status ${answer.status}`);
}

async function measureSequential(callers: readonly Caller[]) {
  const histograms = callers.map(() => build({ highestTrackableValue: 1e9 }));
  for (let count = 0; count < SEQUENTIAL_CALLS; count++) {
    for (const [index, caller] of callers.entries()) {
      const started = process.hrtime.bigint();
      await callOnce(caller);
      const nanoseconds = Number(process.hrtime.bigint() - started);
      histograms[index]!.recordValue(Math.round(nanoseconds / 1_000));
    }
  }
  return histograms.map((histogram) => ({
    median: histogram.getValueAtPercentile(50) / 1_000,
    p99: histogram.getValueAtPercentile(99) / 1_000,
  }));
}

async function measureRate(caller: Caller): Promise<number> {
  let left = CONCURRENT_CALLS;
  const started = performance.now();
  const work = async () => {
    while (left-- > 0) await callOnce(caller);
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, work));
  return CONCURRENT_CALLS * 1_000 / (performance.now() - started);
}

/// Measures both ways in one run, taking turns.
export async function measureOverhead(): Promise<MeasurementResult> {
  const deployment = await startDeployment({
    sheet: sampleSheet({ keys: { caller: KEY }, engines: 1, replicas: 0 }),
    vms: 1,
    engine: INSTANT_ENGINE,
  });
  await deployment.applySheet();
  const engineAddress = deployment.sheet.upstreams[0]!.address;
  const direct = createCaller(engineAddress, KEY);
  const through = createCaller(deployment.daemons[0]!.callerAddress, KEY);
  for (let count = 0; count < WARM_UP_CALLS; count++) {
    await callOnce(direct);
    await callOnce(through);
  }
  const [directTimes, throughTimes] = await measureSequential([
    direct,
    through,
  ]);
  const directRate = await measureRate(direct);
  const throughRate = await measureRate(through);
  await Promise.all([direct.close(), through.close()]);
  await deployment.close();
  return toResult(
    { ...directTimes!, perSecond: directRate },
    { ...throughTimes!, perSecond: throughRate },
  );
}

function toResult(direct: Latencies, through: Latencies): MeasurementResult {
  const added = {
    median: through.median - direct.median,
    p99: through.p99 - direct.p99,
  };
  const row = (name: string, { median, p99, perSecond }: Latencies) => [
    name,
    median.toFixed(2),
    p99.toFixed(2),
    perSecond.toFixed(0),
  ];
  const table: ResultTable = {
    title: "Calls of 1,000 tokens, one token answered",
    columns: ["way", "median ms", "p99 ms", "requests per second"],
    rows: [row("direct", direct), row("through the daemon", through)],
  };
  return {
    name: "overhead",
    summary: "Added latency of one daemon. Caller, daemon and engine share " +
      "one process here, so the rates are those of one core for all three.",
    tables: [table],
    targets: [
      {
        name: "added latency, median",
        target: `≤ ${MEDIAN_TARGET_MILLISECONDS} ms`,
        measured: `${added.median.toFixed(2)} ms`,
        met: added.median <= MEDIAN_TARGET_MILLISECONDS,
      },
      {
        name: "added latency, p99",
        target: `≤ ${P99_TARGET_MILLISECONDS} ms`,
        measured: `${added.p99.toFixed(2)} ms`,
        met: added.p99 <= P99_TARGET_MILLISECONDS,
      },
    ],
  };
}
