import test from "ava";
import type { EngineProfile } from "../../src/gateway/configuration.ts";
import { prefillTime } from "../../src/gateway/engine_cost.ts";
import {
  type Candidate,
  isLongPrompt,
  placeCall,
  placeLong,
  placeShort,
  shareMemory,
} from "../../src/gateway/placement.ts";
import type { UpstreamWork } from "../../src/gateway/work_table.ts";
import { sampleUpstream } from "../../stand_ins/platform/sample_upstream.ts";

const PROFILE: EngineProfile = {
  slots: 8,
  memoryTokens: 300_000,
  stepsPerPass: 50,
  stepMilliseconds: 1,
  stepMillisecondsPerRequest: 0.01,
  stepMillisecondsPerThousandTokens: 0.003,
  readTokensPerSecond: 200_000,
  readMillisecondsPerMillionPairs: 0.2,
};

const SHORT = {
  promptTokens: 5_000,
  outputTokens: 1_000,
  objective: 300,
  maximumEventGap: 250,
  reportDelay: 0,
  randomValue: 0,
};
const LONG = {
  promptTokens: 150_000,
  outputTokens: 1_000,
  objective: 3_000,
  maximumEventGap: 250,
  reportDelay: 0,
  randomValue: 0,
};

const IDLE: UpstreamWork = {
  requests: 0,
  shortRequests: 0,
  memoryTokens: 0,
  spans: 0,
  prefillMilliseconds: 0,
};

function candidate(id: string, overrides: Partial<Candidate> = {}): Candidate {
  return {
    upstream: sampleUpstream(id),
    work: IDLE,
    failureShare: 0,
    isSuspended: false,
    isLimited: false,
    isLocal: true,
    ...overrides,
  };
}

const busy = (requests: number): UpstreamWork => ({
  requests,
  shortRequests: requests,
  memoryTokens: requests * 6_000,
  spans: 0,
  prefillMilliseconds: 0,
});

const idsOf = (list: readonly Candidate[]) =>
  list.map(({ upstream }) => upstream.id).sort();

test("prefill time grows with the square of a long prompt", (t) => {
  t.is(prefillTime(PROFILE, 10_000), 60);
  t.is(prefillTime(PROFILE, 100_000), 1_500);
});

test("a prompt is long if its prefill exceeds the event gap of other streams", (t) => {
  t.false(isLongPrompt(PROFILE, SHORT.promptTokens, 250));
  t.true(isLongPrompt(PROFILE, 40_000, 250));
  t.false(isLongPrompt(PROFILE, LONG.promptTokens, 10_000));
});

test("short prompts are concentrated on few engines", (t) => {
  const candidates = [
    candidate("e1", { work: busy(3) }),
    candidate("e2"),
    candidate("e3"),
  ];
  t.is(placeShort(PROFILE, SHORT, candidates)?.primary.upstream.id, "e1");
});

interface AvoidedCase {
  readonly title: string;
  readonly overrides: Partial<Candidate>;
}

const avoided: readonly AvoidedCase[] = [
  { title: "an engine that is full", overrides: { work: busy(8) } },
  {
    title: "an engine that prefills a long prompt",
    overrides: { work: { ...IDLE, prefillMilliseconds: 400 } },
  },
  { title: "a suspended engine", overrides: { isSuspended: true } },
  { title: "an engine with many failures", overrides: { failureShare: 0.5 } },
  {
    title: "an engine without free memory",
    overrides: { work: { ...IDLE, memoryTokens: 299_000 } },
  },
];

for (const { title, overrides } of avoided) {
  test(`a short prompt avoids ${title}`, (t) => {
    const candidates = [candidate("e1", overrides), candidate("e2")];
    t.is(placeShort(PROFILE, SHORT, candidates)?.primary.upstream.id, "e2");
  });
}

test("a long prompt is split among the engines without streams", (t) => {
  const free = Array.from({ length: 8 }, (_, n) => candidate(`f${n}`));
  const loaded = ["u1", "u2"].map((id) => candidate(id, { work: busy(6) }));
  const plan = placeLong(PROFILE, LONG, [...loaded, ...free])!;
  const chosen = idsOf([plan.primary, ...plan.helpers]);
  t.true(chosen.length >= 4);
  t.true(chosen.every((id) => id.startsWith("f")));
  t.true(plan.firstEventTime < LONG.objective);
});

