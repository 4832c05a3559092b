import test from "ava";
import fastCheck from "fast-check";
import { applyOperation } from "../../src/requests/ledger_operation.ts";
import {
  decodeState,
  emptyState,
  encodeState,
  type LedgerState,
  pruneState,
  RECORDED_BODY_BYTES,
  type RetentionLimits,
} from "../../src/requests/ledger_state.ts";

const HOUR = 3_600_000;
const LIMITS: RetentionLimits = {
  retentionMilliseconds: 24 * HOUR,
  minimumRetentionMilliseconds: HOUR,
  targetBytes: 20_000,
  maximumBytes: 40_000,
};
const NOW = 1_000 * HOUR;
const OUTCOME = {
  status: 200,
  contentType: "t".repeat(200),
  body: Buffer.alloc(RECORDED_BODY_BYTES, 1).toString("base64"),
};

const claim = (state: LedgerState, age: number, key = `customer/${age}`) =>
  applyOperation(state, {
    kind: "claim",
    key,
    keyTime: NOW - age,
    fingerprint: "f".repeat(32),
    holder: { claimId: key, vm: "vm-1", incarnation: "i".repeat(16) },
  }, LIMITS).reply.kind;

function stateWith(ages: readonly number[]): LedgerState {
  const state = emptyState(0);
  ages.forEach((age) => claim(state, age));
  return state;
}

const CASES = [
  { name: "recent records are kept", ages: [0, HOUR], wallTime: NOW, kept: 2 },
  {
    name: "old records are dropped",
    ages: [0, 25 * HOUR],
    wallTime: NOW,
    kept: 1,
  },
  {
    name: "a clock that is ahead drops no recent records",
    ages: [0, HOUR],
    wallTime: NOW + 48 * HOUR,
    kept: 2,
  },
  {
    name: "a clock that is behind drops no records",
    ages: [0, 25 * HOUR],
    wallTime: NOW - 48 * HOUR,
    kept: 2,
  },
  {
    name: "above the target size, the oldest records are dropped",
    ages: [0, 1, 2, 3, 4, 5, 6, 7, 8, 9].map((hours) => hours * HOUR),
    wallTime: NOW,
    kept: 6,
  },
  {
    name: "records below the minimum age are kept above the target size",
    ages: [0, 1, 2, 3, 4, 5, 6, 7, 8, 9],
    wallTime: NOW,
    kept: 10,
  },
];

for (const { name, ages, wallTime, kept } of CASES) {
  test(`pruning: ${name}`, (t) => {
    const pruned = pruneState(stateWith(ages), LIMITS, wallTime);
    t.is(pruned.actions.size, kept);
    for (const age of ages) {
      const key = `customer/${age}`;
      const dropped = !pruned.actions.has(key);
      if (dropped) t.is(claim(pruned, age, key), "pruned");
    }
  });
}

test("keys of dropped records are refused, and no shard exceeds its maximum size", (t) => {
  const step = fastCheck.record({
    age: fastCheck.integer({ min: 0, max: 30 * HOUR }),
    clockOffset: fastCheck.integer({ min: -48 * HOUR, max: 48 * HOUR }),
  });
  const property = fastCheck.property(
    fastCheck.array(step, { minLength: 1, maxLength: 60 }),
    (steps) => {
      let state = emptyState(0);
      const claimed = new Set<string>();
      for (const { age, clockOffset } of steps) {
        const previous = state.prunedBefore;
        state = pruneState(state, LIMITS, NOW + clockOffset);
        if (state.prunedBefore < previous) return false;
        const key = `customer/${age}`;
        const known = state.actions.has(key);
        const kind = claim(state, age, key);
        if (kind === "claimed" && !known && claimed.has(key)) return false;
        if (kind === "claimed") claimed.add(key);
        const record = { kind: "record", claimId: key, key } as const;
        applyOperation(state, { ...record, outcome: OUTCOME }, LIMITS);
        state = decodeState(encodeState(state));
        if (encodeState(state).length > LIMITS.maximumBytes) return false;
      }
      return true;
    },
  );
  fastCheck.assert(property, { seed: 20_261_204, numRuns: 300 });
  t.pass();
});

test("a full shard refuses new keys and accepts claims of existing ones", (t) => {
  const state = emptyState(0);
  let claims = 0;
  while (claim(state, claims) === "claimed") claims++;
  t.is(claim(state, claims), "full");
  t.is(claim(state, 0), "claimed");
  t.true(encodeState(state).length < LIMITS.maximumBytes);
});
