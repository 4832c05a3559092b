import type { Claim } from "../src/requests/claim.ts";
import { createIssuedKeys } from "../src/requests/issued_keys.ts";
import { createLedger, type Ledger } from "../src/requests/ledger.ts";
import {
  createLedgerRouter,
  LEDGER_SHARD_PREFIX,
  shardOfKey,
} from "../src/requests/ledger_router.ts";
import { createSeededRandom } from "../src/support/random.ts";
import { createFakeClock } from "./fake_clock.ts";
import { createLocalNetwork } from "./local_links.ts";
import { createMemoryStore } from "./memory_store.ts";
import {
  createSteppedStore,
  recordInput,
  recordLinks,
  type Simulation,
  waitForStep,
} from "./stepped_simulation.ts";

/// Explores every order in which the store can serve the calls of two entries
/// that submit the same key, with a bounded number of faults.

/// Defects that break the protocol, to test that the check detects them.
export type LedgerDefect = "none" | "sendUnconfirmed" | "unguardedWrites";

export interface LedgerCheckOptions {
  /// Whether the entries have a link, so that one entry owns the shard for both.
  readonly linked: boolean;
  /// Number of submissions of the key at each entry, one after the other.
  readonly submissionsPerEntry: number;
  /// Number of writes that take effect while their answer is lost.
  readonly lostAnswers: number;
  /// Number of pauses. During a pause, every open call to the store times out; it
  /// takes effect later.
  readonly pauses: number;
  /// Length of a pause. It has to exceed the timeout of the store and, if the
  /// entries have a link, that of a call over the link.
  readonly pauseMilliseconds: number;
  readonly defect?: LedgerDefect;
  /// Number of states after which the exploration fails as too large.
  readonly maximumStates?: number;
}

export interface LedgerCheckResult {
  readonly states: number;
  /// Number of states without a further step.
  readonly finalStates: number;
  /// The first violation found and the choices that lead to it.
  readonly violation: string | undefined;
}

const KEY = "order";
const OUTCOME = { status: 200, contentType: "text/plain", body: "" };
const LINK_LATENCY_MILLISECONDS = 2;
const ENTRY_COUNT = 2;
const PAUSE_CHOICE = "pause";

const waitForTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

interface EntryOptions extends LedgerCheckOptions {
  readonly entry: number;
}

async function runSubmissions(
  simulation: Simulation,
  ledger: Ledger,
  options: EntryOptions,
): Promise<void> {
  const { entry } = options;
  const parsedKey = {
    kind: "caller",
    time: simulation.clock.wallTime(),
  } as const;
  for (let count = 0; count < options.submissionsPerEntry; count++) {
    const claimId = `try ${entry}.${count}`;
    const claim = { key: KEY, fingerprint: "same", claimId, parsedKey };
    const result = await submit(simulation, ledger, { claim, options });
    simulation.results.push(`${claimId} ${result}`);
  }
}

async function submit(
  simulation: Simulation,
  ledger: Ledger,
  { claim, options }: { claim: Claim; options: EntryOptions },
): Promise<string> {
  const { signal } = new AbortController();
  const claimed = await ledger.claim(claim, signal).then(
    (result) => result.kind,
    () => options.defect === "sendUnconfirmed" ? "claimed" : "notRun",
  );
  if (claimed !== "claimed") return claimed;
  if (!ledger.markSent(claim) && options.defect !== "sendUnconfirmed") {
    return "notRun";
  }
  const run = () => Promise.resolve(void simulation.executions++);
  await waitForStep(simulation, `${claim.claimId} send`, run);
  recordInput(simulation, options.entry, "run");
  ledger.finish(claim, OUTCOME);
  return "run";
}

async function startSimulation(
  options: LedgerCheckOptions,
): Promise<Simulation> {
  const clock = createFakeClock();
  const simulation: Simulation = {
    clock,
    steps: new Map(),
    inputs: Array.from({ length: ENTRY_COUNT }, () => []),
    results: [],
    store: createMemoryStore(clock),
    lostAnswers: options.lostAnswers,
    pauses: options.pauses,
    executions: 0,
  };
  const sharedNetwork = createLocalNetwork(clock);
  const ledgers = simulation.inputs.map((_inputs, entry) => {
    const network = options.linked ? sharedNetwork : createLocalNetwork(clock);
    const vm = `vm-${entry}`;
    const identity = { vm, incarnation: vm, dataCentre: "muttrah" };
    const links = recordLinks(network.join(identity), simulation, entry);
    const random = createSeededRandom(entry);
    const store = createSteppedStore(simulation, entry, {
      isGuarded: options.defect !== "unguardedWrites",
    });
    const router = createLedgerRouter({ clock, random, links, store });
    const issuedKeys = createIssuedKeys({ clock, random, links });
    return createLedger({ clock, links, router, issuedKeys });
  });
  ledgers.forEach((ledger, entry) => {
    void runSubmissions(simulation, ledger, { ...options, entry });
  });
  await settle(simulation);
  return simulation;
}

