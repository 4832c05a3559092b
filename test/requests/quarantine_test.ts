import test from "ava";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { type EngineModel } from "../../stand_ins/engine_model.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Tests that a request that crashes engines crashes at most two, whichever VMs
/// receive it.

const KEY = "caller-key";
const POISON = "poison".repeat(100);
const VMS = ["vm-1", "vm-2", "vm-3", "vm-4"];
const ANSWER_TOKENS = 12;
/// Long enough that the prefill is still running when the engine crashes.
const HARMLESS_PROMPT_CHARACTERS = 16_000;
/// Longer than the time after which a disconnected VM's permits are released.
const SETTLE_MILLISECONDS = 30_000;

const startPoisonedFleet = (engines = 6) =>
  startFleet({
    sheet: sampleSheet({ engines }),
    entries: VMS.length,
    seed: 11,
    engine: { crashesOn: (call) => call.prompt.text.startsWith("poison") },
  });

const crashes = (fleet: Fleet) =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters.crashes,
    0,
  );

const send = (fleet: Fleet, vm: string, prompt = POISON) =>
  fleet.complete({ vm, key: KEY }, { prompt, maximumTokens: ANSWER_TOKENS });

interface SendCase {
  readonly name: string;
  /// VMs that receive the request. Rounds follow one another; the VMs of a round
  /// receive it at once.
  readonly rounds: readonly (readonly string[])[];
}

const CASES: readonly SendCase[] = [
  { name: "to one VM repeatedly", rounds: [["vm-1"], ["vm-1"], ["vm-1"]] },
  { name: "to one VM after another", rounds: VMS.map((vm) => [vm]) },
  { name: "to all VMs at once", rounds: [VMS, VMS] },
  { name: "twice to each VM at once", rounds: [[...VMS, ...VMS]] },
];

for (const { name, rounds } of CASES) {
  test(`two engines crash when a request that crashes them is sent ${name}`, async (t) => {
    const fleet = await startPoisonedFleet();
    for (const vms of rounds) {
      const sent = Promise.all(vms.map((vm) => send(fleet, vm)));
      for (const { error } of await fleet.clock.advanceUntil(sent)) {
        t.is(error?.code, "quarantined");
      }
    }
    t.is(crashes(fleet), 2);
    const late = await fleet.clock.advanceUntil(send(fleet, "vm-3"));
    t.is(late.error?.executed, "no");
    t.is(crashes(fleet), 2);
  });
}

// Guards against daemons that all restart and run a quarantined request again.
test("a quarantined request stays so when all VMs are killed", async (t) => {
  const fleet = await startPoisonedFleet();
  await fleet.clock.advanceUntil(send(fleet, "vm-1"));
  t.is(crashes(fleet), 2);
  await fleet.clock.advance(3_000);
  for (const vm of VMS) fleet.kill(vm);
  for (const vm of VMS) fleet.start(vm);
  await fleet.clock.advance(SETTLE_MILLISECONDS);
  for (const vm of VMS) {
    const { error } = await fleet.clock.advanceUntil(send(fleet, vm));
    t.is(error?.code, "quarantined");
  }
  t.is(crashes(fleet), 2);
});

test("the first caller receives an error that the request may have run", async (t) => {
  const fleet = await startPoisonedFleet();
  const { error } = await fleet.clock.advanceUntil(send(fleet, "vm-1"));
  t.is(error?.code, "quarantined");
  t.is(error?.executed, "unknown");
});

test("other requests on a crashing engine finish", async (t) => {
  const fleet = await startPoisonedFleet(3);
  const prompts = Array.from(
    { length: 16 },
    (_, index) =>
      `innocent ${index}`.padEnd(HARMLESS_PROMPT_CHARACTERS, "word"),
  );
  const answers = Promise.all(
    prompts.map((prompt, index) =>
      send(fleet, VMS[index % VMS.length]!, prompt)
    ),
  );
  await fleet.clock.advance(6);
  const poisoned = send(fleet, "vm-1");
  const results = await fleet.clock.advanceUntil(answers);
  t.deepEqual(
    results.map((result) => result.text),
    prompts.map((prompt) => expectedAnswer(prompt, ANSWER_TOKENS)),
  );
  await fleet.clock.advanceUntil(poisoned);
  t.is(crashes(fleet), 2);
});

test("a request that completes after a crash is no longer a suspect", async (t) => {
  const fleet = await startPoisonedFleet();
  for (let count = 0; count < 4; count++) {
    const answer = send(fleet, "vm-1", "innocent");
    const isBusy = (engine: EngineModel) => engine.runningStreams() > 0;
    const engines = [...fleet.engines.values()];
    while (!engines.some(isBusy)) await fleet.clock.advance(1);
    const busy = engines.find(isBusy)!;
    busy.crash();
    const { text } = await fleet.clock.advanceUntil(answer);
    t.is(text, expectedAnswer("innocent", ANSWER_TOKENS));
    busy.restart();
    await fleet.clock.advance(3_000);
  }
});

test("an engine that runs a suspect receives no other request", async (t) => {
  const fleet = await startPoisonedFleet();
  const engines = [...fleet.engines.values()];
  const isBusy = (engine: EngineModel) => engine.runningStreams() > 0;
  const suspect = send(fleet, "vm-1", "innocent".padEnd(40_000, "word"));
  while (!engines.some(isBusy)) await fleet.clock.advance(1);
  engines.find(isBusy)!.crash();
  while (!engines.some(isBusy)) await fleet.clock.advance(1);
  const engine = engines.find(isBusy)!;
  const others = Array.from({ length: 40 }, (_, index) => {
    const prompt = `beside ${index}`.padEnd(HARMLESS_PROMPT_CHARACTERS, "word");
    return send(fleet, VMS[index % VMS.length]!, prompt);
  });
  await fleet.clock.advanceUntil(Promise.all([suspect, ...others]));
  t.is(engine.counters.started, 1);
});

interface FailureCase {
  readonly name: string;
  readonly maximumCrashes: number;
  readonly cause: (fleet: Fleet) => void;
}

const disconnect = (vm: string) => (fleet: Fleet) => {
  for (const other of VMS) {
    if (other !== vm) fleet.network.setCut(vm, other, true);
  }
};

const FAILURES: readonly FailureCase[] = [
  ...VMS.slice(1).map((vm) => ({
    name: `${vm} dies`,
    maximumCrashes: 2,
    cause: (fleet: Fleet) => fleet.kill(vm),
  })),
  {
    name: "its own VM dies",
    maximumCrashes: 3,
    cause: (fleet) => fleet.kill("vm-1"),
  },
  {
    name: "its own VM loses all links",
    maximumCrashes: 4,
    cause: disconnect("vm-1"),
  },
  {
    name: "another VM loses all links",
    maximumCrashes: 4,
    cause: disconnect("vm-2"),
  },
];

for (const { name, maximumCrashes, cause } of FAILURES) {
  test(`the number of crashed engines stays bounded when ${name}`, async (t) => {
    const fleet = await startPoisonedFleet(8);
    void send(fleet, "vm-1");
    while (crashes(fleet) === 0) await fleet.clock.advance(1);
    cause(fleet);
    for (let round = 0; round < 3; round++) {
      for (const vm of fleet.entries.keys()) void send(fleet, vm);
      await fleet.clock.advance(SETTLE_MILLISECONDS);
    }
    t.true(
      crashes(fleet) <= maximumCrashes,
      `${crashes(fleet)} engines crashed`,
    );
  });
}