test("a long prompt uses engines with streams if it would be late otherwise", (t) => {
  const all = ["u1", "u2", "u3", "u4"].map((id) =>
    candidate(id, { work: busy(1) })
  );
  const plan = placeLong(PROFILE, { ...LONG, promptTokens: 200_000 }, all)!;
  t.true(plan.helpers.length > 0);
});

test("an engine that prefills spans of many prompts gets no further spans", (t) => {
  const engines = Array.from(
    { length: 12 },
    (_, index) =>
      candidate(`e${index}`, {
        work: { ...busy(0), spans: index < 6 ? PROFILE.slots : 0 },
      }),
  );
  const plan = placeLong(PROFILE, LONG, engines)!;
  for (const { work } of [plan.primary, ...plan.helpers]) t.is(work.spans, 0);
});

test("no prompt is split among more engines than the platform allows", (t) => {
  const many = Array.from({ length: 30 }, (_, n) => candidate(`e${n}`));
  const plan = placeLong(PROFILE, LONG, many)!;
  t.true(plan.helpers.length <= 16);
});

test("a huge prompt leaves engines free for arriving short prompts", (t) => {
  const profile = { ...PROFILE, memoryTokens: 1_000_000 };
  const loaded = ["u1", "u2"].map((id) => candidate(id, { work: busy(4) }));
  const free = Array.from({ length: 14 }, (_, n) => candidate(`f${n}`));
  const huge = { ...LONG, promptTokens: 700_000 };
  const plan = placeLong(profile, huge, [...loaded, ...free])!;
  t.true(plan.spanTime > LONG.maximumEventGap);
  t.true(plan.helpers.length + 1 <= 14);
  t.false(idsOf([plan.primary, ...plan.helpers]).includes("u1"));
});

test("no span of a long prompt goes to an engine that states a limit", (t) => {
  const plan = placeLong(PROFILE, LONG, [
    candidate("e1", { isLimited: true }),
    candidate("e2"),
    candidate("e3"),
  ])!;
  t.false([plan.primary, ...plan.helpers].some(({ isLimited }) => isLimited));
});

test("a long prompt avoids suspended engines", (t) => {
  const plan = placeLong(PROFILE, LONG, [
    candidate("e1", { isSuspended: true }),
    candidate("e2"),
    candidate("e3"),
  ])!;
  t.deepEqual(idsOf([plan.primary, ...plan.helpers]), ["e2", "e3"]);
});

test("memory that the primary engine lacks is reserved on helpers", (t) => {
  const all = ["e1", "e2", "e3"].map((id) => candidate(id));
  const large = { ...LONG, promptTokens: 400_000 };
  const plan = placeLong(PROFILE, large, all)!;
  const shares = shareMemory(PROFILE, large, plan)!;
  const shared = shares.reduce((sum, { tokens }) => sum + tokens, 0);
  t.true(shared >= 401_000 - 300_000 * 0.95);
  t.true(shares.every(({ tokens }) => tokens <= 300_000));
  t.deepEqual(shareMemory(PROFILE, LONG, plan), []);
  const huge = { ...LONG, promptTokens: 2_000_000 };
  t.is(shareMemory(PROFILE, huge, plan), undefined);
});

test("memory shares are whole tokens for any size of engine memory", (t) => {
  for (const memoryTokens of [267_750, 299_999, 100_001]) {
    const profile = { ...PROFILE, memoryTokens };
    const all = ["e1", "e2", "e3", "e4"].map((id) => candidate(id));
    const large = { ...LONG, promptTokens: Math.floor(memoryTokens * 1.5) };
    const plan = placeLong(profile, large, all)!;
    const shares = shareMemory(profile, large, plan);
    t.true(shares!.length > 0);
    t.true(shares!.every(({ tokens }) => Number.isInteger(tokens)));
  }
});

test("a call goes to the upstream with the lowest load per slot", (t) => {
  const chosen = placeCall([
    candidate("d1", { work: busy(4) }),
    candidate("d2", { work: busy(2) }),
    candidate("d3", { work: busy(1), isSuspended: true }),
  ], 25);
  t.is(chosen?.upstream.id, "d2");
  t.is(placeCall([], 25), undefined);
});
