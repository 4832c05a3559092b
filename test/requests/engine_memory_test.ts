import test from "ava";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// No engine holds memory for a request whose VM has failed.

/// Time within which the memory held for a failed VM is freed.
const FREE_TIMEOUT_MILLISECONDS = 10_000;
const OWNER = "vm-1";
/// Larger than one engine's memory.
const SPANNED_PROMPT = "word".repeat(10_000);
const SHORT_PROMPT = "word".repeat(1_000);
const ENGINE = { memoryTokens: 4_500, lostCacheEventInterval: 0 };

const sumOf = (fleet: Fleet, name: "prefilledTokens" | "generatedTokens") =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters[name],
    0,
  );

const hasFinished = (fleet: Fleet) =>
  [...fleet.engines.values()].some((engine) => engine.counters.finished > 0);

interface Step {
  readonly name: string;
  readonly prompt: string;
  readonly maximumTokens?: number;
  readonly isReached: (fleet: Fleet) => boolean;
}

const STEPS: readonly Step[] = [
  {
    name: "announced",
    prompt: SPANNED_PROMPT,
    isReached: (fleet) => fleet.entries.get(OWNER)!.holdings.held().length > 0,
  },
  {
    name: "reserved",
    prompt: SPANNED_PROMPT,
    isReached: (fleet) => fleet.heldTokens() > 0,
  },
  {
    name: "first span",
    prompt: SPANNED_PROMPT,
    isReached: (fleet) => sumOf(fleet, "prefilledTokens") > 0,
  },
  { name: "second span", prompt: SPANNED_PROMPT, isReached: hasFinished },
  {
    name: "last stream",
    prompt: SPANNED_PROMPT,
    isReached: (fleet) => sumOf(fleet, "generatedTokens") > 0,
  },
  {
    name: "short stream",
    prompt: SHORT_PROMPT,
    maximumTokens: 3_000,
    isReached: (fleet) => sumOf(fleet, "generatedTokens") > 0,
  },
];

interface Fault {
  readonly name: string;
  readonly cause: (fleet: Fleet) => void;
}

const kill = (...vms: string[]) => (fleet: Fleet) => vms.forEach(fleet.kill);

const FAULTS: readonly Fault[] = [
  { name: "vm-1 killed", cause: kill(OWNER) },
  { name: "vm-1 and vm-2 killed", cause: kill(OWNER, "vm-2") },
  { name: "vm-1 and vm-3 killed", cause: kill(OWNER, "vm-3") },
  { name: "vm-1 and vm-4 killed", cause: kill(OWNER, "vm-4") },
  {
    name: "vm-1 killed and restarted",
    cause: (fleet) => {
      fleet.kill(OWNER);
      fleet.clock.schedule(500, () => fleet.start(OWNER));
    },
  },
  {
    name: "vm-1 killed while the engines hang",
    cause: (fleet) => {
      fleet.kill(OWNER);
      fleet.engines.forEach((engine) => engine.hang(4_000));
    },
  },
  {
    name: "caller disconnected while the engines hang",
    cause: (fleet) => {
      fleet.engines.forEach((engine) => engine.hang(4_000));
      gone.abort(new Error("gone"));
    },
  },
];

let gone = new AbortController();

for (const listsStreams of [true, false]) {
  for (const step of STEPS) {
    for (const fault of FAULTS) {
      const engines = listsStreams ? "listing" : "silent";
      test.serial(`${fault.name}, ${step.name}, ${engines} engines`, async (t) => {
        gone = new AbortController();
        const fleet = await startFleet({
          sheet: sampleSheet(),
          entries: 4,
          seed: 3,
          engine: { ...ENGINE, listsStreams },
        });
        const call = {
          vm: OWNER,
          key: "caller-key",
          disconnectSignal: gone.signal,
        };
        const { prompt, maximumTokens = 1_000 } = step;
        const completion = { prompt, maximumTokens };
        void fleet.complete(call, completion);
        while (!step.isReached(fleet)) await fleet.clock.advance(1);
        fault.cause(fleet);
        await fleet.clock.advance(FREE_TIMEOUT_MILLISECONDS);
        t.is(fleet.heldTokens(), 0);
      });
    }
  }
}
