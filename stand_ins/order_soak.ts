import meow from "meow";
import { ORDER_PLAYS, type OrderPlay } from "./orders/order_faults.ts";
import type { Copies } from "./orders/order_upstream.ts";
import { runOrderSoak } from "./orders/order_soak.ts";

/// Runs the soak of orders for a range of seeds and prints one line per seed.

const { flags } = meow(
  `
Usage
  $ npm run order-soak -- [flags]

  --first      First seed (1)
  --seeds      Number of seeds (1)
  --gateways   Gateway processes (4)
  --upstreams  Upstream processes (6)
  --seconds    Time with faults of each seed (12)
  --at-once    Seeds run at the same time (1)
  --play       Faults: ${ORDER_PLAYS.join(", ")}; in turn by default
  --program    Program of the gateways instead of this build
  --logs       Folder for the logs of failed seeds
  --copies     Answers that upstreams write twice: all, with_id, none (all)
`,
  {
    importMeta: import.meta,
    flags: {
      first: { type: "number", default: 1 },
      seeds: { type: "number", default: 1 },
      gateways: { type: "number", default: 4 },
      upstreams: { type: "number", default: 6 },
      seconds: { type: "number", default: 12 },
      atOnce: { type: "number", default: 1 },
      play: { type: "string", choices: [...ORDER_PLAYS] },
      program: { type: "string" },
      logs: { type: "string" },
      copies: { type: "string", choices: ["all", "with_id", "none"] },
    },
  },
);

let nextSeed = flags.first;
let failed = 0;

async function runSeeds(): Promise<void> {
  while (nextSeed < flags.first + flags.seeds) {
    const seed = nextSeed++;
    const play = flags.play as OrderPlay | undefined ??
      ORDER_PLAYS[seed % ORDER_PLAYS.length]!;
    const run = await runOrderSoak({
      seed,
      play,
      gateways: flags.gateways,
      upstreams: flags.upstreams,
      faultMilliseconds: flags.seconds * 1_000,
      ...flags.program === undefined ? {} : { program: flags.program },
      ...flags.logs === undefined ? {} : { logs: flags.logs },
      copies: flags.copies as Copies ?? "all",
    }).catch((error: Error) => {
      console.log(JSON.stringify({ seed, play, error: error.message }));
      return undefined;
    });
    if (!run) {
      failed += 1;
      continue;
    }
    const { faults, ...result } = run;
    if (result.logs !== undefined) failed += 1;
    console.log(JSON.stringify({ ...result, faults: faults.length }));
  }
}

await Promise.all(Array.from({ length: flags.atOnce }, runSeeds));
console.log(`${flags.seeds - failed} passed, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
