import test from "ava";
import {
  checkLedger,
  type LedgerCheckOptions,
} from "../../stand_ins/ledger_check.ts";

const SEPARATE: LedgerCheckOptions = {
  linked: false,
  triesPerEntry: 1,
  lostAnswers: 1,
  pauses: 1,
  pauseMilliseconds: 1_001,
};
const LINKED = { ...SEPARATE, linked: true, pauseMilliseconds: 1_600 };
const EXPLORATION_LIMIT_MILLISECONDS = 240_000;

const CASES = [
  { name: "separate entries", options: SEPARATE },
  { name: "linked entries", options: LINKED },
  {
    name: "linked entries that try again",
    options: { ...LINKED, triesPerEntry: 2 },
  },
];

for (const { name, options } of CASES) {
  test(`every order of two ${name} runs a key once`, async (t) => {
    t.timeout(EXPLORATION_LIMIT_MILLISECONDS);
    const result = await checkLedger(options);
    t.log(`${result.states} states, ${result.ends} ends`);
    t.is(result.violation, undefined);
  });
}

for (const defect of ["sendUnconfirmed", "unguardedWrites"] as const) {
  test(`the exploration finds ${defect}`, async (t) => {
    const { violation } = await checkLedger({ ...SEPARATE, defect });
    t.regex(violation ?? "", /^2 executions/);
  });
}
