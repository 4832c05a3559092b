import meow from "meow";
import { runSoak } from "./soak/soak.ts";

/// Runs the soak for a range of seeds and prints one line per seed.

const { flags } = meow(
  `
Usage
  $ npm run soak -- [flags]

  --first      First seed (1)
  --seeds      Number of seeds (1)
  --gateways   Gateway processes (3)
  --seconds    Time with faults of each seed (12)
  --at-once    Seeds run at the same time (1)
`,
  {
    importMeta: import.meta,
    flags: {
      first: { type: "number", default: 1 },
      seeds: { type: "number", default: 1 },
      gateways: { type: "number", default: 3 },
      seconds: { type: "number", default: 12 },
      atOnce: { type: "number", default: 1 },
    },
  },
);

let nextSeed = flags.first;
let failed = 0;

async function runSeeds(): Promise<void> {
  while (nextSeed < flags.first + flags.seeds) {
    const seed = nextSeed++;
    const result = await runSoak({
      seed,
      gateways: flags.gateways,
      faultMilliseconds: flags.seconds * 1_000,
    });
    if (result.broken.length > 0) failed += 1;
    const { faults, ...line } = result;
    console.log(JSON.stringify({
      ...line,
      broken: result.broken.slice(0, 8),
      faults: result.broken.length > 0 ? faults : faults.length,
    }));
  }
}

await Promise.all(Array.from({ length: flags.atOnce }, runSeeds));
console.log(`${flags.seeds - failed} passed, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
