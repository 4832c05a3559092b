import test from "ava";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { type Fleet, startFleet } from "../../stand_ins/fleet.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Prompts that begin alike and crash the engines that run them. No two are
/// equal; others share a shorter beginning with them.

const KEY = "caller-key";
const VMS = ["vm-1", "vm-2", "vm-3"];
const ENGINES = 16;
const CRASHES_ALLOWED = 5;
const ANSWER_TOKENS = 12;
/// Characters of one cache block, by which shared beginnings are recognised.
const BLOCK_CHARACTERS = 2_048;
const INSTRUCTIONS = "instructions".padEnd(BLOCK_CHARACTERS, ".");
const CRASHING_DOCUMENT = "crashing document".padEnd(BLOCK_CHARACTERS, ".");
const OTHER_DOCUMENT = "other document".padEnd(BLOCK_CHARACTERS, ".");

const crashCount = (fleet: Fleet) =>
  [...fleet.engines.values()].reduce(
    (total, engine) => total + engine.counters.crashes,
    0,
  );

test("prompts with a beginning that crashes engines are refused by all VMs, and prompts that share less of it are served", async (t) => {
  const fleet = await startFleet({
    sheet: sampleSheet({ engines: ENGINES }),
    entries: VMS.length,
    seed: 5,
    engine: {
      crashesOn: ({ prompt }) => prompt.text.includes(CRASHING_DOCUMENT),
    },
  });
  let sent = 0;
  const send = (document: string) => {
    const vm = VMS[sent % VMS.length]!;
    const prompt = `${INSTRUCTIONS}${document}question ${sent++}`;
    const completion = { prompt, maximumTokens: ANSWER_TOKENS };
    const answer = fleet.complete({ vm, key: KEY }, completion);
    return fleet.clock.advanceUntil(answer).then(({ text, error }) => ({
      isServed: text === expectedAnswer(prompt, ANSWER_TOKENS),
      error,
    }));
  };
  let last;
  for (let round = 0; round < 10; round++) {
    t.true((await send(OTHER_DOCUMENT)).isServed);
    last = await send(CRASHING_DOCUMENT);
  }
  t.true(crashCount(fleet) <= CRASHES_ALLOWED, `${crashCount(fleet)} crashes`);
  t.is(last!.error?.code, "quarantined");
  t.is(last!.error?.executed, "no");
});
