import { build } from "hdr-histogram-js";
import { request } from "undici";
import type { Sheet } from "../../src/contracts/sheet.ts";
import { type Caller, createCaller } from "../caller.ts";
import type { MeasurementResult, ResultTable } from "../measurement.ts";
import {
  type DaemonProcess,
  startProcessDeployment,
} from "../process_deployment.ts";
import { sampleSheet } from "../sample_sheet.ts";

/// Latency that one daemon adds to a call of an engine stand-in, its
/// throughput, and its memory use with many concurrent requests and with very
/// long ones.

const KEY = "caller-key";
const SEQUENTIAL_CALLS = 2_000;
const CONCURRENT_CALLERS = 64;
const CONCURRENT_CALLS = 8_000;
const WARM_UP_CALLS = 2_000;
const PROMPT = "word".repeat(1_000);
const CONCURRENT_SHORT_REQUESTS = 10_000;
const CONCURRENT_LONG_REQUESTS = 20;
const LONG_PROMPT = "word".repeat(1_000_000);
const RUNNING_POLL_INTERVAL_MILLISECONDS = 250;
const MAXIMUM_RUNNING_POLLS = 120;
/// Arrivals stay below the throughput of one daemon.
const ARRIVAL_BATCH = 50;
const BATCH_DELAY_MILLISECONDS = 100;
const MAXIMUM_ADDED_MEDIAN_MILLISECONDS = 1;
const MAXIMUM_ADDED_P99_MILLISECONDS = 5;
const MAXIMUM_RESIDENT_MEGABYTES = 256;
const BYTES_PER_MEGABYTE = 1_048_576;
/// The engine answers immediately, so that only the latency of the path to it
/// is measured.
const INSTANT_ENGINE_OPTIONS = {
  stepMilliseconds: 0,
  prefillMillisecondsPerToken: 0,
  decodeMillisecondsPerStream: 0,
  prefillTokensPerStep: 1_000_000,
  retainMilliseconds: 100,
};
/// Engines prefill fast and then take seconds to decode a token, so that
/// requests are admitted and keep running.
const SLOW_DECODE_ENGINE_OPTIONS = {
  memoryTokens: 30_000_000,
  prefillTokensPerStep: 2_000_000,
  prefillMillisecondsPerToken: 0,
  stepMilliseconds: 5_000,
};
const MAXIMUM_ANSWER_TOKENS = 100;

/// Creates a sheet whose limits and deadlines don't end the running requests.
function createUnlimitedSheet(engines: number): Sheet {
  const sheet = sampleSheet({ keys: { caller: KEY }, engines, replicas: 0 });
  return {
    ...sheet,
    customers: sheet.customers.map((customer) => ({
      ...customer,
      requestsPerSecond: 1_000_000,
      tokensPerSecond: 1_000_000_000,
      concurrentLongRequests: 1_000,
      shortDeadlineMilliseconds: 900_000,
      longDeadlineMilliseconds: 900_000,
    })),
  };
}

interface Latencies {
  readonly median: number;
  readonly p99: number;
  readonly requestsPerSecond: number;
}

interface MemoryUse {
  readonly name: string;
  readonly running: number;
  readonly residentMegabytes: number;
  readonly heapMegabytes: number;
}

let nextStream = 0;

const sleep = (milliseconds: number) =>
  new Promise<void>((done) => setTimeout(done, milliseconds));

async function completeOnce(caller: Caller): Promise<void> {
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
      await completeOnce(caller);
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
  let remaining = CONCURRENT_CALLS;
  const started = performance.now();
  const runCaller = async () => {
    while (remaining-- > 0) await completeOnce(caller);
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, runCaller));
  return CONCURRENT_CALLS * 1_000 / (performance.now() - started);
}

async function measureLatencies(): Promise<[Latencies, Latencies]> {
  const deployment = await startProcessDeployment({
    sheet: createUnlimitedSheet(1),
    vms: 1,
    engine: INSTANT_ENGINE_OPTIONS,
  });
  await deployment.applySheet();
  const direct = createCaller(deployment.sheet.upstreams[0]!.address, KEY);
  const proxied = createCaller(deployment.daemons[0]!.callerAddress, KEY);
  for (let count = 0; count < WARM_UP_CALLS; count++) {
    await completeOnce(direct);
    await completeOnce(proxied);
  }
  const [directTimes, proxiedTimes] = await measureSequential([
    direct,
    proxied,
  ]);
  const directRate = await measureRate(direct);
  const proxiedRate = await measureRate(proxied);
  await Promise.all([direct.close(), proxied.close()]);
  await deployment.close();
  return [
    { ...directTimes!, requestsPerSecond: directRate },
    { ...proxiedTimes!, requestsPerSecond: proxiedRate },
  ];
}

