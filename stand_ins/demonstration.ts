import { randomBytes } from "node:crypto";
import { readFile } from "node:fs/promises";
import { parseSheetCsv } from "../src/contracts/sheet_csv.ts";
import { createKey } from "../src/requests/idempotency_key.ts";
import { type Caller, type CallerResult, createCaller } from "./caller.ts";
import { type Deployment, startDeployment } from "./deployment.ts";
import { expectedAnswer } from "./engine_answer.ts";

/// Runs completions and a non-idempotent service call on two sample deployments
/// and prints the result of each request.

interface SampleDeployment {
  readonly title: string;
  readonly file: string;
  readonly model: string;
  readonly shortCustomer: string;
  readonly longCustomer: string;
  readonly service: string;
  readonly statusPath: string;
  readonly actionPath: string;
}

const SAMPLE_DEPLOYMENTS: readonly SampleDeployment[] = [
  {
    title: "Muscat Municipal Bindery Utility",
    file: "samples/muscat.csv",
    model: "album-text",
    shortCustomer: "counter-muttrah",
    longCustomer: "archivists",
    service: "order-desk",
    statusPath: "orders/status",
    actionPath: "orders",
  },
  {
    title: "Thar Gobar Sanjha Co-operative",
    file: "samples/thar.csv",
    model: "rota-assistant",
    shortCustomer: "herders-mithi",
    longCustomer: "committee",
    service: "rota-ledger",
    statusPath: "deliveries/status",
    actionPath: "deliveries",
  },
];

const ENGINE_MEMORY_TOKENS = 400_000;
/// Prefills the largest prompt of the demonstration in a few seconds.
const FAST_PREFILL = {
  memoryTokens: ENGINE_MEMORY_TOKENS,
  prefillTokensPerStep: 8_192,
  prefillMillisecondsPerToken: 0.005,
};
const BYTES_PER_TOKEN = 4;
const SHORT_TOKENS = 1_000;
const SHORT_REQUESTS = 12;
const ANSWER_TOKENS = 32;

const print = (line: string) => void process.stdout.write(line + "\n");

function createPrompt(label: string, tokens: number): string {
  const length = tokens * BYTES_PER_TOKEN;
  return `${label} `.repeat(Math.ceil(length / label.length)).slice(0, length);
}

function printResult(label: string, result: CallerResult, correct: boolean) {
  const first = result.firstTokenMilliseconds.toFixed(0).padStart(6);
  const total = result.totalMilliseconds.toFixed(0).padStart(6);
  const verdict = correct ? "as expected" : "WRONG";
  print(
    `  ${label.padEnd(34)} ${result.status} first ${first} ms  ` +
      `whole ${total} ms  ${verdict}`,
  );
}

async function runCompletion(
  caller: Caller,
  request: { label: string; model: string; tokens: number },
): Promise<boolean> {
  const prompt = createPrompt(request.label, request.tokens);
  const result = await caller.complete({
    model: request.model,
    prompt,
    maximumTokens: ANSWER_TOKENS,
  });
  const correct = result.complete &&
    result.text.length === expectedAnswer(prompt, ANSWER_TOKENS).length;
  printResult(`${request.label} (${request.tokens} tokens)`, result, correct);
  return correct;
}

async function runService(sample: SampleDeployment, deployment: Deployment) {
  const key = createKey(Date.now(), randomBytes(10).toString("hex"));
  const callers = deployment.daemons.map((daemon) =>
    createCaller(
      daemon.callerAddress,
      `demonstration-key-${sample.shortCustomer}`,
    )
  );
  const [first, second] = callers;
  const order = {
    method: "POST" as const,
    path: `${sample.service}/${sample.actionPath}`,
    headers: { "idempotency-key": key, "content-type": "application/json" },
    body: JSON.stringify({ pages: 48 }),
  };
  const placed = await first!.callService(order);
  printResult("one-time action", placed, placed.status === 200);
  const repeated = await second!.callService(order);
  const same = repeated.text === placed.text;
  printResult("same key at another entry", repeated, same);
  const status = await first!.callService({
    method: "GET",
    path: `${sample.service}/${sample.statusPath}?key=${key}`,
  });
  const wasExecuted = status.text.includes('"executed":true');
  printResult("status check", status, wasExecuted);
  // The replicas of a service share one model, so this counts all executions.
  const [service] = deployment.services.values();
  const executions = service!.executionCount(key);
  print(`  the service executed the action ${executions} time(s)`);
  await Promise.all(callers.map((caller) => caller.close()));
  return placed.status === 200 && same && wasExecuted && executions === 1;
}

async function demonstrate(
  sample: SampleDeployment,
): Promise<[Deployment, boolean]> {
  const sheet = parseSheetCsv(await readFile(sample.file, "utf8"));
  const deployment = await startDeployment({
    sheet,
    vms: 3,
    engine: FAST_PREFILL,
  });
  print(`\n${sample.title}: ${deployment.engines.size} engines`);
  for (const daemon of deployment.daemons) {
    const { identity, callerAddress, administrationAddress } = daemon;
    print(
      `  ${identity.vm} in ${identity.dataCentre}: ` +
        `callers ${callerAddress}, administration ${administrationAddress}`,
    );
  }
  const revision = await deployment.applySheet();
  print(`  sheet revision ${revision} is in force on every VM`);
  const callerOf = (index: number, customer: string) =>
    createCaller(
      deployment.daemons[index % 3]!.callerAddress,
      `demonstration-key-${customer}`,
    );
  const long = callerOf(0, sample.longCustomer);
  const { model } = sample;
  const largest = Math.floor(2.2 * ENGINE_MEMORY_TOKENS);
  const results = [
    runCompletion(long, { label: "whole archive", model, tokens: largest }),
  ];
  const shorts = Array.from({ length: SHORT_REQUESTS }, (_, index) => {
    const caller = callerOf(index, sample.shortCustomer);
    const label = `question ${index + 1}`;
    results.push(runCompletion(caller, { label, model, tokens: SHORT_TOKENS }));
    return caller;
  });
  const correct = await Promise.all(results);
  const once = await runService(sample, deployment);
  await Promise.all([long, ...shorts].map((caller) => caller.close()));
  const held = [...deployment.engines.values()].reduce(
    (total, engine) => total + engine.heldTokens(),
    0,
  );
  print(`  engine memory still held: ${held} tokens`);
  return [deployment, once && held === 0 && correct.every(Boolean)];
}

const once = process.argv.includes("--once");
const deployments: Deployment[] = [];
let allCorrect = true;
for (const sample of SAMPLE_DEPLOYMENTS) {
  const [deployment, correct] = await demonstrate(sample);
  deployments.push(deployment);
  allCorrect &&= correct;
}
print(allCorrect ? "\nEverything as expected." : "\nSomething went WRONG.");

async function finish(): Promise<never> {
  await Promise.all(deployments.map((deployment) => deployment.close()));
  process.exit(allCorrect ? 0 : 1);
}

if (once) await finish();
print("Running until Ctrl-C.");
process.on("SIGINT", () => void finish());
