import { connect } from "node:net";
import test from "ava";
import { type Sheet } from "../../src/contracts/sheet.ts";
import { createCaller } from "../../stand_ins/caller.ts";
import {
  type Deployment,
  startDeployment,
} from "../../stand_ins/deployment.ts";
import { expectedAnswer } from "../../stand_ins/engine_answer.ts";
import { sampleSheet } from "../../stand_ins/sample_sheet.ts";

/// The callers' interface over real sockets.

const KEY = "caller-key";
let deployment: Deployment;

test.before(async () => {
  const sheet: Sheet = sampleSheet({
    keys: { caller: KEY, slow: "slow-key", free: "free-key" },
  });
  const limited = sheet.customers.map((customer) => ({
    ...customer,
    ...(customer.name === "slow" && { requestsPerSecond: 0.01 }),
    ...(customer.name === "free" && { shortDeadlineMilliseconds: 0 }),
  }));
  deployment = await startDeployment({
    sheet: { ...sheet, customers: limited },
    vms: 1,
    engine: { memoryTokens: 20_000, prefillMillisecondsPerToken: 0.001 },
  });
  await deployment.applySheet();
});

test.after.always(() => deployment.close());

const address = () => deployment.daemons[0]!.callerAddress;

interface RawRequest {
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

async function post({ path, headers, body }: RawRequest) {
  const response = await fetch(
    `http://${address()}${path ?? "/v1/completions"}`,
    {
      method: "POST",
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${KEY}`,
        ...headers,
      },
      body: body ?? JSON.stringify({ model: "text", prompt: "hello" }),
    },
  );
  const problem = await response.json() as Record<string, unknown>;
  return { status: response.status, problem };
}

const BAD_INPUT: readonly [string, RawRequest, number, string][] = [
  ["malformed JSON", { body: "{" }, 400, "malformed_request"],
  ["an empty body", { body: "" }, 400, "malformed_request"],
  [
    "a prompt of the wrong type",
    { body: JSON.stringify({ model: "text", prompt: 5 }) },
    400,
    "malformed_request",
  ],
  [
    "an unknown model",
    { body: JSON.stringify({ model: "nothing", prompt: "hello" }) },
    404,
    "model_unknown",
  ],
  [
    "a model outside the contract",
    { body: JSON.stringify({ model: "other", prompt: "hello" }) },
    403,
    "model_not_allowed",
  ],
  [
    "an unknown API key",
    { headers: { authorization: "Bearer nobody" } },
    401,
    "unauthenticated",
  ],
  [
    "a deadline that isn't a number",
    { headers: { "x-deadline-milliseconds": "soon" } },
    400,
    "malformed_request",
  ],
  [
    "a missing deadline where the contract has none",
    { headers: { authorization: "Bearer free-key" } },
    400,
    "deadline_missing",
  ],
  [
    "an action with a missing deadline",
    {
      path: "/v1/services/desk/orders",
      headers: { authorization: "Bearer free-key" },
    },
    400,
    "deadline_missing",
  ],
  [
    "an unknown priority",
    { headers: { "x-priority": "highest" } },
    400,
    "malformed_request",
  ],
  [
    "a body over the limit",
    { body: JSON.stringify({ model: "text", prompt: "x".repeat(17e6) }) },
    413,
    "body_too_large",
  ],
  [
    "an unknown service",
    { path: "/v1/services/nothing/orders" },
    404,
    "service_unknown",
  ],
  [
    "a one-time action without a key",
    { path: "/v1/services/desk/orders" },
    400,
    "key_missing",
  ],
  ["an unknown path", { path: "/v2/anything" }, 404, "not_found"],
];

for (const [name, request, status, code] of BAD_INPUT) {
  test(`refuses ${name} without running it`, async (t) => {
    const answer = await post(request);
    t.is(answer.status, status);
    t.is(answer.problem.code, code);
    t.is(answer.problem.executed, "no");
  });
}

test("uses the caller's deadline where the contract has none", async (t) => {
  const caller = createCaller(address(), "free-key");
  const answer = await caller.complete({
    model: "text",
    prompt: "hello",
    maximumTokens: 1,
    headers: { "x-deadline-milliseconds": "20000" },
  });
  t.is(answer.status, 200);
  await caller.close();
});

test("refuses a request over the customer's limit", async (t) => {
  const headers = { authorization: "Bearer slow-key" };
  await post({ headers });
  const answer = await post({ headers });
  t.is(answer.status, 429);
  t.is(answer.problem.code, "limit_spent");
  t.is(answer.problem.executed, "no");
});

function sendRaw(text: string): Promise<string> {
  const [host, port] = address().split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    let answer = "";
    socket.on("data", (part) => answer += part);
    socket.on("end", () => resolve(answer));
    socket.on("error", reject);
    socket.write(text);
  });
}

const SMUGGLED: readonly [string, string[]][] = [
  ["two lengths", ["content-length: 2", "content-length: 3"]],
  ["a length and an encoding", [
    "content-length: 2",
    "transfer-encoding: chunked",
  ]],
  ["two keys", [
    `authorization: Bearer ${KEY}`,
    "authorization: Bearer other",
    "connection: close",
    "content-length: 2",
  ]],
];

for (const [name, headers] of SMUGGLED) {
  test(`refuses a request with ${name}`, async (t) => {
    const lines = [
      "POST /v1/completions HTTP/1.1",
      "host: a",
      "content-type: application/json",
      ...headers,
      "",
      "{}",
    ];
    const answer = await sendRaw(lines.join("\r\n"));
    t.regex(answer, /^HTTP\/1\.1 400 /);
    t.regex(answer, /"executed":"no"/);
  });
}

/// What may follow requests on a connection without being one.
const FOLLOWING: readonly [string, string][] = [
  ["other bytes follow", "these bytes are no request\r\n\r\n"],
  [
    "a request for a tunnel follows",
    "CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n",
  ],
];

for (const [name, following] of FOLLOWING) {
  for (const count of [1, 3]) {
    test(`${count} running requests of a connection are answered although ${name}`, async (t) => {
      const body = JSON.stringify({
        model: "text",
        prompt: "hello",
        max_tokens: 20,
      });
      const lines = [
        "POST /v1/completions HTTP/1.1",
        "host: a",
        "content-type: application/json",
        `authorization: Bearer ${KEY}`,
        `content-length: ${body.length}`,
        "",
        body,
      ];
      const requests = lines.join("\r\n").repeat(count);
      const answer = await sendRaw(requests + following);
      t.is(answer.match(/HTTP\/1\.1 200 /g)?.length, count);
      t.is(answer.match(/"finish_reason":"length"/g)?.length, count);
    });
  }
}

for (const tokens of [1_000, 44_000]) {
  test.serial(`answers a prompt of ${tokens} tokens completely`, async (t) => {
    const caller = createCaller(address(), KEY);
    const prompt = "word".repeat(tokens);
    const answer = await caller.complete({
      model: "text",
      prompt,
      maximumTokens: 8,
    });
    t.is(answer.status, 200);
    t.true(answer.complete);
    t.is(answer.text.split(" ").length, 9);
    if (tokens === 1_000) t.is(answer.text, expectedAnswer(prompt, 8));
    for (const engine of deployment.engines.values()) {
      t.is(engine.heldTokens(), 0);
    }
    await caller.close();
  });
}

test("an action with an issued key is executed once", async (t) => {
  const issued = await post({ path: "/v1/idempotency-keys", body: "{}" });
  t.is(issued.status, 201);
  const key = String(issued.problem.idempotencyKey);
  for (let count = 0; count < 2; count++) {
    const answer = await post({
      path: "/v1/services/desk/orders",
      headers: { "idempotency-key": key },
    });
    t.is(answer.status, 200);
  }
  t.is(deployment.services.get("desk")!.executionCount(key), 1);
  const refused = await post({
    path: "/v1/idempotency-keys",
    headers: { authorization: "Bearer nobody" },
    body: "{}",
  });
  t.is(refused.problem.code, "unauthenticated");
});