async function readMetric(daemon: DaemonProcess, name: string) {
  const url = `http://${daemon.administrationAddress}/metrics`;
  const text = await (await request(url)).body.text();
  const line = text.split("\n").find((item) => item.startsWith(`${name} `));
  return Number(line?.split(" ")[1]);
}

async function measureMemory(
  name: string,
  options: { requests: number; prompt: string },
): Promise<MemoryUse> {
  const deployment = await startProcessDeployment({
    sheet: createUnlimitedSheet(20),
    vms: 1,
    engine: SLOW_DECODE_ENGINE_OPTIONS,
  });
  await deployment.applySheet();
  const daemon = deployment.daemons[0]!;
  const callers = Array.from(
    { length: 10 },
    () => createCaller(daemon.callerAddress, KEY),
  );
  for (let count = 0; count < options.requests; count++) {
    callers[count % callers.length]!.complete({
      model: "text",
      // Identical requests would wait until one of them has finished.
      prompt: `${count} ${options.prompt}`,
      maximumTokens: MAXIMUM_ANSWER_TOKENS,
    }).catch(() => {});
    if (count % ARRIVAL_BATCH === 0) await sleep(BATCH_DELAY_MILLISECONDS);
  }
  const running = () => readMetric(daemon, "sequoiaturn_running_requests");
  for (let poll = 0; poll < MAXIMUM_RUNNING_POLLS; poll++) {
    if (await running() >= options.requests) break;
    await sleep(RUNNING_POLL_INTERVAL_MILLISECONDS);
  }
  const held = {
    name,
    running: await running(),
    residentMegabytes: await readMetric(
      daemon,
      "process_resident_memory_bytes",
    ) / BYTES_PER_MEGABYTE,
    heapMegabytes: await readMetric(daemon, "nodejs_heap_size_used_bytes") /
      BYTES_PER_MEGABYTE,
  };
  await deployment.close();
  await Promise.all(callers.map((caller) => caller.close()));
  return held;
}

/// Measures direct calls and calls through the daemon alternately in one run,
/// then the memory of the daemon.
export async function measureOverhead(): Promise<MeasurementResult> {
  const [direct, proxied] = await measureLatencies();
  const held = [
    await measureMemory("10,000 short requests", {
      requests: CONCURRENT_SHORT_REQUESTS,
      prompt: PROMPT,
    }),
    await measureMemory("20 requests of a million tokens", {
      requests: CONCURRENT_LONG_REQUESTS,
      prompt: LONG_PROMPT,
    }),
  ];
  return toResult(direct, proxied, held);
}

function toResult(
  direct: Latencies,
  proxied: Latencies,
  held: readonly MemoryUse[],
): MeasurementResult {
  const added = {
    median: proxied.median - direct.median,
    p99: proxied.p99 - direct.p99,
  };
  const row = (name: string, { median, p99, requestsPerSecond }: Latencies) => [
    name,
    median.toFixed(2),
    p99.toFixed(2),
    requestsPerSecond.toFixed(0),
  ];
  const latencies: ResultTable = {
    title: "Calls of 1,000 tokens, one token answered",
    columns: ["way", "median ms", "p99 ms", "requests per second"],
    rows: [row("direct", direct), row("through the daemon", proxied)],
  };
  const memory: ResultTable = {
    title: "Memory of the daemon while requests run",
    columns: ["load", "running", "resident MB", "heap used MB"],
    rows: held.map((item) => [
      item.name,
      item.running,
      item.residentMegabytes.toFixed(0),
      item.heapMegabytes.toFixed(0),
    ]),
  };
  return {
    name: "overhead",
    summary: "One daemon against calling the engine stand-in directly. " +
      "Caller, daemon and stand-ins are three processes.",
    tables: [latencies, memory],
    targets: [
      {
        name: "added latency, median",
        target: `≤ ${MAXIMUM_ADDED_MEDIAN_MILLISECONDS} ms`,
        measured: `${added.median.toFixed(2)} ms`,
        met: added.median <= MAXIMUM_ADDED_MEDIAN_MILLISECONDS,
      },
      {
        name: "added latency, p99",
        target: `≤ ${MAXIMUM_ADDED_P99_MILLISECONDS} ms`,
        measured: `${added.p99.toFixed(2)} ms`,
        met: added.p99 <= MAXIMUM_ADDED_P99_MILLISECONDS,
      },
      ...held.map((item) => ({
        name: `resident memory, ${item.name}`,
        target: `< ${MAXIMUM_RESIDENT_MEGABYTES} MB`,
        measured: `${item.residentMegabytes.toFixed(0)} MB`,
        met: item.residentMegabytes < MAXIMUM_RESIDENT_MEGABYTES,
      })),
    ],
  };
}
