import test from "ava";
import { rankByRendezvous } from "../../src/vms/rendezvous.ts";

const NAMES = Array.from({ length: 9 }, (_, index) => `vm-${index + 1}`);
const KEYS = Array.from({ length: 9_000 }, (_, index) => `key-${index}`);
const FAIR_SHARE = KEYS.length / NAMES.length;

test("ranks don't depend on the order of the names", (t) => {
  for (const key of KEYS.slice(0, 50)) {
    const reversed = [...NAMES].reverse();
    t.deepEqual(rankByRendezvous(key, NAMES), rankByRendezvous(key, reversed));
  }
});

test("keys are distributed evenly and only those of a removed name move", (t) => {
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    const [first, second] = rankByRendezvous(key, NAMES);
    counts.set(first!, (counts.get(first!) ?? 0) + 1);
    const remaining = NAMES.filter((name) => name !== "vm-4");
    const expected = first === "vm-4" ? second : first;
    t.is(rankByRendezvous(key, remaining)[0], expected);
  }
  for (const name of NAMES) {
    const share = counts.get(name)! / FAIR_SHARE;
    t.true(share > 0.85 && share < 1.15, `${name} holds ${share}`);
  }
});
