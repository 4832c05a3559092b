import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { createSeededRandom, randomInteger } from "../../src/support/random.ts";
import { createOrderFaults, type OrderPlay } from "./order_faults.ts";
import { ORDER_SERVICES, startOrderFleet } from "./order_fleet.ts";
import type { Copies } from "./order_upstream.ts";
import {
  checkOrders,
  type OrderAttempt,
  type OrderExecution,
  type OrderFindings,
  readRecords,
} from "./order_records.ts";

/// Runs gateways, upstreams and callers as processes under faults, and counts how
/// often each request that may run once at most has run. The seed determines the
/// faults and what callers and upstreams do.

export interface OrderSoakOptions {
  readonly seed: number;
  readonly play: OrderPlay;
  readonly gateways: number;
  readonly upstreams: number;
  /// Time during which faults are started.
  readonly faultMilliseconds: number;
  /// Program of the gateways; that of this build by default.
  readonly program?: string;
  /// Where the logs of failed runs are kept.
  readonly logs?: string;
  readonly copies?: Copies;
}

export interface OrderSoakResult extends OrderFindings {
  readonly seed: number;
  readonly play: OrderPlay;
  readonly attempts: number;
  readonly executions: number;
  /// Attempts by how they ended, and by status if they were answered.
  readonly ends: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  /// Folder with the logs, if a rule was broken.
  readonly logs: string | undefined;
}

const CALLERS = 2;
const REQUESTS_PER_UPSTREAM = 2;
const START_MILLISECONDS = 1_500;
/// Longest time between the starts of two faults.
const LONGEST_GAP_MILLISECONDS = 700;
/// Longer than any request lasts, so that late executions are counted.
const END_MILLISECONDS = 4_000;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

export async function runOrderSoak(
  options: OrderSoakOptions,
): Promise<OrderSoakResult> {
  const { seed, play, logs = tmpdir() } = options;
  const random = createSeededRandom(seed);
  mkdirSync(logs, { recursive: true });
  const folder = mkdtempSync(`${logs}/orders-${play}-${seed}-`);
  const fleet = await startOrderFleet({
    random,
    folder,
    gateways: options.gateways,
    upstreams: options.upstreams,
    callers: CALLERS,
    requests: options.upstreams * REQUESTS_PER_UPSTREAM,
    program: options.program,
    copies: options.copies ?? "all",
  });
  const faults = createOrderFaults(fleet, random, play);
  const played: string[] = [];
  const failures: string[] = [];

  const runFaults = async () => {
    await sleep(START_MILLISECONDS);
    const startedAt = performance.now();
    const running: Promise<void>[] = [];
    while (performance.now() - startedAt < options.faultMilliseconds) {
      const { name, ended } = faults.start();
      played.push(`${Date.now()} ${name}`);
      running.push(
        ended.catch((error: Error) =>
          void failures.push(`${name}: ${error.message}`)
        ),
      );
      await sleep(randomInteger(random, LONGEST_GAP_MILLISECONDS));
    }
    await Promise.all(running);
    await sleep(END_MILLISECONDS);
  };

  await runFaults().finally(fleet.close);
  const { files } = fleet;
  const attempts = files.attempts.flatMap(readRecords<OrderAttempt>);
  const executions = files.executions.flatMap(readRecords<OrderExecution>);
  const findings = checkOrders(attempts, executions, ORDER_SERVICES);
  const ends: Record<string, number> = {};
  for (const { end, status } of attempts) {
    const name = String(status ?? end);
    ends[name] = (ends[name] ?? 0) + 1;
  }
  const misdirected = [...findings.misdirected, ...failures];
  const isBroken = findings.twice.length > 0 || findings.refused.length > 0 ||
    misdirected.length > 0;
  for (const { process } of fleet.gateways) {
    writeFileSync(`${folder}/${process.vm}.log`, process.log().join("\n"));
  }
  writeFileSync(`${folder}/faults.log`, played.join("\n"));
  if (!isBroken) rmSync(folder, { recursive: true });
  return {
    ...findings,
    misdirected,
    seed,
    play,
    attempts: attempts.length,
    executions: executions.length,
    ends,
    faults: played,
    logs: isBroken ? folder : undefined,
  };
}