/// Lets messages on the links arrive, and advances the time while no step is
/// open.
async function settle(simulation: Simulation): Promise<void> {
  const { clock, steps } = simulation;
  while (true) {
    await waitForTurn();
    const due = clock.nextDueAt();
    if (due === undefined) return;
    const onLink = due <= clock.now() + LINK_LATENCY_MILLISECONDS;
    if (!onLink && steps.size > 0) return;
    await clock.advance(Math.max(0, due - clock.now()));
  }
}

function choicesOf(simulation: Simulation): string[] {
  const names = [...simulation.steps.keys()].sort();
  return names.length > 0 && simulation.pauses > 0
    ? [...names, PAUSE_CHOICE]
    : names;
}

async function applyChoice(
  simulation: Simulation,
  choice: string,
  pauseMilliseconds: number,
): Promise<void> {
  if (choice === PAUSE_CHOICE) {
    simulation.pauses--;
    await simulation.clock.advance(pauseMilliseconds);
  } else {
    simulation.steps.get(choice)!.run();
  }
  await settle(simulation);
}

function describeState(simulation: Simulation): string {
  const { clock, inputs, results, lostAnswers, pauses, executions } =
    simulation;
  const shard = shardOfKey(KEY);
  const value = simulation.store.peek(LEDGER_SHARD_PREFIX + shard);
  return JSON.stringify([
    clock.now(),
    [...simulation.steps.keys()].sort(),
    Buffer.from(value?.value ?? "").toString(),
    value?.modifiedRevision,
    inputs,
    results,
    lostAnswers,
    pauses,
    executions,
  ]);
}

function findViolation(
  simulation: Simulation,
  options: LedgerCheckOptions,
): string | undefined {
  const { executions, results } = simulation;
  if (executions > 1) return `${executions} executions`;
  if (simulation.steps.size > 0) return undefined;
  const total = ENTRY_COUNT * options.submissionsPerEntry;
  if (results.length < total) return "a submission never ended";
  const hasResult = (kind: string) =>
    results.some((text) => text.endsWith(kind));
  if (hasResult("recorded") && executions !== 1) return "recorded but not run";
  const faults = options.lostAnswers - simulation.lostAnswers + options.pauses -
    simulation.pauses;
  if (faults === 0 && executions !== 1) return "not executed without a fault";
  const allNotRun = results.every((text) => text.endsWith("notRun"));
  return allNotRun && executions > 0
    ? "executed although reported as not run"
    : undefined;
}

async function replay(options: LedgerCheckOptions, path: readonly string[]) {
  const simulation = await startSimulation(options);
  for (const choice of path) {
    await applyChoice(simulation, choice, options.pauseMilliseconds);
  }
  return simulation;
}

/// Explores all orders and visits each state once. Follows one order to its end,
/// then starts from the beginning for each choice that was not taken.
export async function checkLedger(
  options: LedgerCheckOptions,
): Promise<LedgerCheckResult> {
  const seen = new Set<string>();
  const paths: string[][] = [[]];
  let finalStates = 0;
  while (paths.length > 0) {
    const path = paths.pop()!;
    const simulation = await replay(options, path);
    while (true) {
      const state = describeState(simulation);
      if (seen.has(state)) break;
      seen.add(state);
      if (seen.size > (options.maximumStates ?? Infinity)) {
        throw new RangeError(`more than ${options.maximumStates} states`);
      }
      const finding = findViolation(simulation, options);
      if (finding) {
        const violation = `${finding}: ${path.join("; ")}`;
        return { states: seen.size, finalStates, violation };
      }
      const [next, ...others] = choicesOf(simulation);
      paths.push(...others.map((choice) => [...path, choice]));
      if (next === undefined) {
        finalStates++;
        break;
      }
      path.push(next);
      await applyChoice(simulation, next, options.pauseMilliseconds);
    }
  }
  return { states: seen.size, finalStates, violation: undefined };
}
