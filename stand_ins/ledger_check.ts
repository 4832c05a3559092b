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
  recordLinks,
  tell,
  waitForStep,
  type World,
} from "./stepped_simulation.ts";

/// Explores every order in which the store can serve the calls of two entries
/// that try the same key, with a bounded number of faults.

/// Ways to break the protocol, to see that the check finds it.
export type LedgerDefect = "none" | "sendUnconfirmed" | "unguardedWrites";

export interface LedgerCheckOptions {
  /// Whether the entries have a link, so that one is the home of both.
  readonly linked: boolean;
  /// Tries of each entry, one after the other.
  readonly submissionsPerEntry: number;
  /// Writes that take effect while their answer is lost.
  readonly lostAnswers: number;
  /// Times at which every open call of the store times out and takes effect
  /// later.
  readonly pauses: number;
  /// Length of a pause: above the store's timeout, and above that of a call
  /// over a link where the entries have one.
  readonly pauseMilliseconds: number;
  readonly defect?: LedgerDefect;
}

export interface LedgerCheckResult {
  readonly states: number;
  /// Ends without a further step.
  readonly finalStates: number;
  /// The choices that lead to the first violation found, and what it was.
  readonly violation: string | undefined;
}

const KEY = "order";
const OUTCOME = { status: 200, contentType: "text/plain", body: "" };
const LINK_MILLISECONDS = 2;
const ENTRIES = 2;
const PAUSE = "pause";

const turn = () => new Promise<void>((resolve) => setImmediate(resolve));

interface EntryOptions extends LedgerCheckOptions {
  readonly entry: number;
}

async function runTries(
  world: World,
  ledger: Ledger,
  options: EntryOptions,
): Promise<void> {
  const { entry } = options;
  const parsedKey = { kind: "caller", time: world.clock.wallTime() } as const;
  for (let count = 0; count < options.submissionsPerEntry; count++) {
    const claimId = `try ${entry}.${count}`;
    const claim = { key: KEY, fingerprint: "same", claimId, parsedKey };
    const result = await runTry(world, ledger, { claim, options });
    world.results.push(`${claimId} ${result}`);
  }
}

async function runTry(
  world: World,
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
  const run = () => Promise.resolve(void world.executions++);
  await waitForStep(world, `${claim.claimId} send`, run);
  tell(world, options.entry, "run");
  ledger.finish(claim, OUTCOME);
  return "run";
}

async function startWorld(options: LedgerCheckOptions): Promise<World> {
  const clock = createFakeClock();
  const world: World = {
    clock,
    steps: new Map(),
    inputs: Array.from({ length: ENTRIES }, () => []),
    results: [],
    memory: createMemoryStore(clock),
    lostAnswers: options.lostAnswers,
    pauses: options.pauses,
    executions: 0,
  };
  const shared = createLocalNetwork(clock);
  const ledgers = world.inputs.map((_inputs, entry) => {
    const network = options.linked ? shared : createLocalNetwork(clock);
    const vm = `vm-${entry}`;
    const identity = { vm, incarnation: vm, dataCentre: "muttrah" };
    const links = recordLinks(network.join(identity), world, entry);
    const random = createSeededRandom(entry);
    const store = createSteppedStore(world, entry, {
      isGuarded: options.defect !== "unguardedWrites",
    });
    const home = createLedgerRouter({ clock, random, links, store });
    const issuedKeys = createIssuedKeys({ clock, random, links });
    return createLedger({ clock, links, router: home, issuedKeys });
  });
  ledgers.forEach((ledger, entry) => {
    void runTries(world, ledger, { ...options, entry });
  });
  await settle(world);
  return world;
}

/// Lets messages on the links arrive, and time pass while nothing is open.
async function settle(world: World): Promise<void> {
  const { clock, steps } = world;
  while (true) {
    await turn();
    const due = clock.nextDueAt();
    if (due === undefined) return;
    const onLink = due <= clock.now() + LINK_MILLISECONDS;
    if (!onLink && steps.size > 0) return;
    await clock.advance(Math.max(0, due - clock.now()));
  }
}

function choicesOf(world: World): string[] {
  const names = [...world.steps.keys()].sort();
  return names.length > 0 && world.pauses > 0 ? [...names, PAUSE] : names;
}

async function take(
  world: World,
  choice: string,
  pauseMilliseconds: number,
): Promise<void> {
  if (choice === PAUSE) {
    world.pauses--;
    await world.clock.advance(pauseMilliseconds);
  } else {
    world.steps.get(choice)!.take();
  }
  await settle(world);
}

function describe(world: World): string {
  const { clock, inputs, results, lostAnswers, pauses, executions } = world;
  const shard = shardOfKey(KEY);
  const value = world.memory.peek(LEDGER_SHARD_PREFIX + shard);
  return JSON.stringify([
    clock.now(),
    [...world.steps.keys()].sort(),
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
  world: World,
  options: LedgerCheckOptions,
): string | undefined {
  const { executions, results } = world;
  if (executions > 1) return `${executions} executions`;
  if (world.steps.size > 0) return undefined;
  const total = ENTRIES * options.submissionsPerEntry;
  if (results.length < total) return "a try never ended";
  const told = (kind: string) => results.some((text) => text.endsWith(kind));
  if (told("recorded") && executions !== 1) return "an outcome of no run";
  const faults = options.lostAnswers - world.lostAnswers + options.pauses -
    world.pauses;
  if (faults === 0 && executions !== 1) return "nothing ran without a fault";
  const allNotRun = results.every((text) => text.endsWith("notRun"));
  return allNotRun && executions > 0 ? "it ran though not run" : undefined;
}

async function replay(options: LedgerCheckOptions, path: readonly string[]) {
  const world = await startWorld(options);
  for (const choice of path) {
    await take(world, choice, options.pauseMilliseconds);
  }
  return world;
}

/// Explores all orders, each state once. Follows one order to its end, then
/// starts again for each choice that was left.
export async function checkLedger(
  options: LedgerCheckOptions,
): Promise<LedgerCheckResult> {
  const seen = new Set<string>();
  const paths: string[][] = [[]];
  let ends = 0;
  while (paths.length > 0) {
    const path = paths.pop()!;
    const world = await replay(options, path);
    while (true) {
      const state = describe(world);
      if (seen.has(state)) break;
      seen.add(state);
      const fault = findViolation(world, options);
      if (fault) {
        const violation = `${fault}: ${path.join("; ")}`;
        return { states: seen.size, finalStates: ends, violation };
      }
      const [next, ...others] = choicesOf(world);
      paths.push(...others.map((choice) => [...path, choice]));
      if (next === undefined) {
        ends++;
        break;
      }
      path.push(next);
      await take(world, next, options.pauseMilliseconds);
    }
  }
  return { states: seen.size, finalStates: ends, violation: undefined };
}
