import test from "ava";
import { createContractBook } from "../../src/contracts/contract_book.ts";
import type { CompletionRequest } from "../../src/requests/completion_request.ts";
import { createCompletionRunner } from "../../src/requests/completion_run.ts";
import { createQuarantine } from "../../src/requests/quarantine.ts";
import { startDeadline } from "../../src/requests/deadline.ts";
import { RequestError } from "../../src/requests/request_error.ts";
import { createRequestRegistry } from "../../src/requests/request_registry.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import { createEngineDirectory } from "../../src/upstreams/engine_directory.ts";
import { createEngineHoldings } from "../../src/upstreams/engine_holdings.ts";
import { ShortestWaitPlacement } from "../../src/upstreams/placement.ts";
import { describePrompt } from "../../src/upstreams/prompt_blocks.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { createEngineModel } from "../../stand_ins/engine_model.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createMemoryStore } from "../../stand_ins/memory_store.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// Completions with a fake clock and engines that fail.

const PROMPT = "word".repeat(1_000);
const ANSWER_TOKENS = 20;

async function setUp(engineCount = 3) {
  const clock = createFakeClock();
  const models = Array.from(
    { length: engineCount },
    (_, index) =>
      createEngineModel({ clock, name: `engine-${index + 1}`, model: "text" }),
  );
  const book = createContractBook();
  book.adopt({ revision: 1, sheet: sampleSheet({ engines: engineCount }) });
  const engines = createEngineDirectory({
    clock,
    book,
    createClient: ({ name }) => models.find((model) => model.name === name)!,
  });
  const placement = new ShortestWaitPlacement(createSeededRandom(7));
  const links = createLocalNetwork(clock).join({
    vm: "vm-1",
    incarnation: "a",
    dataCentre: "muttrah",
  });
  const clientOf = (engine: string) => engines.find(engine)?.client;
  const holdings = createEngineHoldings({ clock, links, clientOf });
  const runner = createCompletionRunner({
    clock,
    engines,
    holdings,
    placement,
    quarantine: createQuarantine({
      clock,
      links,
      log: createSilentLogger(),
      store: createMemoryStore(clock).connect(),
    }),
    resumables: { claim: () => Promise.resolve(undefined) },
    upstreamChecks: { isReachedByOthers: () => Promise.resolve(false) },
  });
  const registry = createRequestRegistry(clock);
  await clock.advance(300);
  const run = async (deadline = 10_000) => {
    const open = registry.open({
      id: "request-1",
      kind: "completion",
      customer: "caller",
      target: "text",
      promptTokens: 1_000,
      isLong: false,
    });
    const limit = startDeadline(clock, deadline);
    const request: CompletionRequest = {
      id: "request-1",
      customer: "caller",
      fingerprint: "fingerprint",
      model: "text",
      version: "1",
      prompt: describePrompt(PROMPT),
      maximumTokens: ANSWER_TOKENS,
      priority: 10,
      isLong: false,
    };
    const { signal } = limit;
    let text = "";
    for await (
      const chunk of runner.run(request, { open, deadline: limit, signal })
    ) text += chunk.text;
    limit.clear();
    return text;
  };
  const busy = () => models.find((model) => model.runningStreams() > 0);
  return { clock, models, run, busy };
}

test("an engine crash before the first token leads to a retry at another engine", async (t) => {
  const { clock, run, busy, models } = await setUp();
  const answer = run();
  await clock.advance(10);
  busy()!.crash();
  t.is(await clock.advanceUntil(answer), expectedAnswer(PROMPT, ANSWER_TOKENS));
  t.is(models.reduce((total, model) => total + model.counters.finished, 0), 1);
});

test("an engine crash after the first token fails the request at once", async (t) => {
  const { clock, run, busy } = await setUp();
  const answer = run();
  await clock.advance(150);
  busy()!.crash();
  const crashedAt = clock.now();
  const error = await t.throwsAsync(clock.advanceUntil(answer), {
    instanceOf: RequestError,
  });
  t.is(error!.code, "upstream_lost");
  t.is(error!.executed, "unknown");
  t.true(clock.now() - crashedAt < 300);
});

test("a stalled engine ends the request at its deadline", async (t) => {
  const { clock, run, busy } = await setUp();
  const started = clock.now();
  const answer = run(2_000);
  answer.catch(() => {});
  await clock.advance(150);
  const engine = busy()!;
  engine.stall(60_000);
  const error = await t.throwsAsync(clock.advanceUntil(answer), {
    instanceOf: RequestError,
  });
  t.is(error!.code, "deadline_exceeded");
  t.is(clock.now() - started, 2_000);
  await clock.settle();
  t.is(engine.heldTokens(), 0);
});
