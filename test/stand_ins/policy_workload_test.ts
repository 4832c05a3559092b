import test from "ava";
import {
  createWorkload,
  meanPromptTokens,
  MINIMUM_LONG_PROMPT_TOKENS,
} from "../../stand_ins/measurements/policy_workload.ts";

/// The arrivals of the policy measurement.

const MEMORY = 400_000;
const OPTIONS = {
  seed: 3,
  entries: 9,
  tokensPerSecond: 200_000,
  durationMilliseconds: 600_000,
  engineMemoryTokens: MEMORY,
};

test("the same seed gives the same arrivals, another one others", (t) => {
  const first = createWorkload(OPTIONS);
  t.deepEqual(createWorkload(OPTIONS), first);
  t.notDeepEqual(createWorkload({ ...OPTIONS, seed: 4 }), first);
});

test("rate, share of long prompts and lengths are as stated", (t) => {
  const arrivals = createWorkload(OPTIONS);
  const expected = 600 * 200_000 / meanPromptTokens(MEMORY);
  t.true(Math.abs(arrivals.length / expected - 1) < 0.05);
  const long = arrivals.filter(({ prompt }) =>
    prompt.tokens >= MINIMUM_LONG_PROMPT_TOKENS
  );
  t.true(Math.abs(long.length / arrivals.length - 0.02) < 0.005);
  const lengths = arrivals.map(({ prompt }) => prompt.tokens);
  t.true(Math.min(...lengths) >= 1_000);
  t.true(Math.max(...lengths) <= 2.2 * MEMORY);
});
